"""The spanning tree with limit intervals, over a fleet of entry VMs.

After El-Ansary, Alima, Brand and Haridi, "Efficient Broadcast in Structured
P2P Networks".
Every VM has a place on a ring of identifiers and fingers at powers of two.
A message carries a limit; its receiver covers the interval up to there.
"""

import bisect
import hashlib

from camphorlink.bench.broadcast_fleet import OVERHEAD_BYTES, Fleet
from camphorlink.internal.core.process.zone_links import VmKey

RING_BITS = 16
RING = 1 << RING_BITS
LIMIT_BYTES = 4


class Tree:
    """Broadcasts from one VM along limit intervals."""

    def __init__(self, fleet: Fleet) -> None:
        """Gives every VM its place on the ring."""
        self._fleet = fleet
        self._key_by_place = {_place_of(key): key for key in fleet.keys}
        self._places = sorted(self._key_by_place)

    def first_child(self, root: VmKey) -> VmKey:
        """Returns the child that covers the largest interval."""
        return self._key_by_place[self._fingers(_place_of(root))[-1]]

    def start(self, root: VmKey) -> None:
        """Lets the root cover the whole ring."""
        place = _place_of(root)
        self._forward(place, place)

    def _forward(self, place: int, limit: int) -> None:
        fingers = self._fingers(place)
        for index, finger in enumerate(fingers):
            if not _is_between(finger, place, limit):
                break
            is_last = index + 1 == len(fingers)
            next_limit = limit if is_last else fingers[index + 1]
            if not _is_between(next_limit, place, limit):
                next_limit = limit
            self._send(place, finger, next_limit)

    def _send(self, place: int, finger: int, limit: int) -> None:
        target = self._key_by_place[finger]
        self._fleet.send(
            self._key_by_place[place],
            target,
            self._fleet.sizes.record + LIMIT_BYTES + OVERHEAD_BYTES,
            lambda: self._receive(target, finger, limit),
        )

    def _receive(self, key: VmKey, place: int, limit: int) -> None:
        self._fleet.learn(key)
        self._forward(place, limit)

    def _fingers(self, place: int) -> list[int]:
        """Lists the distinct fingers, nearest first, without oneself."""
        fingers: list[int] = []
        for bit in range(RING_BITS):
            finger = self._successor((place + (1 << bit)) % RING)
            if finger != place and finger not in fingers:
                fingers.append(finger)
        return fingers

    def _successor(self, point: int) -> int:
        index = bisect.bisect_left(self._places, point)
        return self._places[index % len(self._places)]


def _place_of(key: VmKey) -> int:
    text = f'{key.zone}.{key.vm}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=2).digest())


def _is_between(point: int, start: int, end: int) -> bool:
    """Says whether a point lies in the open interval on the ring."""
    width = (end - start) % RING or RING
    return 0 < (point - start) % RING < width
