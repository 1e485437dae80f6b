"""Tasks of transient jobs that a cell runs for the VMs that coordinate them.

A transient job is not stored: the VM that its caller is connected to
coordinates it, gives its tasks to cells, and answers when all have ended.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.request.durable_job import DurableJob, TaskKey

#: Ended tasks that are remembered: some seconds of a busy cell, since an order
#: to run them may come twice when a channel breaks.
MAX_ENDED_TASKS = 5000


class TransientJob:
    """The tasks of one transient job that run in a cell.

    Attributes:
        live: The job; its state covers the tasks given to this cell.
        coordinator: Member that coordinates it.
        open: Tasks that have not ended.
    """

    __slots__ = ('coordinator', 'live', 'open_tasks')

    def __init__(self, job: DurableJob, cell: str, coordinator: str) -> None:
        """Starts with no task."""
        self.live = LiveJob(job, ((cell,),) * len(job.steps), -1)
        self.coordinator = coordinator
        self.open_tasks: set[TaskKey] = set()


class TaskReport(NamedTuple):
    """What became of a task, for its coordinator.

    Attributes:
        coordinator: Member to tell.
        task: The task.
        is_done: Whether it was done; else it is given up.
    """

    coordinator: str
    task: TaskKey
    is_done: bool


class TransientJobTable:
    """The transient jobs of a cell."""

    def __init__(self, cell: str) -> None:
        """Starts with none."""
        self._cell = cell
        self._job_by_id: dict[str, TransientJob] = {}
        self._ended: OrderedDict[TaskKey, bool] = OrderedDict()

    def get(self, job_id: str) -> TransientJob | None:
        """Returns a job, if it has open tasks here."""
        return self._job_by_id.get(job_id)

    def accept(
        self,
        job: DurableJob,
        tasks: Sequence[TaskKey],
        coordinator: str,
    ) -> TransientJob:
        """Takes tasks; a second coordinator takes the place of the first."""
        known = self._job_by_id.get(job.job_id)
        if known is None:
            known = TransientJob(job, self._cell, coordinator)
            self._job_by_id[job.job_id] = known
        known.coordinator = coordinator
        known.open_tasks.update(tasks)
        return known

    def complete_task(self, task: TaskKey, is_done: bool) -> TaskReport | None:
        """Notes that a task has ended for good."""
        known = self._job_by_id.get(task.job_id)
        if known is None or task not in known.open_tasks:
            return None
        known.open_tasks.discard(task)
        if not known.open_tasks:
            self._job_by_id.pop(task.job_id)
        self._ended[task] = is_done
        while len(self._ended) > MAX_ENDED_TASKS:
            self._ended.popitem(last=False)
        return TaskReport(known.coordinator, task, is_done)

    def has_ended(self, task: TaskKey) -> bool:
        """Tells whether a task ended here for good a short while ago."""
        return task in self._ended

    def repeat_report(
        self,
        task: TaskKey,
        coordinator: str,
    ) -> TaskReport | None:
        """Returns the report of a task that ended here a short while ago."""
        is_done = self._ended.get(task)
        if is_done is None:
            return None
        return TaskReport(coordinator, task, is_done)

    def drop(self, job_id: str) -> set[TaskKey]:
        """Forgets a job; returns its open tasks."""
        known = self._job_by_id.pop(job_id, None)
        return set() if known is None else known.open_tasks

    def jobs_of_coordinator(self, member: str) -> list[str]:
        """Returns the identifiers of jobs that a member coordinates."""
        return [
            job_id
            for job_id, known in self._job_by_id.items()
            if known.coordinator == member
        ]
