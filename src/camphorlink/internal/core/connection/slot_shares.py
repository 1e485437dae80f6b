"""Division of a backend server's slots among entry VMs, without a coordinator.

Each entry VM of a zone computes the same shares, in whole slots, from its view
of the members.  Shares are proportional to the weights of the VMs, rounded
down; the remaining slots are assigned by weighted rendezvous hashing, so that a
membership change moves few slots.  While the views of the VMs differ, a back
end may refuse a message, but no task is lost.
"""

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.process.members import Member, MemberView
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.identifiers import Home

DIGEST_BYTES = 8
DIGEST_RANGE = 1 << 64
#: Delay in seconds from a membership change until shares may increase.
GROWTH_DELAY_S = 1.0


def allot_slots(
    backend: str,
    slots: int,
    members: Iterable[Member],
) -> dict[Home, int]:
    """Divides the slots of one backend server among entry VMs.

    Args:
        backend: Name of the backend server.
        slots: Number of tasks that it runs at once.
        members: The live entry VMs of its zone.

    Returns:
        Slots by entry VM; the sum is ``slots`` if there is any member with a
        positive weight.
    """
    weighted_members = [member for member in members if member.weight > 0]
    total_weight = math.fsum(member.weight for member in weighted_members)
    shares = {}
    scores = []
    for member in weighted_members:
        exact_share = slots * member.weight / total_weight
        shares[member.home] = int(exact_share)
        scores.append(
            (
                _score(backend, member.home, exact_share - int(exact_share)),
                member.home,
            ),
        )
    remaining_slots = slots - sum(shares.values())
    for _member_score, home in sorted(scores, reverse=True)[:remaining_slots]:
        shares[home] += 1
    return shares


class SlotShares:
    """Computes how many slots of each back end of its zone this VM may use.

    Attributes:
        address_by_peer: Addresses of the other live entry VMs of the zone.
        address_by_any_peer: Addresses of the other entry VMs of all zones, live
            or not.
    """

    def __init__(
        self,
        home: Home,
        timers: Timers,
        load_by_backend: Mapping[str, BackendLoad],
    ) -> None:
        """Creates shares; this VM has all slots until the first view."""
        self.address_by_peer: dict[Home, str] = {}
        self.address_by_any_peer: dict[Home, str] = {}
        self._home = home
        self._timers = timers
        self._load_by_backend = load_by_backend
        self._members: tuple[Member, ...] = ()

    def change_view(self, view: MemberView, now: float) -> None:
        """Applies a new member view.

        The first view takes effect at once.  After a later one, shares shrink
        at once but grow only after ``GROWTH_DELAY_S``.
        """
        is_first = not self._members
        self.address_by_any_peer = {
            member.home: member.address
            for member in view.members
            if member.home != self._home
        }
        members = view.live_in_zone(self._home.zone)
        if all(member.home != self._home for member in members):
            members = (*members, Member(self._home, ''))
        self._members = members
        self.address_by_peer.clear()
        self.address_by_peer.update(
            {
                member.home: member.address
                for member in members
                if member.home != self._home
            }
        )
        self.allot(may_grow=is_first)
        if not is_first:
            self._timers.call_at(
                now + GROWTH_DELAY_S,
                lambda _now: self.allot(may_grow=True),
            )

    def allot(self, may_grow: bool) -> None:
        """Sets the number of slots of each back end that this VM may use."""
        if not self._members:
            return
        for name, load in self._load_by_backend.items():
            shares = allot_slots(name, load.backend.slots, self._members)
            share = shares[self._home]
            load.allotted = share if may_grow else min(share, load.allotted)


def _score(backend: str, home: Home, weight: float) -> float:
    text = f'{backend} {home}'.encode()
    digest = blake2b(text, digest_size=DIGEST_BYTES).digest()
    uniform = (int.from_bytes(digest, 'big') + 1) / (DIGEST_RANGE + 1)
    return -weight / math.log(uniform)
