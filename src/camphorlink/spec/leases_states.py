"""States of a transient task, its coordinator, and the owners of its cell.

Time is counted in ticks, and each instant allows steps in any order.  All times
in a state are ages or remaining times, so that the state space is finite.
Limits are inclusive: what ends at an instant may still act at that instant.

An owner that is not paused sends frames at every instant, and the coordinator
answers each frame at once.  Frames and commands may arrive late or never.  Only
the newest of each kind is kept.  An older one could have arrived before; to the
coordinator, an older frame makes it wait as long for a shorter lease.

The cell that the task is moved to starts it at any time after the move, and that
run does not end.  So the search also finds a run in the first cell after the
task has ended in the second.
"""

from typing import NamedTuple

# What the owner of a cell knows of the run of the task.
IDLE = 'idle'
RUNNING = 'running'
STOPPING = 'stopping'

# Where the coordinator has the task.
ASSIGNED = 'assigned'
MOVED = 'moved'
RESTARTED = 'restarted'
COMPLETED = 'completed'

#: Remaining time of a command or a back end's lease that has expired.
EXPIRED = -1

#: Time since an event, or ``None`` if it never happened or no longer matters.
Age = int | None

LEASE_FROM_RECEIPT = 'lease-counted-from-the-receipt'
MOVE_WITHOUT_BACKEND_LEASE = 'move-without-the-lease-of-the-back-end'
RENEWAL_WHILE_STOPPING = 'renewals-while-a-stop-is-unconfirmed'
CONFIRMATION_FROM_NOTICE = 'confirmation-counted-from-the-notice'
RENEWAL_WITHOUT_ASSIGNMENT = 'renewals-by-a-new-owner-without-an-assignment'
LATE_ASSIGNMENT = 'delayed-assignment-accepted-after-its-lease'
UNCHECKED_RENEWAL = 'renewal-after-a-pause-without-a-check'


class Timing(NamedTuple):
    """Durations of the protocol, in ticks.

    Attributes:
        coordinator_lease: Time for which an owner may run tasks after the
            newest echo.
        stop_confirmation: Time for which a run that must end may leave its
            stop unconfirmed before renewals are withheld.
        backend_lease: Time for which a back end runs tasks after a renewal.
        margin: Time that the coordinator waits beyond all of these.
    """

    coordinator_lease: int = 1
    stop_confirmation: int = 1
    backend_lease: int = 1
    margin: int = 1

    def move_bound(self, mutation: str) -> int:
        """Returns the silence after which the coordinator moves the task."""
        bound = self.coordinator_lease + self.stop_confirmation + self.margin
        if mutation == MOVE_WITHOUT_BACKEND_LEASE:
            return bound
        return bound + self.backend_lease


class Contact(NamedTuple):
    """What the coordinator has received from an owner and sent to it.

    Attributes:
        silence: Time since the last message of the owner, or ``None`` while
            the owner has sent none, and once the task was moved.
        granted: Age of the echo in the newest frame.
        assigned: Age of the echo in the newest assignment.
    """

    silence: Age = None
    granted: Age = None
    assigned: Age = None


class Owner(NamedTuple):
    """State of the process that owns the cell in one term.

    Attributes:
        is_paused: Whether the process is paused.
        sent: Age of its newest frame to the coordinator.
        lease: Remaining time of the coordinator's lease, negative while the
            owner has not noticed its end; ``None`` without the task.
        has_listed: Whether the back end has listed its runs to the owner.
        run: What the owner knows of a run of the task.
        stop_age: Time since the run had to end.
        contact: Frames between the coordinator and the owner.
    """

    is_paused: bool = False
    sent: Age = 0
    lease: int | None = None
    has_listed: bool = True
    run: str = IDLE
    stop_age: int = 0
    contact: Contact = Contact()


class LeasesState(NamedTuple):
    """State of the specification of coordinators' leases.

    Attributes:
        timing: Durations of the protocol.
        status: Where the coordinator has the task.
        owners: Owners of the first cell by term; ``None`` for one that the
            back end shuts out.
        former_silence: Time since the last message of an owner that was shut
            out.
        runs: Terms in which the present runs in the first cell were started.
        lease: Remaining time of the lease of the first cell's back end.
        renewal: Remaining time of the newest renewal that may still arrive
            there.
        start: Remaining time of a start command that may still arrive there.
    """

    timing: Timing = Timing()
    status: str = ASSIGNED
    owners: tuple[Owner | None, ...] = ()
    former_silence: Age = None
    runs: tuple[int, ...] = ()
    lease: int = EXPIRED
    renewal: int = EXPIRED
    start: int = EXPIRED


def begin(timing: Timing) -> LeasesState:
    """Returns the state after the coordinator has first sent the task."""
    owner = Owner(contact=Contact(silence=0, granted=0, assigned=0))
    return LeasesState(timing=timing, owners=(owner,))


def list_present_owners(state: LeasesState) -> list[tuple[int, Owner]]:
    """Lists the owners that the back end accepts, with their terms."""
    return [
        (term, owner)
        for term, owner in enumerate(state.owners, 1)
        if owner is not None
    ]


def set_owner(state: LeasesState, term: int, owner: Owner) -> LeasesState:
    """Replaces the owner of a term."""
    owners = list(state.owners)
    owners[term - 1] = owner
    return state._replace(owners=tuple(owners))


def end_runs(state: LeasesState) -> LeasesState:
    """Ends the runs in the first cell."""
    return drop_idle_lease(state._replace(runs=()))


def drop_idle_lease(state: LeasesState) -> LeasesState:
    """Drops the lease of the back end without a run and a start command.

    The next start carries a lease of its own.
    """
    if state.runs or state.start > EXPIRED:
        return state
    return state._replace(lease=EXPIRED, renewal=EXPIRED)
