"""Broadcast over a spanning tree of entry VMs with limit intervals.

The algorithm is the one of El-Ansary, Alima, Brand and Haridi, "Efficient
Broadcast in Structured P2P Networks".  Every VM has a position on a ring of
identifiers and fingers at distances that are powers of two.  A message carries
a limit; its receiver forwards the message to the interval between its own
position and the limit.
"""

import bisect
import hashlib

from camphorlink.bench.broadcast_fleet import OVERHEAD_BYTES, BroadcastFleet
from camphorlink.internal.core.process.zone_links import VmKey

RING_BITS = 16
RING_SIZE = 1 << RING_BITS
LIMIT_BYTES = 4


class SpanningTree:
    """Broadcasts a change from one VM to the others by limit intervals."""

    def __init__(self, fleet: BroadcastFleet) -> None:
        """Computes the position of every VM on the ring."""
        self._fleet = fleet
        self._key_by_position = {_ring_position(key): key for key in fleet.keys}
        self._positions = sorted(self._key_by_position)

    def first_child(self, root: VmKey) -> VmKey:
        """Returns the child of ``root`` that covers the largest interval."""
        return self._key_by_position[self._fingers(_ring_position(root))[-1]]

    def start(self, root: VmKey) -> None:
        """Starts a broadcast in which ``root`` covers the whole ring."""
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
        """Returns the distinct fingers of a position, nearest first.

        The position itself is not among them.
        """
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
    """Returns whether a point lies in an open interval on the ring.

    An interval with equal ends is the whole ring without that point.
    """
    width = (end - start) % RING_SIZE or RING_SIZE
    return 0 < (point - start) % RING_SIZE < width
