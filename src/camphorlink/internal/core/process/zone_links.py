"""Which entry VMs exchange heartbeats: all of a zone, few between zones.

The choice is a rendezvous hash over the names, so that both ends of a link
mostly choose each other without talking about it.  Who chooses differently,
because its list differs, is answered all the same.
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import NamedTuple

#: Fleets up to this size have links between all VMs.
FULL_MESH_VMS = 8
LINKS_BETWEEN_ZONES = 2
HASH_BYTES = 8


class VmKey(NamedTuple):
    """An entry VM, whichever process runs on it.

    Attributes:
        zone: Its availability zone.
        vm: Its name, unique in the zone.
    """

    zone: str
    vm: str


def rank_by_hash(seed: str, keys: Iterable[VmKey]) -> list[VmKey]:
    """Orders VMs by rendezvous hash, the one with the highest score first."""
    scores = {entry: _score(seed, entry) for entry in keys}
    return sorted(scores, key=scores.__getitem__, reverse=True)


def choose_peers(me: VmKey, usable: Collection[VmKey]) -> set[VmKey]:
    """Chooses whom ``me`` sends heartbeats to.

    Args:
        me: The VM that chooses.
        usable: All VMs that may be chosen, with or without ``me``.

    Returns:
        Every VM of a small fleet; otherwise all VMs of the own zone and the
        far ends of those links between zones that fall to ``me``.
    """
    everyone = {me, *usable}
    if len(everyone) <= FULL_MESH_VMS:
        return everyone - {me}
    by_zone: dict[str, list[VmKey]] = {}
    for key in everyone:
        by_zone.setdefault(key.zone, []).append(key)
    chosen = {key for key in by_zone[me.zone] if key != me}
    for zone, far in by_zone.items():
        if zone != me.zone:
            chosen.update(_far_ends(me, by_zone[me.zone], far))
    return chosen


def is_full_mesh(me: VmKey, usable: Collection[VmKey]) -> bool:
    """Says whether the fleet is small enough for links between all."""
    return len({me, *usable}) <= FULL_MESH_VMS


def _far_ends(
    me: VmKey,
    near: list[VmKey],
    far: list[VmKey],
) -> Iterable[VmKey]:
    seed = '/'.join(sorted((me.zone, far[0].zone)))
    near_ranked = rank_by_hash(seed, near)
    far_ranked = rank_by_hash(seed, far)
    for number in range(LINKS_BETWEEN_ZONES):
        if near_ranked[number % len(near_ranked)] == me:
            yield far_ranked[number % len(far_ranked)]


def _score(seed: str, key: VmKey) -> bytes:
    text = f'{seed}|{key.zone}|{key.vm}'
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
