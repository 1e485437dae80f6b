"""Selects which entry VMs exchange heartbeats.

All VMs of a zone exchange heartbeats.  Each pair of zones has a few links,
assigned to the VMs of a zone in turn, so that no VM has many.  Both ends
compute the same links from the names alone.  A VM with another list may
compute other links; its heartbeats are answered nevertheless.
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import NamedTuple

from camphorlink.internal.core.request.identifiers import Home

#: Fleets up to this size have links between all VMs.
FULL_MESH_VMS = 8
LINKS_BETWEEN_ZONES = 2
MAX_CACHED_CHOICES = 4
HASH_BYTES = 8


class VmKey(NamedTuple):
    """Identifies an entry VM independently of the process that runs on it.

    Attributes:
        zone: Availability zone of the VM.
        vm: Name of the VM, unique in the zone.
    """

    zone: str
    vm: str


class LinkSelector:
    """Chooses the heartbeat peers of one VM and caches the latest choices."""

    def __init__(self, me: VmKey) -> None:
        """Creates a selector of the peers of ``me``."""
        self._me = me
        self._chosen: dict[frozenset[VmKey], frozenset[VmKey]] = {}

    def choose(self, usable: Collection[VmKey]) -> frozenset[VmKey]:
        """Chooses the VMs to which heartbeats are sent.

        Args:
            usable: All VMs that can be chosen.

        Returns:
            Every VM of a small fleet; otherwise all VMs of the own zone and
            the far ends of the links to other zones that are assigned to
            this VM.
        """
        all_vms = frozenset((self._me, *usable))
        chosen = self._chosen.get(all_vms)
        if chosen is None:
            chosen = frozenset(_choose(self._me, all_vms))
            self._chosen[all_vms] = chosen
            if len(self._chosen) > MAX_CACHED_CHOICES:
                self._chosen.pop(next(iter(self._chosen)))
        return chosen

    def is_full_mesh(self, usable: Collection[VmKey]) -> bool:
        """Returns whether the fleet is small enough for a full mesh."""
        return len({self._me, *usable}) <= FULL_MESH_VMS


def choose_by_hash(seed: str, homes: Iterable[Home]) -> Home | None:
    """Chooses one of several processes by rendezvous hash.

    Callers with the same list choose the same process.  Callers with
    different lists may choose different ones, so the result must not be used
    where two chosen processes would be a fault.
    """
    return max(homes, key=lambda home: _score(seed, home), default=None)


def _score(seed: str, home: Home) -> bytes:
    text = f'{seed}|{home}'
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()


def _choose(me: VmKey, all_vms: frozenset[VmKey]) -> set[VmKey]:
    if len(all_vms) <= FULL_MESH_VMS:
        return set(all_vms) - {me}
    vms_by_zone: dict[str, list[VmKey]] = {}
    for entry in sorted(all_vms):
        vms_by_zone.setdefault(entry.zone, []).append(entry)
    chosen = set(vms_by_zone[me.zone])
    for far_zone in vms_by_zone:
        if far_zone != me.zone:
            chosen.update(_far_ends(me, vms_by_zone, far_zone))
    return chosen - {me}


def _far_ends(
    me: VmKey,
    vms_by_zone: dict[str, list[VmKey]],
    far_zone: str,
) -> Iterable[VmKey]:
    zones = list(vms_by_zone)
    near, far = vms_by_zone[me.zone], vms_by_zone[far_zone]
    near_first = zones.index(far_zone) * LINKS_BETWEEN_ZONES
    far_first = zones.index(me.zone) * LINKS_BETWEEN_ZONES
    for number in range(LINKS_BETWEEN_ZONES):
        if near[(near_first + number) % len(near)] == me:
            yield far[(far_first + number) % len(far)]
