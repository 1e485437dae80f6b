"""Looks up the durable and transient jobs whose tasks a cell runs."""

from camphorlink.internal.core.process.job_table import JobTable, LiveJob
from camphorlink.internal.core.process.transient_job_table import (
    TransientJobTable,
)
from camphorlink.internal.core.request.durable_job import TaskKey


class OpenJobs:
    """Looks up jobs of a cell that have not ended."""

    def __init__(self, table: JobTable, transient: TransientJobTable) -> None:
        """Creates the lookup.

        Args:
            table: Durable jobs.
            transient: Transient jobs of the cell.
        """
        self._table = table
        self._transient = transient

    def find(self, job_id: str) -> LiveJob | None:
        """Returns a job by its identifier, or ``None`` if it has ended."""
        transient = self._transient.get(job_id)
        if transient is not None:
            return transient.live
        return self._table.live_by_id.get(job_id)

    def find_by_task(self, task: TaskKey) -> LiveJob | None:
        """Returns the job of a task, or ``None`` if the task has ended."""
        transient = self._transient.get(task.job_id)
        if transient is not None:
            return transient.live if task in transient.open_tasks else None
        live = self._table.live_by_id.get(task.job_id)
        if live is None or live.is_task_done(task):
            return None
        return live
