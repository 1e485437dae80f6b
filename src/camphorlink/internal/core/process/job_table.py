"""State of all durable jobs, built by applying the records of the job log."""

import enum
import itertools
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.process.crash_table import CrashTable
from camphorlink.internal.core.request.crash_assessment import Assessment
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
    task_keys,
)
from camphorlink.internal.core.request.inherited_backends import (
    InheritedBackend,
)
from camphorlink.internal.core.request.job_records import (
    BackendCrashed,
    BackendsCommanded,
    BackendSurvived,
    CellClaimed,
    JobAccepted,
    JobCancelled,
    Record,
    RunCompletion,
    RunsCompleted,
    SnapshotTaken,
    TasksMoved,
)


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = 'queued'
    IN_PROGRESS = 'in_progress'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Owner(NamedTuple):
    """The VM that owns a cell and may command its back ends.

    Attributes:
        term: Fencing token; later owners of any cell have higher ones.
        member: Name of the VM's process.
        offset: Offset of its claim in the log.
    """

    term: int
    member: str
    offset: int


NO_OWNER = Owner(0, '', -1)


class LiveJob:
    """A job that has not ended.

    Attributes:
        job: The job as accepted.
        cells: Cells of the tasks of each step, before any moves: one cell per
            task, or a single one for all.
        checkpoint_by_task: Last checkpoint of the ended runs of each task.
        offset: Offset of its acceptance in the log.
        has_begun: Whether a task is known to have started.
        due_s: Time in seconds at which the job should have ended, by the clock
            of the VM that runs it, or ``None`` if no task is queued there.
        done_by_step: Numbers of the completed tasks of each step.
        failed_runs_by_task: Numbers of the failed runs of each task.
        cell_by_task: Current cell of each task that was moved.
    """

    __slots__ = ('cell_by_task', 'cells', 'checkpoint_by_task', 'done_by_step', 'due_s',
                 'failed_runs_by_task', 'has_begun', 'job',
                 'offset')  # fmt: skip

    def __init__(
        self,
        job: DurableJob,
        cells: tuple[tuple[str, ...], ...],
        offset: int,
    ) -> None:
        """Creates a job without completed tasks."""
        self.job = job
        self.cells = cells
        self.checkpoint_by_task: dict[TaskKey, str] = {}
        self.offset = offset
        self.has_begun = False
        self.due_s: float | None = None
        self.done_by_step: list[set[int]] = [set() for _ in job.steps]
        self.failed_runs_by_task: dict[TaskKey, set[int]] = {}
        self.cell_by_task: dict[TaskKey, str] = {}

    def cell_of(self, task: TaskKey) -> str:
        """Returns the cell that runs a task."""
        moved_to = self.cell_by_task.get(task)
        if moved_to is not None:
            return moved_to
        row = self.cells[task.step]
        return row[task.number] if len(row) > 1 else row[0]

    def is_step_done(self, step: int) -> bool:
        """Returns whether all tasks of a step are done."""
        return len(self.done_by_step[step]) == self.job.steps[step].width

    def is_task_done(self, task: TaskKey) -> bool:
        """Returns whether a task is done."""
        return task.number in self.done_by_step[task.step]

    def has_failed(self, task: TaskKey, run: int) -> bool:
        """Returns whether a run of a task is stored as failed."""
        return run in self.failed_runs_by_task.get(task, ())

    def is_step_due(self, step: int) -> bool:
        """Returns whether all prerequisites of a step are done."""
        return all(map(self.is_step_done, self.job.steps[step].after))

    def due_tasks(self) -> Iterable[TaskKey]:
        """Yields the tasks that may run and are not done."""
        due_steps = filter(self.is_step_due, range(len(self.job.steps)))
        for step in due_steps:
            tasks = task_keys(self.job, step)
            yield from itertools.filterfalse(self.is_task_done, tasks)

    @property
    def is_done(self) -> bool:
        """Whether all tasks of the job are done."""
        return all(map(self.is_step_done, range(len(self.job.steps))))


class TasksDue(NamedTuple):
    """Reports that tasks of a live job may run now.

    Attributes:
        live: The job.
        tasks: The tasks.
        is_first_start: Whether none of them can have been started before.
    """

    live: LiveJob
    tasks: tuple[TaskKey, ...]
    is_first_start: bool


class CompletionsStored(NamedTuple):
    """Reports that completions are stored, so they can be acknowledged.

    Attributes:
        cell: Cell that the tasks ran in.
        completions: The stored completions.
    """

    cell: str
    completions: tuple[RunCompletion, ...]


