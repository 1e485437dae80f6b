"""The state of all durable jobs, folded from the records of the job log."""

import enum
import itertools
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
    task_keys,
)
from camphorlink.internal.core.request.job_records import (
    BackendsCommanded,
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
    """What callers are told about a job."""

    QUEUED = 'queued'
    IN_PROGRESS = 'in_progress'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Owner(NamedTuple):
    """Who commands the back ends of a cell.

    Attributes:
        term: Fencing token; later owners of any cell have higher ones.
        member: The VM's process.
        offset: Offset of its claim.
    """

    term: int
    member: str
    offset: int


NO_OWNER = Owner(0, '', -1)


class LiveJob:
    """A job that has not ended.

    Attributes:
        job: The job as accepted.
        cells: For each step the cells of its tasks unless they were moved,
            one for each task or one for all.
        checkpoint_by_task: What runs that are over had saved.
        offset: Offset of its acceptance.
        has_begun: Whether a task is known to have started.
        due_s: When it should have ended, by the clock of the VM that runs it,
            or ``None`` where none of its tasks was queued.
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
        """Starts with no task ended."""
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
        """Tells whether all tasks of a step are done."""
        return len(self.done_by_step[step]) == self.job.steps[step].width

    def is_task_done(self, task: TaskKey) -> bool:
        """Tells whether one task is done."""
        return task.number in self.done_by_step[task.step]

    def is_step_due(self, step: int) -> bool:
        """Tells whether all steps that a step waits for are done."""
        return all(map(self.is_step_done, self.job.steps[step].after))

    def due_tasks(self) -> Iterable[TaskKey]:
        """Names the tasks that may run and are not done."""
        due_steps = filter(self.is_step_due, range(len(self.job.steps)))
        for step in due_steps:
            tasks = task_keys(self.job, step)
            yield from itertools.filterfalse(self.is_task_done, tasks)

    @property
    def is_done(self) -> bool:
        """Whether all its tasks are done."""
        return all(map(self.is_step_done, range(len(self.job.steps))))


class TasksDue(NamedTuple):
    """Tasks of a live job may run now.

    Attributes:
        live: The job.
        tasks: The tasks.
        is_fresh: Whether it is certain that none of them was ever started.
    """

    live: LiveJob
    tasks: tuple[TaskKey, ...]
    is_fresh: bool


class EndsStored(NamedTuple):
    """The log holds these ends of a cell; they may be acknowledged."""

    cell: str
    ends: tuple[RunCompletion, ...]


class JobEnded(NamedTuple):
    """A job ended; nothing of it may run any more."""

    live: LiveJob
    state: JobState


class OwnerChanged(NamedTuple):
    """A cell has a new owner."""

    cell: str
    owner: Owner


Change = TasksDue | EndsStored | JobEnded | OwnerChanged


class EndedJob(NamedTuple):
    """What is remembered of a job after its end."""

    state: JobState
    accepted_ms: int


class JobTable:
    """Folds records; every VM that reads the same log has the same table.

    Attributes:
        live_by_id: Jobs that have not ended.
        ended_by_id: Jobs that have, for as long as callers may ask.
        owner_by_cell: The owner of each cell that ever had one.
        commanded_by_cell: Start of the last known lifetime, in ms, by back
            end, of those that owners of the cell gave orders to.
        last_term: Highest term given.
        snapshot_offset: What the latest snapshot covers.
        next_offset: Offset of the next record.
    """

    def __init__(self) -> None:
        """Starts at the beginning of the log."""
        self.live_by_id: dict[str, LiveJob] = {}
        self.ended_by_id: dict[str, EndedJob] = {}
        self.owner_by_cell: dict[str, Owner] = {}
        self.commanded_by_cell: dict[str, dict[str, int]] = {}
        self.last_term = 0
        self.snapshot_offset = 0
        self.next_offset = 0

    def apply(self, record: Record) -> list[Change]:
        """Folds the record at ``next_offset``."""
        changes = self._fold(record)
        self.next_offset += 1
        return changes

    def skip(self) -> None:
        """Passes over a record that can't be read."""
        self.next_offset += 1

    def owner_of(self, cell: str) -> Owner:
        """Returns the owner of a cell, or ``NO_OWNER``."""
        return self.owner_by_cell.get(cell, NO_OWNER)

    def forget_before(self, accepted_ms: int) -> None:
        """Forgets ended jobs that were accepted before a time."""
        while self.ended_by_id:
            job_id, ended = next(iter(self.ended_by_id.items()))
            if ended.accepted_ms >= accepted_ms:
                return
            self.ended_by_id.pop(job_id)

    @singledispatchmethod
    def _fold(self, record: Record) -> list[Change]:
        raise TypeError(record)

    @_fold.register
    def _fold_accepted(self, record: JobAccepted) -> list[Change]:
        job_id = record.job.job_id
        if job_id in self.live_by_id or job_id in self.ended_by_id:
            return []
        live = LiveJob(record.job, record.cells, self.next_offset)
        self.live_by_id[job_id] = live
        return [TasksDue(live, tuple(live.due_tasks()), is_fresh=True)]

    @_fold.register
    def _fold_ended(self, record: RunsCompleted) -> list[Change]:
        if self.owner_of(record.cell).term != record.term:
            return []
        changes: list[Change] = [EndsStored(record.cell, record.ends)]
        for end in record.ends:
            live = self.live_by_id.get(end.task.job_id)
            if live is not None:
                changes.extend(self._note_end(live, end))
        return changes

    @_fold.register
    def _fold_cancelled(self, record: JobCancelled) -> list[Change]:
        live = self.live_by_id.get(record.job_id)
        return [] if live is None else [self._end(live, JobState.CANCELLED)]

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
                changes.append(TasksDue(live, (task,), is_fresh=True))
        return changes

    @_fold.register
    def _fold_snapshot(self, record: SnapshotTaken) -> list[Change]:
        self.snapshot_offset = max(self.snapshot_offset, record.offset)
        return []

    def _note_end(self, live: LiveJob, end: RunCompletion) -> list[Change]:
        task = end.task
        live.has_begun = True
        if live.is_task_done(task):
            return []
        if not end.is_done:
            runs = live.failed_runs_by_task.setdefault(task, set())
            if end.run in runs:
                return []
            runs.add(end.run)
            if len(runs) >= live.job.max_attempts:
                return [self._end(live, JobState.FAILED)]
            return [TasksDue(live, (task,), is_fresh=False)]
        live.done_by_step[task.step].add(task.number)
        if live.is_done:
            return [self._end(live, JobState.COMPLETED)]
        if not live.is_step_done(task.step):
            return []
        due = _due_after(live, task.step)
        return [TasksDue(live, due, is_fresh=True)] if due else []

    def _end(self, live: LiveJob, state: JobState) -> JobEnded:
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
