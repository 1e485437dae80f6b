"""Scheduling of waiting tasks on the backend servers of a zone.

Tasks wait at the entry VM and are assigned to a backend server only when it
has a free slot.  A task that waited at a backend server could not be moved to
another one that becomes free earlier.
"""

import itertools
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_health import HealthGuard
from camphorlink.internal.core.connection.backend_pool import BackendPool
from camphorlink.internal.core.connection.slot_lending import (
    NO_WANT,
    SlotLending,
    merge_wants,
)
from camphorlink.internal.core.connection.slot_messages import (
    BackendSuspect,
    DemandReport,
    LimitDemand,
    SlotMessage,
)
from camphorlink.internal.core.connection.slot_shares import SlotShares
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberView
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.decision_recorder import DecisionRecorder
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Answer, Job
from camphorlink.internal.core.request.job_intake import JobIntake
from camphorlink.internal.core.request.job_queue import (
    JobQueue,
    QueuedJob,
    WaitingTask,
)
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.quotas import (
    REPORT_PERIOD_S,
    LimitKey,
    Quotas,
)
from camphorlink.internal.core.request.retry_budget import RetryBudget
from camphorlink.internal.core.request.run_times import RunTimes
from camphorlink.internal.core.request.service_pass import (
    Assignment,
    LongTaskLimit,
    ServicePass,
)
from camphorlink.internal.core.request.slot_selector import SlotSelector
from camphorlink.internal.core.version.manifest import Manifest

MS_PER_S = 1000
#: Period of the checks for overrun tasks and ended ejections, in seconds.
CHECK_PERIOD_S = 0.25
#: A failure counts as quick if it occurs within this share of the expected run
#: time.
QUICK_FAILURE_SHARE = 0.1
#: Delay of the next pass after a limit prevented the start of a task, in
#: seconds.
LIMIT_RETRY_DELAY_S = 0.02


class TaskAttempt(NamedTuple):
    """Attempt of a task that is in flight.

    Attributes:
        number: Number of the attempt, unique at this VM.
        start_s: Core time of the start, in seconds.
        task: Task that was started.
        job: Job of the task.
        is_long: Whether the task counts as long.
    """

    number: int
    start_s: float
    task: WaitingTask
    job: QueuedJob
    is_long: bool


