"""Records of the job log, which all entry VMs read in the same order.

The order of the log resolves conflicts.  Only the first acceptance of a job
identifier is valid.  A claim is valid if it replaces the cell's owner at its
position in the log, and completions are valid if their writer still owns the
cell at that position.  Every reader therefore folds the records to the same
state.
"""

from typing import NamedTuple

from camphorlink.internal.core.request.crash_assessment import CrashKind
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
)


class JobAccepted(NamedTuple):
    """Records that a job was accepted.

    Attributes:
        job: The job.
        cells: Cells of the tasks by step: either one cell for each task of
            the step, or a single cell for all of them.
    """

    job: DurableJob
    cells: tuple[tuple[str, ...], ...]


class RunCompletion(NamedTuple):
    """Completion of a run, either successful or failed.

    Attributes:
        task: Task of the run.
        run: Number of the run.
        is_done: Whether the run succeeded; otherwise it failed.
    """

    task: TaskKey
    run: int
    is_done: bool


class RunsCompleted(NamedTuple):
    """Records completed runs in a cell, as observed by its owner."""

    cell: str
    term: int
    completions: tuple[RunCompletion, ...]


class JobCancelled(NamedTuple):
    """Records that a caller cancelled a job.

    The job may be unknown: its acceptance may follow, from a VM that had lost the
    store, and then it does not run.
    """

    job_id: str


class CellClaimed(NamedTuple):
    """Records that a VM claims the ownership of a cell.

    Attributes:
        cell: The cell.
        replaces: Term of the owner that is replaced, 0 for none.
        member: Member that claims the cell.
    """

    cell: str
    replaces: int
    member: str


class BackendsCommanded(NamedTuple):
    """Records the back ends to which a cell's owner will send commands.

    Attributes:
        cell: The cell.
        term: Term of the owner.
        incarnations: Identifier and start time, in ms, of each back end.
        inherited: Identifier, and the fields of ``InheritedBackend``, of each
            back end that this owner has never reached.
    """

    cell: str
    term: int
    incarnations: tuple[tuple[str, int], ...]
    inherited: tuple[tuple[str, int, int], ...] = ()


class TasksMoved(NamedTuple):
    """Records that a cell's owner moves waiting tasks to another cell."""

    cell: str
    term: int
    to_cell: str
    tasks: tuple[TaskKey, ...]


class Incarnation(NamedTuple):
    """Identifies one incarnation of a back end.

    Attributes:
        backend_id: Identifier of the back end.
        started_ms: Start time of the incarnation, in ms.
    """

    backend_id: str
    started_ms: int


class BackendCrashed(NamedTuple):
    """Records that a back end crashed, and the tasks that were there.

    It holds whoever owns the cell, and for transient tasks, too.

    Attributes:
        backend_id: Identifier of the back end.
        started_ms: Start time of the incarnation that ended, in ms.
        tasks: Tasks that were running there when it was last heard of, the
            last started one first.
        kind: What is known of the crash.
        unconfirmed: Tasks that may have been there: their start was not
            answered, or they were being stopped.
        is_certain: Whether the incarnation has certainly ended.  Otherwise the
            crash may be recorded again as certain, or retracted.
    """

    backend_id: str
    started_ms: int
    tasks: tuple[TaskKey, ...]
    kind: CrashKind
    unconfirmed: tuple[TaskKey, ...] = ()
    is_certain: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that ended."""
        return Incarnation(self.backend_id, self.started_ms)

    @property
    def possible_tasks(self) -> tuple[TaskKey, ...]:
        """The tasks that were there or may have been there."""
        return (*self.tasks, *self.unconfirmed)


class BackendSurvived(NamedTuple):
    """Records that a back end had not crashed although it was recorded.

    Attributes:
        backend_id: Identifier of the back end.
        started_ms: Start time of the incarnation, in ms.
    """

    backend_id: str
    started_ms: int

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that has not ended."""
        return Incarnation(self.backend_id, self.started_ms)


class SnapshotTaken(NamedTuple):
    """Records that a snapshot covers all records before an offset."""

    offset: int


Record = (
    JobAccepted
    | RunsCompleted
    | JobCancelled
    | CellClaimed
    | BackendsCommanded
    | TasksMoved
    | BackendCrashed
    | BackendSurvived
    | SnapshotTaken
)
