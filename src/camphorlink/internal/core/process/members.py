"""The entry VMs that this one knows, as one immutable view.

The view steers load and messages only.  Nothing that must hold depends on
its being right or on two VMs having the same one.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.request.identifiers import Home


class MemberState(enum.Enum):
    """What is thought of an entry VM.

    ``SUSPECT``: silent, but it may be paused or cut off.  ``LEAVING``: it
    takes no new work.  ``SEALED``: its table is final and handed over.
    ``GONE``: this very process will not speak again.
    """

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    SEALED = 'sealed'
    GONE = 'gone'


class Member(NamedTuple):
    """One process of an entry VM.

    Attributes:
        home: Zone, VM and incarnation.
        address: IP number and port for messages of other entry VMs.
        state: What is thought of it.
        weight: Its size relative to others, a pure number.
    """

    home: Home
    address: str
    state: MemberState = MemberState.LIVE
    weight: float = 1.0


class MemberView(NamedTuple):
    """All entry VMs known, this one included.

    Attributes:
        members: In the order of their homes.
    """

    members: tuple[Member, ...] = ()

    def find(self, home: Home) -> Member | None:
        """Returns the member with this very incarnation."""
        for member in self.members:
            if member.home == home:
                return member
        return None

    def in_zone(self, zone: str) -> tuple[Member, ...]:
        """Lists all members of a zone, whatever their state."""
        return tuple(
            member for member in self.members if member.home.zone == zone
        )

    def live_in_zone(self, zone: str) -> tuple[Member, ...]:
        """Lists the members of a zone that may take load."""
        return tuple(
            member
            for member in self.in_zone(zone)
            if member.state is MemberState.LIVE
        )


def build_view(members: Iterable[Member]) -> MemberView:
    """Puts members in their fixed order."""
    return MemberView(tuple(sorted(members, key=_by_home)))


def _by_home(member: Member) -> Home:
    return member.home
