"""The spanning tree with limit intervals, over a fleet of entry VMs.

After El-Ansary, Alima, Brand and Haridi, "Efficient Broadcast in Structured
P2P Networks".
Every VM has a place on a ring of identifiers and fingers at powers of two.
A message carries a limit; its receiver covers the interval up to there.
"""

import bisect
import hashlib

from camphorlink.bench.broadcast_fleet import OVERHEAD_BYTES, BroadcastFleet
from camphorlink.internal.core.process.zone_links import VmKey

RING_BITS = 16
RING_SIZE = 1 << RING_BITS
LIMIT_BYTES = 4


class SpanningTree:
    """Broadcasts from one VM along limit intervals."""

    def __init__(self, fleet: BroadcastFleet) -> None:
        """Gives every VM its place on the ring."""
        self._fleet = fleet
        self._key_by_position = {_ring_position(key): key for key in fleet.keys}
        self._positions = sorted(self._key_by_position)

    def first_child(self, root: VmKey) -> VmKey:
        """Returns the child that covers the largest interval."""
        return self._key_by_position[self._fingers(_ring_position(root))[-1]]

    def start(self, root: VmKey) -> None:
        """Lets the root cover the whole ring."""
        position = _ring_position(root)
        self._forward(position, position)

    def _forward(self, position: int, limit: int) -> None:
        fingers = self._fingers(position)
        for index, finger in enumerate(fingers):
            if not _is_between(finger, position, limit):
                break
            is_last = index + 1 == len(fingers)
            next_limit = limit if is_last else fingers[index + 1]
            if not _is_between(next_limit, position, limit):
                next_limit = limit
            self._send(position, finger, next_limit)

    def _send(self, position: int, finger: int, limit: int) -> None:
        target = self._key_by_position[finger]
        self._fleet.send(
            self._key_by_position[position],
            target,
            self._fleet.sizes.record + LIMIT_BYTES + OVERHEAD_BYTES,
            lambda: self._receive(target, finger, limit),
        )

    def _receive(self, key: VmKey, position: int, limit: int) -> None:
        self._fleet.receive_change(key)
        self._forward(position, limit)

    def _fingers(self, position: int) -> list[int]:
        """Lists the distinct fingers, nearest first, without oneself."""
        fingers: list[int] = []
        for bit in range(RING_BITS):
            finger = self._successor((position + (1 << bit)) % RING_SIZE)
            if finger != position and finger not in fingers:
                fingers.append(finger)
        return fingers

    def _successor(self, point: int) -> int:
        index = bisect.bisect_left(self._positions, point)
        return self._positions[index % len(self._positions)]


def _ring_position(key: VmKey) -> int:
    text = f'{key.zone}.{key.vm}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=2).digest())


def _is_between(point: int, start: int, end: int) -> bool:
    """Says whether a point lies in the open interval on the ring."""
    width = (end - start) % RING_SIZE or RING_SIZE
    return 0 < (point - start) % RING_SIZE < width
