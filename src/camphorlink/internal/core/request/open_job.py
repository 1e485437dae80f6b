"""State of an open transient job at its coordinator."""

import math

from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.request.durable_job import DurableJob, TaskKey
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)


class OpenJob:
    """State of a job whose caller waits for the answer.

    Attributes:
        objective_s: Response time objective of the job, in seconds.
        live: Progress of the job.
        cell_by_task: Cell of each task that has not ended.
        assignment_by_task: Number of the newest assignment of each of them.
        submitted_s: Time of its submission, in seconds.
        useful_s: Time from its submission until which it is of use, in seconds.
        may_have_begun: Whether a task may have run, besides those in
            ``cell_by_task``.
        settled_tasks: Tasks that an overloaded cell has returned; no cell may
            return them for that reason again.
        withdrawn_for: Why the job is withdrawn, while cells that may have begun
            it have not answered.
        withdrawn_s: Time of its withdrawal, in seconds.
    """

    def __init__(
        self,
        job: DurableJob,
        objective: float,
        submitted_s: float,
        useful_s: float,
    ) -> None:
        self.objective_s = objective
        self.live = LiveJob(job, (('',),) * len(job.steps), -1)
        self.cell_by_task: dict[TaskKey, str] = {}
        self.assignment_by_task: dict[TaskKey, int] = {}
        self.submitted_s = submitted_s
        self.useful_s = useful_s
        self.may_have_begun = False
        self.settled_tasks: set[TaskKey] = set()
        self.withdrawn_for: ReturnReason | None = None
        self.withdrawn_s = math.inf

    def is_current(self, cell: str, returned: ReturnedTask) -> bool:
        """Returns whether a returned task is not assigned anew."""
        return (
            self.cell_by_task.get(returned.task) == cell
            and self.assignment_by_task.get(returned.task)
            == returned.assignment
        )
