"""One pass over the queue of a service: which tasks start where, now."""

from typing import NamedTuple

from camphorlink.internal.core.connection.slot_lending import NO_WANT, Want
from camphorlink.internal.core.request.placement import Choice, Slots
from camphorlink.internal.core.request.queues import (
    JobQueue,
    QueuedJob,
    WaitingTask,
)
from camphorlink.internal.core.request.quotas import Quotas

#: A slot sooner than this is no use to ask for, in seconds.
MIN_RUN_S = 0.004
#: Jobs that one pass looks at.
SCAN_JOBS = 4
#: Tasks that may wait for a better slot in one pass.
SCAN_TASKS = 8
#: Share of the slots that long tasks leave free.
KEPT_SHARE = 0.15
#: Share of the slots that long tasks may have in any case.
LONG_SHARE = 0.25


class Assignment(NamedTuple):
    """A task that starts now, and where."""

    job: QueuedJob
    task: WaitingTask
    choice: Choice


class LongGuard(NamedTuple):
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

    def may_start(self, task: WaitingTask, slots: Slots) -> bool:
        """Whether a task may have one of the free slots."""
        if task.work_s <= self.long_work_s:
            return True
        if slots.free > KEPT_SHARE * slots.held:
            return True
        return self.in_flight < LONG_SHARE * slots.held

    def after(self, task: WaitingTask) -> 'LongGuard':
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
        self, queue: JobQueue, slots: Slots, guard: LongGuard, quotas: Quotas
    ) -> None:
        """Binds the queue to the slots as they are now."""
        self.assignments: list[Assignment] = []
        self.want = NO_WANT
        self._queue = queue
        self._slots = slots
        self._patience = SCAN_TASKS
        self._guard = guard
        self._quotas = quotas
        self.is_limited = False
        self._held_teams: frozenset[str] = frozenset()

    def run(self) -> None:
        """Goes through the queue until slots or patience run out."""
        slots = self._slots
        while slots.free and self._patience > 0:
            jobs = self._queue.first(SCAN_JOBS, self._held_teams)
            if not jobs:
                return
            before = len(self.assignments) + len(self._held_teams)
            for job in jobs:
                self._start_job(job)
            if len(self.assignments) + len(self._held_teams) == before:
                break
        if not slots.free and self._queue.waiting_tasks:
            self._note_want(
                self._queue.waiting_tasks,
                self._queue.first_due_s,
                0.0,
            )

    def _start_job(self, job: QueuedJob) -> None:
        """Starts what it can of a job, longest task first."""
        slots = self._slots
        for task in reversed(job.tasks.copy()):
            if self._patience <= 0 or not slots.free:
                return
            if not self._guard.may_start(task, slots):
                continue
            if not self._quotas.may_start(job.run.job, slots.now):
                self.is_limited = True
                self._held_teams |= {job.run.job.team}
                return
            choice = slots.choose(job, task)
            job.finish_s = max(job.finish_s, choice.finish_s)
            if choice.must_wait:
                slots.reserve(choice, task.work_s)
                self._patience -= 1
                self._wish(job, task, choice)
            else:
                slots.take(choice.load)
                self._queue.take(job, task)
                self._guard = self._guard.after(task)
                self._quotas.note_start(job.run.job)
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
