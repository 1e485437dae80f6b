"""Leases under which this VM runs the tasks of other coordinators.

A coordinator confirms with each message which of this VM's messages it has
received.  Its lease counts from the time at which this VM sent that message, so
that it ends before a coordinator that hears nothing more from this VM starts its
tasks elsewhere, however late messages arrive or are processed.
"""

import math

from camphorlink.internal.core.connection.backend_runs import (
    CLOCK_DRIFT,
    LEASE_S,
    STOP_CONFIRMATION_S,
)

#: Duration of a lease in seconds.  Callers submit a job again 1.3 s after they
#: lost their coordinator; by then its tasks are stopped.
COORDINATOR_LEASE_S = 1.0
#: Margin for calls that are sent at the end of a lease, in seconds.
LEASE_MARGIN_S = 0.1
#: Time after the last message of an owner, in seconds, after which no run of a
#: task that was assigned to it can be active.
LOST_OWNER_TIMEOUT_S = (
    COORDINATOR_LEASE_S * (1 + CLOCK_DRIFT)
    + STOP_CONFIRMATION_S
    + LEASE_S * (1 + CLOCK_DRIFT)
    + LEASE_MARGIN_S
)


class CoordinatorLeases:
    """Leases by coordinator; all times are in seconds on this VM's clock."""

    def __init__(self, own_member: str) -> None:
        """Creates the leases of a VM that has heard of no coordinator.

        Args:
            own_member: Name of this process, whose own lease never expires.
        """
        self._own_member = own_member
        self._echo_s_by_member: dict[str, float] = {}
        self._number_by_member: dict[str, int] = {}

    def renew(self, member: str, echo_s: float, now: float) -> None:
        """Extends a lease.

        Args:
            member: The coordinator.
            echo_s: Time at which this VM sent a message that the coordinator
                has confirmed.  A time in the future counts as ``now``.
            now: Current time.
        """
        known_s = self._echo_s_by_member.get(member, -math.inf)
        self._echo_s_by_member[member] = max(known_s, min(echo_s, now))

    def forget(self, member: str) -> None:
        """Ends the lease of a coordinator that is lost."""
        self._echo_s_by_member.pop(member, None)

    def end_s(self, member: str) -> float:
        """Returns the end of a lease, minus infinity if there is none."""
        if member == self._own_member:
            return math.inf
        echo_s = self._echo_s_by_member.get(member, -math.inf)
        return echo_s + COORDINATOR_LEASE_S

    def is_valid(self, member: str, now: float) -> bool:
        """Returns whether tasks of a coordinator may run now."""
        return now < self.end_s(member)

    def accepts(self, member: str, echo_s: float | None, now: float) -> bool:
        """Returns whether an assignment of tasks is still in force.

        The tasks of one that was delayed beyond the lease that it was sent
        under may have been assigned to another cell since.

        Args:
            member: The coordinator.
            echo_s: Time at which this VM sent the message that the coordinator
                had received last when it sent the assignment.
            now: Current time.
        """
        if echo_s is None or now >= echo_s + COORDINATOR_LEASE_S:
            return False
        return self.is_valid(member, now)

    def is_newest(self, member: str, number: int) -> bool:
        """Records the number of an assignment that is in force.

        Assignments that may have been lost are sent again on the next channel,
        and those of an earlier channel may arrive late.  One that was received
        before may hold a task that was returned since and runs elsewhere; the
        coordinator has assigned its other tasks again on the new channel.

        Returns:
            Whether it is newer than all received before from this coordinator.
        """
        if number <= self._number_by_member.get(member, 0):
            return False
        self._number_by_member[member] = number
        return True
