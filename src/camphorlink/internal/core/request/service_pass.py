"""Assignment of waiting tasks to slots in one pass over a service's queue."""

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

#: Shortest run time that a requested slot has to achieve, in seconds; a request
#: for a still faster slot brings no benefit.
MIN_RUN_S = 0.004
#: Jobs that each iteration of a pass examines.
JOBS_PER_SCAN = 4
#: Tasks that may wait for a busy slot in one pass.
MAX_RESERVATIONS = 8
#: Share of the slots that is reserved for short tasks.
RESERVED_SLOT_SHARE = 0.15
#: Share of the slots that long tasks may always use.
MIN_LONG_TASK_SHARE = 0.25


class Assignment(NamedTuple):
    """Task that starts now, with the slot that was selected for it.

    Attributes:
        job: Job of the task.
        task: Task to be started.
        choice: Back end that runs the task.
    """

    job: QueuedJob
    task: WaitingTask
    choice: SlotChoice


class LongTaskLimit(NamedTuple):
    """Limits the slots that long tasks may use.

    A long task occupies its slot for seconds, during which short tasks would
    have to wait.  The last free slots are therefore reserved for short tasks,
    regardless of the number of waiting long tasks.  A few long tasks may
    always run.

    Attributes:
        long_work_s: Expected run time at speed 1 above which a task is long,
            in seconds.
        in_flight: Number of running long tasks.
    """

    long_work_s: float
    in_flight: int

    def may_start(self, task: WaitingTask, slots: SlotSelector) -> bool:
        """Returns whether a task may use one of the free slots."""
        if task.work_s <= self.long_work_s:
            return True
        if slots.free > RESERVED_SLOT_SHARE * slots.held:
            return True
        return self.in_flight < MIN_LONG_TASK_SHARE * slots.held

    def add_started(self, task: WaitingTask) -> 'LongTaskLimit':
        """Returns a limit that also counts a started task."""
        if task.work_s <= self.long_work_s:
            return self
        return self._replace(in_flight=self.in_flight + 1)


class ServicePass:
    """Assigns the waiting tasks of one service to free slots.

    Attributes:
        assignments: Tasks that start.
        is_limited: Whether a quota or limit prevented the start of a task.
        want: Slots that this VM requests from peers.
    """

    def __init__(
        self,
        queue: JobQueue,
        slots: SlotSelector,
        long_task_limit: LongTaskLimit,
        quotas: Quotas,
    ) -> None:
        """Creates a pass that has not assigned any task.

        Args:
            queue: Queue of the service.
            slots: Slots that are free now.
            long_task_limit: Limit of the slots for long tasks.
            quotas: Quotas that apply to the jobs.
        """
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
        """Assigns tasks until no slot is free or enough tasks wait for slots.

        The pass also ends when an iteration neither assigns a task nor finds
        another team without quota.
        """
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
        """Assigns as many tasks of a job as possible, longest first."""
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
                self._quotas.record_start(job.run.job)
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
