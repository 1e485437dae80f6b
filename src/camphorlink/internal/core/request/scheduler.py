"""Which waiting task goes to which backend server, and when.

Tasks wait here, at the entry VM, and are bound to a backend server only when
one has a free slot: a task that waits at a backend server can't be moved
any more when another one becomes free.
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
from camphorlink.internal.core.request.decisions import Decisions
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Answer, Job
from camphorlink.internal.core.request.job_intake import JobIntake
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.placement import Slots
from camphorlink.internal.core.request.queues import (
    JobQueue,
    QueuedJob,
    WaitingTask,
)
from camphorlink.internal.core.request.quotas import (
    REPORT_S,
    LimitKey,
    Quotas,
)
from camphorlink.internal.core.request.retries import RetryBudget
from camphorlink.internal.core.request.run_times import RunTimes
from camphorlink.internal.core.request.service_pass import (
    Assignment,
    LongGuard,
    ServicePass,
)
from camphorlink.internal.core.version.manifest import Manifest

MS_PER_S = 1000
#: Period of the check of overruns and ejections, in seconds.
CHECK_S = 0.25
#: A failure sooner than this share of the expected time is quick.
QUICK_SHARE = 0.1
#: When to look again after a limit held tasks back, in seconds.
LIMITED_S = 0.02


class Try(NamedTuple):
    """One try in flight."""

    number: int
    start_s: float
    task: WaitingTask
    job: QueuedJob
    is_long: bool


class Scheduler:
    """Queues of tasks by service, and the backend servers that serve them.

    Attributes:
        decisions: Why each submission was treated as it was.
    """

    def __init__(self, home: Home, timers: Timers) -> None:
        """Starts without a manifest, for the backend servers of a zone."""
        self.decisions = Decisions()
        self._timers = timers
        self._run_times = RunTimes()
        self._pool = BackendPool(home.zone)
        self._intake = JobIntake(self._pool, self._run_times)
        self._quotas = Quotas(home)
        self._try_by_ticket: dict[messages.Ticket, Try] = {}
        self._numbers = itertools.count()
        self._guard = HealthGuard()
        self._budget = RetryBudget()
        self._long_in_flight = 0
        self._is_limited = False
        self._last_rows: tuple[LimitDemand, ...] = ()
        self._effects: list[messages.Effect] = []
        # Bound once: each look-up of a dispatching method builds a wrapper.
        self._judge_end = self._judge
        loads = self._pool.load_by_backend
        self._shares = SlotShares(home, timers, loads)
        self._lending = SlotLending(timers, loads, self._shares.address_by_peer)

    def install(self, manifest: Manifest, now: float) -> None:
        """Takes over the backend servers and limits of a new version."""
        if not self._pool.manifest.digest:
            self._timers.call_every(now, CHECK_S, self._check)
            self._timers.call_every(now, REPORT_S, self._report_demand)
        self._pool.install(manifest)
        self._shares.allot(may_grow=True)
        self._guard.install(self._pool.load_by_backend.values(), now)
        self._quotas.install(manifest, now)
        self._run_times.install(manifest)

    def change_view(self, view: MemberView, now: float) -> None:
        """Takes over a new view of the entry VMs."""
        self._shares.change_view(view, now)
        self._quotas.change_view(view)

    def hear_peer(self, peer: Home, message: SlotMessage, now: float) -> None:
        """Takes what another entry VM says of slots, back ends and limits."""
        if isinstance(message, BackendSuspect):
            self._guard.hear_suspicion(message.backend, message.period_s, now)
        elif isinstance(message, DemandReport):
            demand = {
                LimitKey(kind, name): tasks
                for kind, name, tasks in message.demands
            }
            self._quotas.hear(peer, demand)
        else:
            self._lending.hear(message, peer, now)

    def refuse(self, job: Job, now: float) -> Answer | None:
        """Says why a job that the manifest allows is not admitted now."""
        return self._intake.refuse(job, now)

    def queue_job(self, run: JobRun, now: float) -> None:
        """Queues all tasks of a submission."""
        queued = self._intake.queue_job(run, now)
        self.decisions.note(
            run.submission_id,
            'queued',
            due_in_s=round(queued.due_s - now, 3),
            work_s=round(queued.work_s, 3),
            waiting_tasks=self._intake.queue_of(run.job.service).waiting_tasks,
        )

    def retry_task(
        self,
        ended: Try,
        message: messages.TaskNotStarted,
        now: float,
    ) -> bool:
        """Queues a task that was provably not started once more.

        Returns:
            Whether it will be sent again; not after too many tries.
        """
        delay_s = self._budget.delay_s(message.ticket)
        if delay_s is None:
            return False
        task = ended.task._replace(attempt=ended.task.attempt + 1)
        queue = self._intake.queue_of(ended.job.run.job.service)
        self._timers.call_at(
            now + delay_s,
            lambda _now: queue.put_back(ended.job, task),
        )
        self.decisions.note(
            ended.job.run.submission_id,
            'retried',
            backend=message.ticket.backend,
            reason=message.reason.value,
            delay_s=round(delay_s, 4),
        )
        return True

    def start_tasks(self, now: float) -> list[messages.Effect]:
        """Binds waiting tasks to free slots, as far as there are any."""
        effects = self._effects
        self._effects = []
        self._lending.release_expired_slots(now)
        want = NO_WANT
        for service, queue in self._intake.queue_by_service.items():
            if queue:
                done = self._run_pass(service, queue, now)
                effects.extend(
                    self._start(assignment, now)
                    for assignment in done.assignments
                )
                want = merge_wants(want, done.want)
        self._lending.exchange_slots(want, now)
        effects.extend(self._lending.take_effects())
        effects.extend(self.decisions.take_effects())
        return effects

    def note_end(self, message: messages.TaskEnd, now: float) -> Try | None:
        """Frees the slot of a try that has ended, and learns from it."""
        ticket = message.ticket
        ended = self._try_by_ticket.pop(ticket, None)
        load = self._pool.load_by_backend.get(ticket.backend)
        if ended is None or load is None:
            return None
        load.note_end(ended.number, now)
        self._quotas.note_end(ended.job.run.job)
        self._long_in_flight -= ended.is_long
        self._judge_end(message, ended, now)
        return ended

    @singledispatchmethod
    def _judge(self, message: messages.TaskEnd, ended: Try, now: float) -> None:
        """Learns from a task that ran and did not finish."""
        ticket = message.ticket
        self._intake.poison.note_failure(
            ended.job.run.job.digest,
            ticket.submission_id,
            ticket.backend,
            now,
        )
        period_s = self._guard.note_failure(
            ticket.backend,
            ticket.submission_id,
            now,
            is_quick=now - ended.start_s < QUICK_SHARE * ended.task.work_s,
        )
        if period_s is not None:
            suspect = BackendSuspect(ticket.backend, period_s)
            self._lending.broadcast(suspect)
            self.decisions.note(
                ticket.submission_id,
                'ejected',
                backend=ticket.backend,
                period_s=period_s,
            )

    @_judge.register
    def _judge_finished(
        self,
        message: messages.TaskFinished,
        ended: Try,
        now: float,
    ) -> None:
        ticket = message.ticket
        self._guard.note_success(ticket.backend, ticket.submission_id)
        self._learn(ticket, ended, now - ended.start_s)

    @_judge.register
    def _judge_not_started(
        self,
        message: messages.TaskNotStarted,
        ended: Try,
        now: float,
    ) -> None:
        self._guard.note_refusal(message.ticket.backend, message.reason, now)

    def _check(self, now: float) -> None:
        """Looks at what no message tells: overruns, ends of ejections."""
        self._guard.check(now)
        for load in self._pool.load_by_backend.values():
            load.check_overruns(now)

    def _learn(
        self,
        ticket: messages.Ticket,
        ended: Try,
        run_s: float,
    ) -> None:
        load = self._pool.load_by_backend[ticket.backend]
        job = ended.job.run.job
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
        guard = LongGuard(self._run_times.long_work_s, self._long_in_flight)
        known = self._pool.service_by_name.get(service)
        if known is None:
            return ServicePass(queue, Slots((), now), guard, self._quotas)
        slots = Slots(loads, now, known.max_task_ms / MS_PER_S)
        done = ServicePass(queue, slots, guard, self._quotas)
        done.run()
        if done.is_limited and not self._is_limited:
            self._is_limited = True
            self._timers.call_at(now + LIMITED_S, self._look_again)
        return done

    def _look_again(self, now: float) -> None:
        # The pass that follows every message does the work.
        self._is_limited = False

    def _report_demand(self, now: float) -> None:
        """Tells all entry VMs what this one could use of each limit."""
        demand = self._quotas.report(self._intake.waiting_by_limit(), now)
        rows = tuple(
            LimitDemand(*key, wanted) for key, wanted in demand.items()
        )
        if rows or self._last_rows:
            report = DemandReport(rows)
            self._effects.extend(
                messages.SendPeer(address, report)
                for address in self._shares.address_by_any_peer.values()
            )
        self._last_rows = rows

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
        number = next(self._numbers)
        is_long = task.work_s > self._run_times.long_work_s
        self._long_in_flight += is_long
        load.note_start(number, now, task.work_s)
        if task.attempt == 1:
            self._budget.note_first_sends(1)
        job.run.mark_started(task.position)
        self.decisions.note_start(ticket, choice, now)
        self._try_by_ticket[ticket] = Try(number, now, task, job, is_long)
        return messages.StartTask(
            ticket=ticket,
            address=load.backend.address,
            service=service.name,
            task_id=spec.task_id,
            payload=spec.payload,
            timeout_s=service.max_task_ms / MS_PER_S,
            can_look_up=service.task_lookup,
        )
