"""Tasks of transient jobs that a cell runs for their coordinators.

A transient job is not stored.  The VM that its caller is connected to is its
coordinator: it assigns the tasks to cells and answers when all have ended.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.request.durable_job import DurableJob, TaskKey
from camphorlink.internal.core.request.returned_tasks import ReturnedTask
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks

#: Number of ended tasks that are remembered, a few seconds' worth on a busy
#: cell: their assignment may arrive twice when a connection breaks.
MAX_ENDED_TASKS = 5000


class TransientJob:
    """A transient job with its open tasks in one cell.

    Attributes:
        live: The job; its state covers only the tasks assigned to this cell.
        coordinator: Member that coordinates the job.
        open_tasks: Tasks that have not ended.
        assignment_by_task: Number of the newest assignment of each of them.
        useful_until_s: Time until which the job is of use, in seconds.
        movable_tasks: Those of them that may be returned because the cell is
            overloaded.
    """

    __slots__ = (
        'assignment_by_task',
        'coordinator',
        'live',
        'movable_tasks',
        'open_tasks',
        'useful_until_s',
    )

    def __init__(self, job: DurableJob, cell: str, coordinator: str) -> None:
        """Creates a job without tasks."""
        self.live = LiveJob(job, ((cell,),) * len(job.steps), -1)
        self.coordinator = coordinator
        self.open_tasks: set[TaskKey] = set()
        self.assignment_by_task: dict[TaskKey, int] = {}
        self.useful_until_s = math.inf
        self.movable_tasks: set[TaskKey] = set()

    def may_have_begun(self, waiting: WaitingTasks) -> bool:
        """Returns whether a task may have started in this cell.

        Args:
            waiting: Tasks that wait in the cell.  An open task that does not has
                a run, or may have one that is not listed.
        """
        return self.live.has_begun or any(
            task not in waiting for task in self.open_tasks
        )

    def returned(self, task: TaskKey, has_begun: bool) -> ReturnedTask:
        """Returns what its coordinator is told of a task that is returned."""
        return ReturnedTask(
            task, self.assignment_by_task.get(task, 0), has_begun
        )


class TaskReport(NamedTuple):
    """Report to a coordinator that a task has ended.

    Attributes:
        coordinator: Member that receives the report.
        task: The task.
        is_done: Whether it is done; otherwise it has used up its attempts.
    """

    coordinator: str
    task: TaskKey
    is_done: bool


class TransientJobTable:
    """Transient jobs of a cell, and recently ended tasks."""

    def __init__(self, cell: str) -> None:
        """Creates an empty table for a cell."""
        self._cell = cell
        self._job_by_id: dict[str, TransientJob] = {}
        self._job_ids_by_coordinator: dict[str, set[str]] = {}
        self._ended: OrderedDict[TaskKey, bool] = OrderedDict()

    def get(self, job_id: str) -> TransientJob | None:
        """Returns a job, or ``None`` if it has no open tasks in this cell."""
        return self._job_by_id.get(job_id)

    def accept(
        self,
        job: DurableJob,
        tasks: Sequence[TaskKey],
        coordinator: str,
    ) -> TransientJob:
        """Adds tasks of a job; a new coordinator replaces the previous one."""
        known = self._job_by_id.get(job.job_id)
        if known is None:
            known = TransientJob(job, self._cell, coordinator)
            self._job_by_id[job.job_id] = known
        self._release_from_coordinator(known, job.job_id)
        if known.coordinator != coordinator:
            # Each coordinator has its own numbers, which may be equal.
            known.assignment_by_task.clear()
            known.movable_tasks.clear()
        known.coordinator = coordinator
        job_ids = self._job_ids_by_coordinator.setdefault(coordinator, set())
        job_ids.add(job.job_id)
        known.open_tasks.update(tasks)
        return known

    def complete_task(self, task: TaskKey, is_done: bool) -> TaskReport | None:
        """Records that a task has ended and will not be retried.

        Returns:
            The report for its coordinator, or ``None`` if it is not open.
        """
        known = self._job_by_id.get(task.job_id)
        if known is None or task not in known.open_tasks:
            return None
        self._close(known, task)
        self._ended[task] = is_done
        while len(self._ended) > MAX_ENDED_TASKS:
            self._ended.popitem(last=False)
        return TaskReport(known.coordinator, task, is_done)

    def give_back(self, task: TaskKey) -> ReturnedTask | None:
        """Removes a task that is to be returned to its coordinator.

        Returns:
            The task with the number of its assignment, or ``None`` if it is
            not open.
        """
        known = self._job_by_id.get(task.job_id)
        if known is None or task not in known.open_tasks:
            return None
        returned = known.returned(task, known.live.has_begun)
        self._close(known, task)
        return returned

    def _close(self, known: TransientJob, task: TaskKey) -> None:
        known.open_tasks.discard(task)
        known.assignment_by_task.pop(task, None)
        known.movable_tasks.discard(task)
        if not known.open_tasks:
            self._job_by_id.pop(task.job_id)
            self._release_from_coordinator(known, task.job_id)

    def has_ended(self, task: TaskKey) -> bool:
        """Returns whether a task has recently ended in this cell."""
        return task in self._ended

    def repeat_report(
        self,
        task: TaskKey,
        coordinator: str,
    ) -> TaskReport | None:
        """Returns the report of a recently ended task, or ``None``."""
        is_done = self._ended.get(task)
        if is_done is None:
            return None
        return TaskReport(coordinator, task, is_done)

    def drop(self, job_id: str) -> set[TaskKey]:
        """Removes a job and returns its open tasks."""
        known = self._job_by_id.pop(job_id, None)
        if known is None:
            return set()
        self._release_from_coordinator(known, job_id)
        return known.open_tasks

    def jobs_of_coordinator(self, member: str) -> list[str]:
        """Returns the identifiers of the jobs that a member coordinates."""
        return sorted(self._job_ids_by_coordinator.get(member, ()))

    @property
    def coordinators(self) -> list[str]:
        """Members with open tasks in this cell."""
        return list(self._job_ids_by_coordinator)

    def _release_from_coordinator(
        self, known: TransientJob, job_id: str
    ) -> None:
        job_ids = self._job_ids_by_coordinator.get(known.coordinator, set())
        job_ids.discard(job_id)
        if not job_ids:
            self._job_ids_by_coordinator.pop(known.coordinator, None)