class Scheduler:
    """Queues the tasks of each service and starts them on backend servers.

    Attributes:
        decisions: Recorder of the decisions on submissions.
    """

    def __init__(self, home: Home, timers: Timers) -> None:
        """Creates a scheduler without a manifest.

        Args:
            home: Incarnation of this VM, whose zone's back ends are used.
            timers: Timers for periodic checks, reports and retries.
        """
        self.decisions = DecisionRecorder()
        self._timers = timers
        self._run_times = RunTimes()
        self._pool = BackendPool(home.zone)
        self._intake = JobIntake(self._pool, self._run_times)
        self._quotas = Quotas(home)
        self._attempt_by_ticket: dict[messages.Ticket, TaskAttempt] = {}
        self._attempt_numbers = itertools.count()
        self._health_guard = HealthGuard()
        self._retry_budget = RetryBudget()
        self._long_tasks_in_flight = 0
        self._is_limit_delay_set = False
        self._last_demands: tuple[LimitDemand, ...] = ()
        self._effects: list[messages.Effect] = []
        # Cached, because each access to a singledispatchmethod builds a
        # wrapper.
        self._dispatch_completion = self._record_completion
        loads = self._pool.load_by_backend
        self._shares = SlotShares(home, timers, loads)
        self._lending = SlotLending(timers, loads, self._shares.address_by_peer)

    def install(self, manifest: Manifest, now: float) -> None:
        """Applies the backend servers and limits of a new version."""
        if not self._pool.manifest.digest:
            self._timers.call_every(now, CHECK_PERIOD_S, self._check)
            self._timers.call_every(now, REPORT_PERIOD_S, self._report_demand)
        self._pool.install(manifest)
        self._shares.allot(may_grow=True)
        self._health_guard.install(self._pool.load_by_backend.values(), now)
        self._quotas.install(manifest, now)
        self._run_times.install(manifest)

    def change_view(self, view: MemberView, now: float) -> None:
        """Applies a new view of the entry VMs."""
        self._shares.change_view(view, now)
        self._quotas.change_view(view)

    def handle_peer_message(
        self, peer: Home, message: SlotMessage, now: float
    ) -> None:
        """Processes a message of another entry VM on slots, health or demand."""
        if isinstance(message, BackendSuspect):
            self._health_guard.hear_suspicion(
                message.backend, message.period_s, now
            )
        elif isinstance(message, DemandReport):
            demand = {
                LimitKey(kind, name): tasks
                for kind, name, tasks in message.demands
            }
            self._quotas.update_from_peer(peer, demand)
        else:
            self._lending.update_from_peer(message, peer, now)

    def refuse(self, job: Job, now: float) -> Answer | None:
        """Refuses a job that can't be queued under the present load.

        Returns:
            The refusal, or ``None`` if the job may be queued.
        """
        return self._intake.refuse(job, now)

    def queue_job(self, run: JobRun, now: float) -> None:
        """Queues all tasks of a submission."""
        queued = self._intake.queue_job(run, now)
        self.decisions.record(
            run.submission_id,
            'queued',
            due_in_s=round(queued.due_s - now, 3),
            work_s=round(queued.work_s, 3),
            waiting_tasks=self._intake.queue_of(run.job.service).waiting_tasks,
        )

    def retry_task(
        self,
        ended_attempt: TaskAttempt,
        message: messages.TaskNotStarted,
        now: float,
    ) -> bool:
        """Schedules a retry of a task that provably did not start.

        Args:
            ended_attempt: Attempt that did not start.
            message: Reason why it did not start.
            now: Core time in seconds.

        Returns:
            Whether the task is retried; ``False`` after too many attempts.
        """
        delay_s = self._retry_budget.delay_s(message.ticket)
        if delay_s is None:
            return False
        task = ended_attempt.task._replace(
            attempt=ended_attempt.task.attempt + 1
        )
        queue = self._intake.queue_of(ended_attempt.job.run.job.service)
        self._timers.call_at(
            now + delay_s,
            lambda _now: queue.put_back(ended_attempt.job, task),
        )
        self.decisions.record(
            ended_attempt.job.run.submission_id,
            'retried',
            backend=message.ticket.backend,
            reason=message.reason.value,
            delay_s=round(delay_s, 4),
        )
        return True

    def start_tasks(self, now: float) -> list[messages.Effect]:
        """Assigns waiting tasks to free slots and returns all due effects."""
        effects = self._effects
        self._effects = []
        self._lending.release_expired_slots(now)
        want = NO_WANT
        for service, queue in self._intake.queue_by_service.items():
            if queue:
                service_pass = self._run_pass(service, queue, now)
                effects.extend(
                    self._start(assignment, now)
                    for assignment in service_pass.assignments
                )
                want = merge_wants(want, service_pass.want)
        self._lending.exchange_slots(want, now)
        effects.extend(self._lending.take_effects())
        effects.extend(self.decisions.take_effects())
        return effects

    def note_end(
        self, message: messages.AttemptResult, now: float
    ) -> TaskAttempt | None:
        """Frees the slot of an ended attempt and updates the estimates.

        Returns:
            The attempt, or ``None`` if it or its back end is unknown.
        """
        ticket = message.ticket
        ended_attempt = self._attempt_by_ticket.pop(ticket, None)
        load = self._pool.load_by_backend.get(ticket.backend)
        if ended_attempt is None or load is None:
            return None
        load.note_end(ended_attempt.number, now)
        self._quotas.note_end(ended_attempt.job.run.job)
        self._long_tasks_in_flight -= ended_attempt.is_long
        self._dispatch_completion(message, ended_attempt, now)
        return ended_attempt

    @singledispatchmethod
    def _record_completion(
        self,
        message: messages.AttemptResult,
        ended_attempt: TaskAttempt,
        now: float,
    ) -> None:
        """Updates the health of the back end after a failed or lost task."""
        ticket = message.ticket
        self._intake.poison_jobs.note_failure(
            ended_attempt.job.run.job.digest,
            ticket.submission_id,
            ticket.backend,
            now,
        )
        period_s = self._health_guard.note_failure(
            ticket.backend,
            ticket.submission_id,
            now,
            is_quick=now - ended_attempt.start_s
            < QUICK_FAILURE_SHARE * ended_attempt.task.work_s,
        )
        if period_s is not None:
            suspect = BackendSuspect(ticket.backend, period_s)
            self._lending.broadcast(suspect)
            self.decisions.record(
                ticket.submission_id,
                'ejected',
                backend=ticket.backend,
                period_s=period_s,
            )

    @_record_completion.register
    def _record_finished(
        self,
        message: messages.TaskFinished,
        ended_attempt: TaskAttempt,
        now: float,
    ) -> None:
        ticket = message.ticket
        self._health_guard.note_success(ticket.backend, ticket.submission_id)
        self._learn_run_time(ticket, ended_attempt, now - ended_attempt.start_s)

    @_record_completion.register
    def _record_not_started(
        self,
        message: messages.TaskNotStarted,
        ended_attempt: TaskAttempt,
        now: float,
    ) -> None:
        self._health_guard.note_refusal(
            message.ticket.backend, message.reason, now
        )

    def _check(self, now: float) -> None:
        """Checks for ended ejections and overrun tasks, which cause no message."""
        self._health_guard.check(now)
        for load in self._pool.load_by_backend.values():
            load.check_overruns(now)

    def _learn_run_time(
        self,
        ticket: messages.Ticket,
        ended_attempt: TaskAttempt,
        run_s: float,
    ) -> None:
        load = self._pool.load_by_backend[ticket.backend]
        job = ended_attempt.job.run.job
        task = job.tasks[ticket.position]
        if self._run_times.has_enough_runs(job.service, task):
            load.learn(run_s, self._run_times.estimate(job.service, task))
        self._run_times.learn(job.service, task, run_s * load.speed)

    def _run_pass(
        self,
        service: str,
        queue: JobQueue,
        now: float,
    ) -> ServicePass:
        loads = self._pool.find_loads(service)
        long_task_limit = LongTaskLimit(
            self._run_times.long_work_s, self._long_tasks_in_flight
        )
        service_spec = self._pool.service_by_name.get(service)
        if service_spec is None:
            return ServicePass(
                queue, SlotSelector((), now), long_task_limit, self._quotas
            )
        slots = SlotSelector(loads, now, service_spec.max_task_ms / MS_PER_S)
        service_pass = ServicePass(queue, slots, long_task_limit, self._quotas)
        service_pass.run()
        if service_pass.is_limited and not self._is_limit_delay_set:
            self._is_limit_delay_set = True
            self._timers.call_at(
                now + LIMIT_RETRY_DELAY_S, self._end_limit_delay
            )
        return service_pass

    def _end_limit_delay(self, now: float) -> None:
        # The tasks are started by the pass that follows each message.
        self._is_limit_delay_set = False

    def _report_demand(self, now: float) -> None:
        """Sends the demand of this VM under each limit to all entry VMs."""
        demand = self._quotas.report(self._intake.count_waiting_tasks(), now)
        limit_demands = tuple(
            LimitDemand(*key, wanted) for key, wanted in demand.items()
        )
        if limit_demands or self._last_demands:
            report = DemandReport(limit_demands)
            self._effects.extend(
                messages.SendPeer(address, report)
                for address in self._shares.address_by_any_peer.values()
            )
        self._last_demands = limit_demands

    def _start(
        self,
        assignment: Assignment,
        now: float,
    ) -> messages.StartTask:
        job, task, choice = assignment
        spec = job.run.job.tasks[task.position]
        load = choice.load
        ticket = messages.Ticket(
            job.run.submission_id,
            task.position,
            task.attempt,
            load.backend.name,
        )
        service = self._pool.service_by_name[job.run.job.service]
        number = next(self._attempt_numbers)
        is_long = task.work_s > self._run_times.long_work_s
        self._long_tasks_in_flight += is_long
        load.note_start(number, now, task.work_s)
        if task.attempt == 1:
            self._retry_budget.record_first_sends(1)
        job.run.mark_started(task.position)
        self.decisions.note_start(ticket, choice, now)
        self._attempt_by_ticket[ticket] = TaskAttempt(
            number, now, task, job, is_long
        )
        return messages.StartTask(
            ticket=ticket,
            address=load.backend.address,
            service=service.name,
            task_id=spec.task_id,
            payload=spec.payload,
            timeout_s=service.max_task_ms / MS_PER_S,
            can_look_up=service.task_lookup,
        )
