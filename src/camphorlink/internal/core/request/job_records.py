"""Records of the job log: what all entry VMs agree on, in one order.

The log's order decides: the first acceptance of an identifier counts, a claim
counts if it replaces the owner at that point, and ends count if their writer
still owns the cell there.  Every reader folds the same records to the same
state.
"""

from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
)


class JobAccepted(NamedTuple):
    """A job was accepted.

    Attributes:
        job: The job.
        cells: For each step the cells of its tasks, one for each or one for
            all.
    """

    job: DurableJob
    cells: tuple[tuple[str, ...], ...]


class RunCompletion(NamedTuple):
    """A run ended for good.

    Attributes:
        task: The task.
        run: Number of the run.
        is_done: Whether it did its work; else it failed.
    """

    task: TaskKey
    run: int
    is_done: bool


class RunsCompleted(NamedTuple):
    """Runs in a cell ended, seen by the owner of a term."""

    cell: str
    term: int
    ends: tuple[RunCompletion, ...]


class JobCancelled(NamedTuple):
    """A caller cancelled a job."""

    job_id: str


class CellClaimed(NamedTuple):
    """A VM takes over a cell.

    Attributes:
        cell: The cell.
        replaces: Term of the owner that it replaces, 0 for none.
        member: Who claims it.
    """

    cell: str
    replaces: int
    member: str


class BackendsCommanded(NamedTuple):
    """The owner of a term is about to give orders to these back ends.

    Attributes:
        cell: The cell.
        term: Term of its owner.
        lifetimes: Identifier and start, in ms, of each back end.
    """

    cell: str
    term: int
    incarnations: tuple[tuple[str, int], ...]


class TasksMoved(NamedTuple):
    """The owner of a term gives waiting tasks to another cell."""

    cell: str
    term: int
    to_cell: str
    tasks: tuple[TaskKey, ...]


class SnapshotTaken(NamedTuple):
    """A snapshot holds everything before an offset."""

    offset: int


Record = (
    JobAccepted
    | RunsCompleted
    | JobCancelled
    | CellClaimed
    | BackendsCommanded
    | TasksMoved
    | SnapshotTaken
)
