"""One pass over the queue of a service: which tasks start where, now."""

from typing import NamedTuple

from camphorlink.internal.core.connection.slot_lending import NO_WANT, Want
from camphorlink.internal.core.request.placement import Choice, Slots
from camphorlink.internal.core.request.queues import (
    JobQueue,
    QueuedJob,
    WaitingTask,
)

#: A slot sooner than this is no use to ask for, in seconds.
MIN_RUN_S = 0.004
#: Jobs that one pass looks at.
SCAN_JOBS = 4
#: Tasks that may wait for a better slot in one pass.
SCAN_TASKS = 8


class Assignment(NamedTuple):
    """A task that starts now, and where."""

    job: QueuedJob
    task: WaitingTask
    choice: Choice


class ServicePass:
    """Assigns waiting tasks to free slots.

    Attributes:
        assignments: What starts.
        want: What slots of peers would be of use for.
    """

    def __init__(self, queue: JobQueue, slots: Slots) -> None:
        """Binds the queue to the slots as they are now."""
        self.assignments: list[Assignment] = []
        self.want = NO_WANT
        self._queue = queue
        self._slots = slots
        self._patience = SCAN_TASKS

    def run(self) -> None:
        """Goes through the queue until slots or patience run out."""
        slots = self._slots
        while slots.free_by_load and self._patience > 0:
            jobs = self._queue.first(SCAN_JOBS)
            if not jobs:
                return
            before = len(self.assignments)
            for job in jobs:
                self._start_job(job)
            if len(self.assignments) == before:
                break
        if not slots.free_by_load and self._queue.waiting_tasks:
            self._note_want(
                self._queue.waiting_tasks,
                self._queue.first_due_s,
                0.0,
            )

    def _start_job(self, job: QueuedJob) -> None:
        """Starts what it can of a job, longest task first."""
        slots = self._slots
        for task in reversed(job.tasks.copy()):
            if self._patience <= 0 or not slots.free_by_load:
                return
            choice = slots.choose(job, task)
            if choice is None:
                return
            job.finish_s = max(job.finish_s, choice.finish_s)
            if choice.must_wait:
                slots.reserve(choice, task.work_s)
                self._patience -= 1
                self._wish(job, task, choice)
            else:
                slots.take(choice.load)
                job.take(task)
                self._queue.waiting_tasks -= 1
                self.assignments.append(Assignment(job, task, choice))

    def _wish(self, job: QueuedJob, task: WaitingTask, choice: Choice) -> None:
        run_s = max(choice.finish_s - self._slots.now, MIN_RUN_S)
        self._note_want(1, job.due_s, task.work_s / run_s)

    def _note_want(self, slots: int, due_s: float, min_speed: float) -> None:
        want = self.want
        self.want = Want(
            want.slots + slots,
            min(want.due_s, due_s),
            min(want.min_speed, min_speed),
            0.0,
        )