class JobEnded(NamedTuple):
    """Reports that a job ended; its remaining runs must be stopped.

    Attributes:
        live: The job.
        state: Its final state.
    """

    live: LiveJob
    state: JobState


class JobWithdrawn(NamedTuple):
    """Reports that a job was cancelled that is not stored, or not yet.

    Attributes:
        job_id: Identifier of the job, which may be transient.
    """

    job_id: str


class TasksGivenUp(NamedTuple):
    """Reports that tasks don't run again, as back ends crash under them.

    Attributes:
        tasks: The tasks, of durable and of transient jobs.
    """

    tasks: tuple[TaskKey, ...]


class OwnerChanged(NamedTuple):
    """Reports that a cell has a new owner.

    Attributes:
        cell: Name of the cell.
        owner: The new owner.
    """

    cell: str
    owner: Owner


Change = (
    TasksDue
    | CompletionsStored
    | JobEnded
    | JobWithdrawn
    | TasksGivenUp
    | OwnerChanged
)


class EndedJob(NamedTuple):
    """Final state of a job, kept for later queries.

    Attributes:
        state: Its final state.
        accepted_ms: Time of its acceptance, in ms.
    """

    state: JobState
    accepted_ms: int


class JobTable:
    """Builds the state of all jobs from the records of the job log.

    Every VM that reads the same log has the same table.

    Attributes:
        live_by_id: Jobs that have not ended.
        ended_by_id: Ended jobs that callers may still query.
        withdrawn_by_id: Offset of the cancellation of each job that was cancelled
            and is not stored.  If it is stored after all, it never runs.
        owner_by_cell: The last owner of each cell.
        commanded_by_cell: For each cell, start time in ms of the last known
            incarnation of each back end that its owners sent commands to.
        inherited_by_cell: For each cell, the back ends that its last owner has
            never reached.
        crashes: Crashes of back ends and the tasks that were there.
        last_term: Highest term assigned so far.
        snapshot_offset: Offset of the first record that the latest snapshot
            does not cover.
        next_offset: Offset of the next record to apply.
    """

    def __init__(self) -> None:
        """Creates an empty table at the beginning of the log."""
        self.live_by_id: dict[str, LiveJob] = {}
        self.ended_by_id: dict[str, EndedJob] = {}
        self.withdrawn_by_id: dict[str, int] = {}
        self.owner_by_cell: dict[str, Owner] = {}
        self.commanded_by_cell: dict[str, dict[str, int]] = {}
        self.inherited_by_cell: dict[str, dict[str, InheritedBackend]] = {}
        self.crashes = CrashTable()
        self.last_term = 0
        self.snapshot_offset = 0
        self.next_offset = 0

    def apply(self, record: Record) -> list[Change]:
        """Applies the record at ``next_offset`` and returns the changes."""
        changes = self._fold(record)
        self.next_offset += 1
        return changes

    def skip(self) -> None:
        """Skips a record that can't be decoded."""
        self.next_offset += 1

    def owner_of(self, cell: str) -> Owner:
        """Returns the owner of a cell, or ``NO_OWNER``."""
        return self.owner_by_cell.get(cell, NO_OWNER)

    @property
    def owners(self) -> set[str]:
        """Members that own a cell."""
        return {owner.member for owner in self.owner_by_cell.values()}

    def cells_of(self, member: str) -> list[str]:
        """Returns the cells that a member owns."""
        return [
            cell
            for cell, owner in self.owner_by_cell.items()
            if owner.member == member
        ]

    def forget_before(self, accepted_ms: int) -> None:
        """Removes ended jobs that were accepted before a time in ms."""
        while self.ended_by_id:
            job_id, ended = next(iter(self.ended_by_id.items()))
            if ended.accepted_ms >= accepted_ms:
                return
            self.ended_by_id.pop(job_id)

    def forget_withdrawn(self, offset: int) -> None:
        """Removes jobs that were cancelled before an offset of the log."""
        for job_id, cancelled_at in list(self.withdrawn_by_id.items()):
            if cancelled_at >= offset:
                return
            self.withdrawn_by_id.pop(job_id)

    @singledispatchmethod
    def _fold(self, record: Record) -> list[Change]:
        raise TypeError(record)

    @_fold.register
    def _fold_accepted(self, record: JobAccepted) -> list[Change]:
        job_id = record.job.job_id
        if job_id in self.live_by_id or job_id in self.ended_by_id:
            return []
        if self.withdrawn_by_id.pop(job_id, None) is not None:
            self.ended_by_id[job_id] = EndedJob(
                JobState.CANCELLED, record.job.accepted_ms
            )
            return []
        live = LiveJob(record.job, record.cells, self.next_offset)
        self.live_by_id[job_id] = live
        return [TasksDue(live, tuple(live.due_tasks()), is_first_start=True)]

    @_fold.register
    def _fold_ended(self, record: RunsCompleted) -> list[Change]:
        if self.owner_of(record.cell).term != record.term:
            return []
        changes: list[Change] = [
            CompletionsStored(record.cell, record.completions)
        ]
        for completion in record.completions:
            live = self.live_by_id.get(completion.task.job_id)
            if live is not None:
                changes.extend(self._apply_completion(live, completion))
        return changes

    @_fold.register
    def _fold_cancelled(self, record: JobCancelled) -> list[Change]:
        job_id = record.job_id
        live = self.live_by_id.get(job_id)
        if live is not None:
            return [self._end_job(live, JobState.CANCELLED)]
        if job_id in self.ended_by_id or job_id in self.withdrawn_by_id:
            return []
        self.withdrawn_by_id[job_id] = self.next_offset
        return [JobWithdrawn(job_id)]

    @_fold.register
    def _fold_claimed(self, record: CellClaimed) -> list[Change]:
        if self.owner_of(record.cell).term != record.replaces:
            return []
        self.last_term += 1
        owner = Owner(self.last_term, record.member, self.next_offset)
        self.owner_by_cell[record.cell] = owner
        return [OwnerChanged(record.cell, owner)]

    @_fold.register
    def _fold_commanded(self, record: BackendsCommanded) -> list[Change]:
        if self.owner_of(record.cell).term == record.term:
            self.commanded_by_cell[record.cell] = dict(record.incarnations)
            self.inherited_by_cell[record.cell] = {
                backend_id: InheritedBackend(*fields)
                for backend_id, *fields in record.inherited
            }
        return []

    @_fold.register
    def _fold_moved(self, record: TasksMoved) -> list[Change]:
        if self.owner_of(record.cell).term != record.term:
            return []
        changes: list[Change] = []
        for task in record.tasks:
            live = self.live_by_id.get(task.job_id)
            if live is not None and live.cell_of(task) == record.cell:
                live.cell_by_task[task] = record.to_cell
                changes.append(TasksDue(live, (task,), is_first_start=True))
        return changes

    @_fold.register
    def _fold_crashed(self, record: BackendCrashed) -> list[Change]:
        crash = self.crashes.record(record)
        given_up = tuple(
            task
            for task in crash.tasks
            if self.crashes.assess(task) is Assessment.GIVEN_UP
        )
        if not given_up:
            return []
        changes: list[Change] = [TasksGivenUp(given_up)]
        for task in given_up:
            live = self.live_by_id.get(task.job_id)
            if live is not None and not live.is_task_done(task):
                changes.append(self._end_job(live, JobState.FAILED))
        return changes

    @_fold.register
    def _fold_survived(self, record: BackendSurvived) -> list[Change]:
        self.crashes.retract(record)
        return []

    @_fold.register
    def _fold_snapshot(self, record: SnapshotTaken) -> list[Change]:
        self.snapshot_offset = max(self.snapshot_offset, record.offset)
        return []

    def _apply_completion(
        self, live: LiveJob, completion: RunCompletion
    ) -> list[Change]:
        task = completion.task
        live.has_begun = True
        if live.is_task_done(task):
            return []
        if not completion.is_done:
            runs = live.failed_runs_by_task.setdefault(task, set())
            if completion.run in runs:
                return []
            runs.add(completion.run)
            if len(runs) >= live.job.max_attempts:
                return [self._end_job(live, JobState.FAILED)]
            return [TasksDue(live, (task,), is_first_start=False)]
        live.done_by_step[task.step].add(task.number)
        if live.is_done:
            return [self._end_job(live, JobState.COMPLETED)]
        if not live.is_step_done(task.step):
            return []
        due = _due_after(live, task.step)
        return [TasksDue(live, due, is_first_start=True)] if due else []

    def _end_job(self, live: LiveJob, state: JobState) -> JobEnded:
        job = live.job
        self.live_by_id.pop(job.job_id)
        self.ended_by_id[job.job_id] = EndedJob(state, job.accepted_ms)
        return JobEnded(live, state)


def _due_after(live: LiveJob, done_step: int) -> tuple[TaskKey, ...]:
    return tuple(
        task
        for number, step in enumerate(live.job.steps)
        if done_step in step.after and live.is_step_due(number)
        for task in task_keys(live.job, number)
    )
