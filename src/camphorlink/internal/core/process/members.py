"""Immutable view of the known entry VMs and their states.

The view is used only to distribute load and to address messages.  No safety
property depends on its accuracy, or on two VMs having the same view.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.request.identifiers import Home


class MemberState(enum.Enum):
    """Liveness of an entry VM as seen by this process.

    ``LIVE``: it sends heartbeats.  ``SUSPECT``: no heartbeat arrived for some
    time, but it may be paused or partitioned.  ``LEAVING``: it takes no new
    work.  ``SEALED``: its tables are final and are handed over.  ``GONE``:
    this incarnation is presumed to have ended.
    """

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    SEALED = 'sealed'
    GONE = 'gone'


class Member(NamedTuple):
    """One incarnation of an entry VM's process, with its address and state.

    Attributes:
        home: Zone, VM and incarnation.
        address: IP address and port for messages of other entry VMs.
        state: Its liveness as seen by this process.
        weight: Size relative to other VMs, without a unit.
    """

    home: Home
    address: str
    state: MemberState = MemberState.LIVE
    weight: float = 1.0


class MemberView(NamedTuple):
    """All known entry VMs, including this one.

    Attributes:
        members: Members sorted by home.
    """

    members: tuple[Member, ...] = ()

    def find(self, home: Home) -> Member | None:
        """Returns the member with exactly this incarnation, or ``None``."""
        for member in self.members:
            if member.home == home:
                return member
        return None

    def in_zone(self, zone: str) -> tuple[Member, ...]:
        """Returns all members of a zone, in any state."""
        return tuple(
            member for member in self.members if member.home.zone == zone
        )

    def live_in_zone(self, zone: str) -> tuple[Member, ...]:
        """Returns the live members of a zone, which can take load."""
        return tuple(
            member
            for member in self.in_zone(zone)
            if member.state is MemberState.LIVE
        )


def build_view(members: Iterable[Member]) -> MemberView:
    """Returns a view with the members sorted by home."""
    return MemberView(tuple(sorted(members, key=_by_home)))


def _by_home(member: Member) -> Home:
    return member.home
