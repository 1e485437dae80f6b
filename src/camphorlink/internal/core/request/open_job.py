"""State of an open transient job at its coordinator."""

from typing import NamedTuple

from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.request.durable_job import DurableJob, TaskKey
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)


class Withdrawal(NamedTuple):
    """Withdrawal of a job whose cells are asked whether they have begun it.

    Attributes:
        reason: Why the job is withdrawn.
        since_s: Time of the withdrawal, in seconds.
    """

    reason: ReturnReason
    since_s: float


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
        withdrawal: Its withdrawal, or ``None`` if it is not withdrawn.
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
        self.withdrawal: Withdrawal | None = None

    def tasks_in(self, cell: str) -> tuple[TaskKey, ...]:
        """Returns the open tasks that are assigned to a cell."""
        return tuple(
            task for task, chosen in self.cell_by_task.items() if chosen == cell
        )

    def is_current(self, cell: str, returned: ReturnedTask) -> bool:
        """Returns whether a returned task is not assigned anew."""
        return (
            self.cell_by_task.get(returned.task) == cell
            and self.assignment_by_task.get(returned.task)
            == returned.assignment
        )
