"""One pass over the queue of a service: which tasks start where, now."""

from typing import NamedTuple

from camphorlink.internal.core.connection.slot_lending import NO_WANT, Want
from camphorlink.internal.core.request.job_queue import (
    JobQueue,
    QueuedJob,
    WaitingTask,
)
from camphorlink.internal.core.request.quotas import Quotas
from camphorlink.internal.core.request.slot_selector import (
    SlotChoice,
    SlotSelector,
)

#: A slot sooner than this is no use to ask for, in seconds.
MIN_RUN_S = 0.004
#: Jobs that one pass looks at.
JOBS_PER_SCAN = 4
#: Tasks that may wait for a better slot in one pass.
MAX_RESERVATIONS = 8
#: Share of the slots that long tasks leave free.
RESERVED_SLOT_SHARE = 0.15
#: Share of the slots that long tasks may have in any case.
MIN_LONG_TASK_SHARE = 0.25


class Assignment(NamedTuple):
    """A task that starts now, and where."""

    job: QueuedJob
    task: WaitingTask
    choice: SlotChoice


class LongTaskLimit(NamedTuple):
    """Keeps long tasks from taking every slot.

    A long task holds its slot for seconds, and short ones that arrive in the
    meantime would wait for it.  So the last free slots are kept for short
    tasks, however many long ones wait; a few long tasks always may run.

    Attributes:
        long_work_s: Expected run time from which a task is long.
        in_flight: Long tasks that run.
    """

    long_work_s: float
    in_flight: int

    def may_start(self, task: WaitingTask, slots: SlotSelector) -> bool:
        """Whether a task may have one of the free slots."""
        if task.work_s <= self.long_work_s:
            return True
        if slots.free > RESERVED_SLOT_SHARE * slots.held:
            return True
        return self.in_flight < MIN_LONG_TASK_SHARE * slots.held

    def add_started(self, task: WaitingTask) -> 'LongTaskLimit':
        """Counts a task that starts."""
        if task.work_s <= self.long_work_s:
            return self
        return self._replace(in_flight=self.in_flight + 1)


class ServicePass:
    """Assigns waiting tasks to free slots.

    Attributes:
        assignments: What starts.
        is_limited: Whether a quota or limit held tasks back.
        want: What slots of peers would be of use for.
    """

    def __init__(
        self,
        queue: JobQueue,
        slots: SlotSelector,
        long_task_limit: LongTaskLimit,
        quotas: Quotas,
    ) -> None:
        """Binds the queue to the slots as they are now."""
        self.assignments: list[Assignment] = []
        self.want = NO_WANT
        self._queue = queue
        self._slots = slots
        self._reservations_left = MAX_RESERVATIONS
        self._long_task_limit = long_task_limit
        self._quotas = quotas
        self.is_limited = False
        self._limited_teams: frozenset[str] = frozenset()

    def run(self) -> None:
        """Goes through the queue until slots or patience run out."""
        slots = self._slots
        while slots.free and self._reservations_left > 0:
            jobs = self._queue.first_jobs(JOBS_PER_SCAN, self._limited_teams)
            if not jobs:
                return
            handled_before = len(self.assignments) + len(self._limited_teams)
            for job in jobs:
                self._start_job(job)
            if (
                len(self.assignments) + len(self._limited_teams)
                == handled_before
            ):
                break
        if not slots.free and self._queue.waiting_tasks:
            self._add_want(
                self._queue.waiting_tasks,
                self._queue.first_due_s,
                0.0,
            )

    def _start_job(self, job: QueuedJob) -> None:
        """Starts what it can of a job, longest task first."""
        slots = self._slots
        for task in reversed(job.tasks.copy()):
            if self._reservations_left <= 0 or not slots.free:
                return
            if not self._long_task_limit.may_start(task, slots):
                continue
            if not self._quotas.may_start(job.run.job, slots.now):
                self.is_limited = True
                self._limited_teams |= {job.run.job.team}
                return
            choice = slots.choose(job, task)
            job.finish_s = max(job.finish_s, choice.finish_s)
            if choice.must_wait:
                slots.reserve(choice, task.work_s)
                self._reservations_left -= 1
                self._want_sooner_slot(job, task, choice)
            else:
                slots.take(choice.load)
                self._queue.take(job, task)
                self._long_task_limit = self._long_task_limit.add_started(task)
                self._quotas.note_start(job.run.job)
                self.assignments.append(Assignment(job, task, choice))

    def _want_sooner_slot(
        self, job: QueuedJob, task: WaitingTask, choice: SlotChoice
    ) -> None:
        run_s = max(choice.finish_s - self._slots.now, MIN_RUN_S)
        self._add_want(1, job.due_s, task.work_s / run_s)

    def _add_want(self, slots: int, due_s: float, min_speed: float) -> None:
        want = self.want
        self.want = Want(
            want.slots + slots,
            min(want.due_s, due_s),
            min(want.min_speed, min_speed),
            0.0,
        )
