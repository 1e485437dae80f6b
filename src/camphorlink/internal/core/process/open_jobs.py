"""Finds the jobs that a cell runs tasks of, durable or transient."""

from camphorlink.internal.core.process.job_table import JobTable, LiveJob
from camphorlink.internal.core.process.transient_job_table import (
    TransientJobTable,
)
from camphorlink.internal.core.request.durable_job import TaskKey


class OpenJobs:
    """The jobs of a cell that have not ended."""

    def __init__(self, table: JobTable, transient: TransientJobTable) -> None:
        """Takes where durable and where transient jobs are kept."""
        self._table = table
        self._transient = transient

    def find(self, job_id: str) -> LiveJob | None:
        """Returns a job that has not ended."""
        transient = self._transient.get(job_id)
        if transient is not None:
            return transient.live
        return self._table.live_by_id.get(job_id)

    def find_by_task(self, task: TaskKey) -> LiveJob | None:
        """Returns the job of a task, if the task has not ended for good."""
        transient = self._transient.get(task.job_id)
        if transient is not None:
            return transient.live if task in transient.open_tasks else None
        live = self._table.live_by_id.get(task.job_id)
        if live is None or live.is_task_done(task):
            return None
        return live
