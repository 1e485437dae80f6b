"""Shares of a backend server's slots, without a coordinator.

Every entry VM of a zone works out the same whole-slot shares from its view
of the members: by size, the remainder by weighted rendezvous hashing, so
that a change of the view moves few slots.  Views that differ for a while
cost a refused message, never a task.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b

from camphorlink.internal.core.process.members import Member
from camphorlink.internal.core.request.identifiers import Home

DIGEST_BYTES = 8
DIGEST_RANGE = 1 << 64


def allot_slots(
    backend: str,
    slots: int,
    members: Iterable[Member],
) -> dict[Home, int]:
    """Shares the slots of one backend server out.

    Args:
        backend: Name of the backend server.
        slots: How many tasks it runs at once.
        members: The entry VMs of its zone that take load.

    Returns:
        Slots by entry VM; they add up to ``slots`` if there is any member.
    """
    known = [member for member in members if member.weight > 0]
    total = math.fsum(member.weight for member in known)
    shares = {}
    scores = []
    for member in known:
        exact = slots * member.weight / total
        shares[member.home] = int(exact)
        scores.append(
            (_score(backend, member.home, exact - int(exact)), member.home),
        )
    left = slots - sum(shares.values())
    for _score_of, home in sorted(scores, reverse=True)[:left]:
        shares[home] += 1
    return shares


def _score(backend: str, home: Home, weight: float) -> float:
    text = f'{backend} {home}'.encode()
    digest = blake2b(text, digest_size=DIGEST_BYTES).digest()
    drawn = (int.from_bytes(digest, 'big') + 1) / (DIGEST_RANGE + 1)
    return -weight / math.log(drawn)
