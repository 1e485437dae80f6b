"""States of a transient task, its coordinator, two cells and their owners.

Time is counted in ticks, and each instant allows steps in any order.  All times
in a state are ages or remaining times, so that the state space is finite.
Limits are inclusive: what ends at an instant may still act at that instant.

An owner sends a frame at every instant at which it is not paused, and a
coordinator grants and assigns as soon as a frame arrives.  Each of these may
arrive late or never, which also covers senders that send less often.  Only the
newest of each kind is kept: an older one could have arrived before.
"""

from typing import NamedTuple

# What the owner of a cell knows of the run of the task.
IDLE = 'idle'
RUNNING = 'running'
STOPPING = 'stopping'

#: Remaining time of a lease or command that has expired or was never granted.
EXPIRED = -1

#: Age of a frame, or of the time that it echoes; ``None`` without a frame.
Age = int | None

LEASE_FROM_RECEIPT = 'lease-counted-from-the-receipt'
MOVE_WITHOUT_BACKEND_LEASE = 'move-without-the-lease-of-the-back-end'
RENEWAL_WHILE_STOPPING = 'renewals-while-a-stop-is-unconfirmed'
RENEWAL_WITHOUT_ASSIGNMENT = 'renewals-by-a-new-owner-without-an-assignment'
LATE_ASSIGNMENT = 'delayed-assignment-accepted-after-its-lease'
UNCHECKED_COMMAND = 'command-after-a-pause-without-a-check'


class Timing(NamedTuple):
    """Durations of the protocol, in ticks.

    Attributes:
        coordinator_lease: Time for which an owner may run tasks after the
            newest echo.
        stop_confirmation: Time for which a run that must end may leave its
            stop unconfirmed before renewals are withheld.
        backend_lease: Time for which a back end runs tasks after a renewal.
    """

    coordinator_lease: int = 1
    stop_confirmation: int = 1
    backend_lease: int = 1

    def move_bound(self, mutation: str) -> int:
        """Returns the silence after which the coordinator moves the task."""
        margin = 1
        backend_lease = (
            0 if mutation == MOVE_WITHOUT_BACKEND_LEASE else self.backend_lease
        )
        return (
            self.coordinator_lease
            + self.stop_confirmation
            + backend_lease
            + margin
        )


class Contact(NamedTuple):
    """What the coordinator has received from an owner and sent to it.

    Attributes:
        silence: Time since the last message of the owner, or ``None`` while
            the owner has sent none.
        granted: Age of the echo in the newest frame.
        assigned: Age of the echo in the newest assignment.
    """

    silence: Age = None
    granted: Age = None
    assigned: Age = None


class Owner(NamedTuple):
    """State of the process that owns a cell in one term.

    Attributes:
        is_paused: Whether the process is paused.
        sent: Age of the newest frame to the coordinator.
        lease: Remaining time of the coordinator's lease.
        has_task: Whether the task is assigned to the owner.
        has_listed: Whether the back end has listed its runs to the owner.
        run: What the owner knows of a run of the task.
        stop_age: Time since the owner began to stop the run.
        contact: Frames between the coordinator and the owner.
    """

    is_paused: bool = False
    sent: Age = 0
    lease: int = EXPIRED
    has_task: bool = False
    has_listed: bool = True
    run: str = IDLE
    stop_age: int = 0
    contact: Contact = Contact()


class Cell(NamedTuple):
    """A cell with one back end.

    Attributes:
        owners: Owners by term; ``None`` for one that the back end shuts out.
        former_silence: Time since the last message of an owner that was shut
            out.
        runs: Terms in which the present runs of the task were started.
        lease: Remaining time of the back end's lease.
        renewal: Remaining time of the newest renewal that may still arrive.
        start: Remaining time of a start command that may still arrive.
    """

    owners: tuple[Owner | None, ...] = (Owner(),)
    former_silence: Age = None
    runs: tuple[int, ...] = ()
    lease: int = EXPIRED
    renewal: int = EXPIRED
    start: int = EXPIRED


FIRST_CELL = 0
SECOND_CELL = 1


class LeasesState(NamedTuple):
    """State of the specification of coordinators' leases.

    Attributes:
        timing: Durations of the protocol.
        cells: The cell that the task is first assigned to, and the one that
            it is moved to.
        location: Index of the cell that the coordinator has assigned the task
            to.
        is_completed: Whether the coordinator knows that the task is done.
        has_unclaimed_renewal: Whether an owner renewed a run that it had no
            assignment for.
    """

    timing: Timing = Timing()
    cells: tuple[Cell, Cell] = (Cell(), Cell())
    location: int = FIRST_CELL
    is_completed: bool = False
    has_unclaimed_renewal: bool = False


def assign(owner: Owner) -> Owner:
    """Returns an owner that the coordinator has just heard and assigned."""
    return owner._replace(contact=Contact(0, 0, 0))


def set_cell(state: LeasesState, number: int, cell: Cell) -> LeasesState:
    """Replaces a cell.

    Without a run and a start command, the lease does not matter: the next start
    carries a lease of its own.
    """
    if not cell.runs and cell.start == EXPIRED:
        cell = cell._replace(lease=EXPIRED, renewal=EXPIRED)
    first, second = state.cells
    return state._replace(
        cells=(first, cell) if number else (cell, second),
    )


def set_owner(
    state: LeasesState,
    number: int,
    term: int,
    owner: Owner | None,
) -> LeasesState:
    """Replaces the owner of a term."""
    cell = state.cells[number]
    owners = list(cell.owners)
    owners[term - 1] = owner
    return set_cell(state, number, cell._replace(owners=tuple(owners)))
