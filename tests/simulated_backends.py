"""Simulated back ends on a virtual clock, and a test rig for one cell."""

import heapq
import itertools
import math

from camphorlink.internal.core.connection.backend_commands import (
    ActiveRun,
    FinishedRun,
    ListedBackend,
    RenewalAnswer,
    RenewalVerdict,
    RenewLeases,
    ReportedClock,
    RunResult,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.cell_effects import (
    AppendRecord,
    CheckOwnership,
    CoordinatorExpired,
    CountEvent,
    LogEvent,
    ReadBackends,
    ReturnTasks,
)
from camphorlink.internal.core.process.coordinator_leases import (
    CoordinatorLeases,
)
from camphorlink.internal.core.process.job_table import JobTable
from camphorlink.internal.core.process.transient_job_table import TaskReport
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    task_keys,
)
from camphorlink.internal.core.request.job_records import CellClaimed
from camphorlink.internal.core.request.transient_jobs import AssignTasks
from camphorlink.internal.core.version.zone_drains import ZoneDrains

MAX_LEASE_S = 1.0
TICK_S = 0.02
CALL_DURATION_S = 0.001
CALL_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 0.15
UNREACHABLE = RenewalAnswer(RenewalVerdict.UNREACHABLE)
REFUSED = RenewalAnswer(RenewalVerdict.REFUSED)
#: Time from the start of a task that crashes its back end to the crash, in
#: seconds.
CRASH_DELAY_S = 0.01
#: Time from a crash to the next incarnation, in seconds.
RESTART_S = 3.0
#: Period of a back end's reports to the platform, in seconds.
REPORT_PERIOD_S = 1.5


def make_job(job_id='a' * 16, count=1, cpu=14_000, **fields):
    step = Step(count, Resources(cpu), fields.pop('estimate_ms', 100))
    steps = fields.pop('steps', (step,))
    defaults = {
        'queue': 'q', 'service': 's', 'spec': 'x', 'priority': 0,
        'max_attempts': 3, 'slack_factor': 1.6, 'target_ms': 60,
        'accepted_ms': 0,
    } | fields  # fmt: skip
    return DurableJob(
        job_id,
        defaults['queue'],
        defaults['service'],
        defaults['spec'],
        tuple(steps),
        defaults['priority'],
        defaults['max_attempts'],
        defaults['slack_factor'],
        defaults['target_ms'],
        defaults['accepted_ms'],
    )


def listed(backend_id='i-1', zone='z', cpu=32_000, started_ms=1, **fields):
    return ListedBackend(
        backend_id,
        started_ms,
        's',
        f'{backend_id}.example:80',
        zone,
        Resources(cpu, 100_000),
        fields.get('labels', ('a', 'r1')),
        fields.get('is_draining', False),
    )


LATE_EXECUTION_S = 2.5


def _shift_lease(command, shift_ms):
    if getattr(command, 'lease_until_clock_ms', None):
        return command._replace(
            lease_until_clock_ms=command.lease_until_clock_ms + shift_ms
        )
    return command


class SimulatedBackend:
    """A back end with leases, fencing and numbered completions.

    Its attributes switch faults on, such as lost or late commands.

    Attributes:
        crashing_jobs: Jobs whose first task crashes the back end.
        crashes: Time and tasks of each crash.
        cpu_by_job: CPU in millicores of the tasks of each job, 14,000 by default.
        run_s_by_job: Run time in seconds of the tasks of each job, ``run_s`` by
            default.
        guards_capacity: Whether a start beyond the capacity is rejected.
        overloads: Starts that exceeded the capacity.
        noted: Completions of all incarnations that were acknowledged.
        restart_s: Time from a crash to the next incarnation, in seconds.
        clock: The clock that it has last reported to the platform.
        has_other_identifier: Whether starts are answered by another back end at
            its address.
    """

    def __init__(self, entry, run_s=0.1):
        self.crashing_jobs = set()
        self.crashes = []
        self.cpu_by_job = {}
        self.run_s_by_job = {}
        self.guards_capacity = True
        self.overloads = []
        self.noted = []
        self.restart_s = RESTART_S
        self.has_other_identifier = False
        self.is_dark = False
        self.down_until_s = 0.0
        self.clock = ReportedClock(entry.started_ms, 0)
        self._reports_from_s = 0.0
        self._reported_s = 0.0
        self._crash_s = float('inf')
        self.listed = entry
        self._former = entry
        self.run_s = run_s
        self.fence = 0
        self.lease_end_s = 0.0
        self.active = {}
        self.finished = []
        self.numbers = itertools.count(1)
        self.highest_stopped = {}
        self.starts = []
        self.is_silent = False
        self.is_unreachable = False
        self.executes_late = False
        self.loses_answers = False
        self.loses_starts = False
        self.loses_stops = False
        self.loses_waiting_renewals = False
        self.fails = False
        self.is_stalled = False

    def entry_at(self, now):
        """Returns its entry in the platform's list."""
        return self._former if self.is_down(now) else self.listed

    def is_down(self, now):
        """Returns whether it has crashed and not started again."""
        return now < self.down_until_s

    def crash(self, now):
        """Ends all runs without a trace, and starts anew after a while."""
        self.crashes.append((now, sorted(self.active)))
        self._crash_s = float('inf')
        self.active.clear()
        self.finished.clear()
        self.highest_stopped.clear()
        self.numbers = itertools.count(1)
        self.fence = 0
        self.lease_end_s = 0.0
        self.down_until_s = now + self.restart_s
        self._reports_from_s = self.down_until_s
        self._former = self.listed
        self.listed = self.listed._replace(
            started_ms=self.listed.started_ms + 1
        )

    def advance(self, now):
        """Ends runs that are done, and kills runs with a lapsed lease."""
        if now >= self._crash_s:
            self.crash(now)
        self._report(now)
        for task, (run, end_s) in sorted(self.active.items()):
            if now > self.lease_end_s:
                self._end(task, run, RunResult.LAPSED)
            elif end_s <= now and not self.is_stalled:
                result = RunResult.FAILED if self.fails else RunResult.DONE
                self._end(task, run, result)

    def _report(self, now):
        if now >= max(self._reports_from_s, self._reported_s + REPORT_PERIOD_S):
            self._reported_s = now
            self.clock = ReportedClock(self.listed.started_ms, int(now * 1000))

    def _end(self, task, run, result):
        self.active.pop(task)
        self.highest_stopped[task] = max(run, self.highest_stopped.get(task, 0))
        completion = FinishedRun(next(self.numbers), task, run, result, '')
        self.finished.append(completion)

    def _extend(self, until_clock_ms, now):
        if until_clock_ms is not None:
            until_s = min(until_clock_ms / 1000, now + MAX_LEASE_S)
            self.lease_end_s = max(self.lease_end_s, until_s)

    def execute_late(self, command, now):
        """Executes a command whose sender got no answer, if it is up."""
        if not self.is_down(now):
            self.execute(command, now)

    def execute(self, command, now):
        """Executes a command and returns the answer."""
        self.advance(now)
        if command.token < self.fence:
            if isinstance(command, RenewLeases):
                return RenewalAnswer(RenewalVerdict.FENCED)
            if isinstance(command, StopRun):
                return False
            return StartAnswer(StartVerdict.FENCED)
        self.fence = command.token
        clock_ms = int(now * 1000)
        if isinstance(command, RenewLeases):
            self._extend(command.lease_until_clock_ms, now)
            self.noted += [
                completion
                for completion in self.finished
                if completion.number <= command.acknowledged
            ]
            self.finished = [
                completion
                for completion in self.finished
                if completion.number > command.acknowledged
            ]
            return RenewalAnswer(
                RenewalVerdict.LISTED,
                clock_ms,
                self.listed.started_ms,
                tuple(
                    ActiveRun(task, run, '')
                    for task, (run, _) in self.active.items()
                ),
                tuple(self.finished),
            )
        if isinstance(command, StopRun):
            run, _ = self.active.get(command.task, (0, 0))
            if run == command.run:
                self._end(command.task, run, RunResult.STOPPED)
            highest = self.highest_stopped.get(command.task, 0)
            self.highest_stopped[command.task] = max(highest, command.run)
            return True
        return self._start(command, now, clock_ms)

    def _start(self, command, now, clock_ms):
        self._extend(command.lease_until_clock_ms, now)
        if command.run <= self.highest_stopped.get(command.task, 0):
            return StartAnswer(StartVerdict.RUN_TOO_LOW, clock_ms)
        used = sum(self._cpu_of(task) for task in (*self.active, command.task))
        if used > self.listed.capacity.cpu_milli:
            if self.guards_capacity:
                return StartAnswer(StartVerdict.NO_CAPACITY, clock_ms)
            self.overloads.append((command.task, now))
        self.starts.append((command.task, command.run, now))
        if (
            command.task.job_id in self.crashing_jobs
            and not command.task.number
        ):
            self._crash_s = min(self._crash_s, now + CRASH_DELAY_S)
        run_s = self.run_s_by_job.get(command.task.job_id, self.run_s)
        self.active[command.task] = (command.run, now + run_s)
        return StartAnswer(StartVerdict.STARTED, clock_ms)

    def _cpu_of(self, task):
        return self.cpu_by_job.get(task.job_id, 14_000)


NO_DRAINS = ZoneDrains({}, math.inf)


class CellRig:
    """Runs a cell against simulated back ends and transmits calls in time."""

    def __init__(self, backends, table=None, member='m#1', now=0.0):
        self.now = now
        self.table = table or JobTable()
        self.backend_by_id = {
            backend.listed.backend_id: backend for backend in backends
        }
        self.reports = []
        self.returned = []
        #: Tasks returned to coordinators, with the reason and the time.
        self.returned_tasks = []
        self.counts = []
        self.expired = []
        #: Times at which the cell requested the list of back ends.
        self.outdated_lists = []
        #: Time in seconds at which the store last confirmed the owner; with
        #: ``None``, it confirms the owner continuously.
        self.confirmed_s = None
        #: Whether records are not stored for now, and those that wait for it.
        self.is_store_down = False
        self._unstored = []
        self.leases = CoordinatorLeases(member)
        #: Coordinators that renew their leases continuously.
        self.coordinators = set()
        self._pending_answers = []
        self._late_commands = []
        self._numbers = itertools.count()
        self.drains = NO_DRAINS
        self.take_over(member)

    def take_over(self, member):
        """Makes a new owner claim the cell; the former one stops."""
        owner = self.table.owner_of('z')
        self.table.apply(CellClaimed('z', owner.term, member))
        term = self.table.owner_of('z').term
        self.cell = Cell(
            'z',
            term,
            self.table,
            RunSpeeds(),
            self.leases,
            self.now,
            lambda: self.drains,
        )
        self.cell.drain.refresh(self.now)
        self._pending_answers = []
        self.list_backends()

    def list_backends(self):
        entries = {
            backend_id: backend.entry_at(self.now)
            for backend_id, backend in self.backend_by_id.items()
        }
        clock_by_id = {
            backend_id: backend.clock
            for backend_id, backend in self.backend_by_id.items()
        }
        self.cell.update_backends(entries, self.now, clock_by_id)
        self.execute_effects()

    def submit(
        self,
        job,
        coordinator='c#1',
        may_have_run=False,
        tasks=None,
        objective_s=10.0,
        useful_s=float('inf'),
    ):
        if tasks is None:
            tasks = [
                task
                for step in range(len(job.steps))
                for task in task_keys(job, step)
            ]
        assignment = AssignTasks(
            'z', job, tuple(tasks), objective_s, may_have_run, useful_s=useful_s
        )
        self.coordinators.add(coordinator)
        self.leases.renew(coordinator, self.now, self.now)
        self.cell.assignments.accept(assignment, coordinator, self.now)
        self.cell.place(self.now)
        self.execute_effects()

    def store(self, record):
        """Appends a record to the log and applies the changes to the cell."""
        for change in self.table.apply(record):
            self.cell.handle_change(change, self.now)
        self.cell.place(self.now)
        self.execute_effects()

    def execute_effects(self):
        for effect in self.cell.take_effects():
            if isinstance(effect, AppendRecord):
                self._append(effect.record)
            elif isinstance(effect, TaskReport):
                self.reports.append(effect)
            elif isinstance(effect, ReturnTasks):
                self.returned.append(effect)
                self.returned_tasks += [
                    (entry.task, effect.reason, self.now)
                    for entry in effect.tasks
                ]
            elif isinstance(effect, CountEvent):
                self.counts.append(effect)
            elif isinstance(effect, CoordinatorExpired):
                self.expired.append(effect.member)
            elif isinstance(effect, ReadBackends):
                self.outdated_lists.append(self.now)
            elif not isinstance(effect, CheckOwnership | LogEvent):
                self._call(effect)

    def _append(self, record):
        if self.is_store_down:
            self._unstored.append(record)
        else:
            self.store(record)

    def end_store_outage(self):
        """Stores the records that were appended in an outage of the store."""
        self.is_store_down = False
        records, self._unstored = self._unstored, []
        for record in records:
            self.store(record)

    def _call(self, command):
        backend = self.backend_by_id[command.backend.backend_id]
        sent_s = self.now
        if backend.is_down(self.now) and not backend.is_dark:
            self._answer_later(CALL_DURATION_S, command, REFUSED, sent_s)
            return
        if backend.is_unreachable:
            self._answer_later(CONNECT_TIMEOUT_S, command, UNREACHABLE, sent_s)
            return
        if backend.has_other_identifier and isinstance(command, StartRun):
            rejection = StartAnswer(StartVerdict.OTHER_INCARNATION)
            self._answer_later(CALL_DURATION_S, command, rejection, sent_s)
            return
        is_lost = (
            backend.is_silent
            or backend.is_down(self.now)
            or (backend.loses_starts and isinstance(command, StartRun))
            or (backend.loses_stops and isinstance(command, StopRun))
        )
        if is_lost:
            self._answer_later(CALL_TIMEOUT_S, command, None, sent_s)
            return
        if backend.executes_late:
            shift_ms = int((LATE_EXECUTION_S) * 1000)
            self._late_commands.append(
                (
                    self.now + LATE_EXECUTION_S,
                    backend,
                    _shift_lease(command, shift_ms),
                )
            )
            self._answer_later(CALL_TIMEOUT_S, command, None, sent_s)
            return
        answer = backend.execute(command, self.now)
        if backend.loses_waiting_renewals and getattr(command, 'wait_ms', 0):
            self._answer_later(CALL_TIMEOUT_S * 3, command, None, sent_s)
        elif backend.loses_answers:
            self._answer_later(CALL_TIMEOUT_S, command, None, sent_s)
        else:
            wait_s = CALL_DURATION_S
            if isinstance(command, RenewLeases) and command.wait_ms:
                wait_s += TICK_S
            self._answer_later(wait_s, command, answer, sent_s)

    def _answer_later(self, delay_s, command, answer, sent_s):
        entry = (
            self.now + delay_s,
            next(self._numbers),
            command,
            answer,
            sent_s,
        )
        heapq.heappush(self._pending_answers, entry)

    def _deliver(self, command, answer, sent_s):
        commander = self.cell.commander
        if isinstance(command, StartRun):
            if answer in {UNREACHABLE, REFUSED}:
                answer = None
            verdict = answer or StartAnswer(StartVerdict.UNANSWERED)
            commander.handle_start_answer(command, verdict, sent_s, self.now)
        elif isinstance(command, StopRun):
            is_done = answer is True
            commander.handle_stop_answer(command, is_done, sent_s, self.now)
        else:
            listing = answer or RenewalAnswer(RenewalVerdict.UNANSWERED)
            commander.handle_renewal_answer(command, listing, self.now)
        self.cell.place(self.now)
        self.execute_effects()

    def run_for(self, duration_s):
        """Advances the virtual clock by a duration in seconds."""
        end_s = self.now + duration_s
        while self.now < end_s:
            self.now += TICK_S / 4
            for coordinator in self.coordinators:
                self.leases.renew(coordinator, self.now, self.now)
            for backend in self.backend_by_id.values():
                backend.advance(self.now)
            for entry in list(self._late_commands):
                if entry[0] <= self.now:
                    self._late_commands.remove(entry)
                    entry[1].execute_late(entry[2], self.now)
            while (
                self._pending_answers
                and self._pending_answers[0][0] <= self.now
            ):
                self._deliver_next_answer()
            confirmed_s = self.now
            if self.confirmed_s is not None:
                confirmed_s = self.confirmed_s
            self.cell.tick(self.now, confirmed_s)
            self.execute_effects()

    def _deliver_next_answer(self):
        _, _, command, answer, sent_s = heapq.heappop(self._pending_answers)
        self._deliver(command, answer, sent_s)

    def lose_pending_answers(self):
        """Loses the answers that are under way."""
        pending = self._pending_answers
        self._pending_answers = []
        for _, _, command, _, sent_s in pending:
            self._answer_later(CALL_TIMEOUT_S, command, None, sent_s)

    def deliver_pending_answers(self):
        """Delivers the answers that are due next, without a tick."""
        for _ in list(self._pending_answers):
            self._deliver_next_answer()

    def overlapping_runs(self):
        """Returns tasks that run on two back ends at once."""
        seen_tasks = set()
        duplicates = set()
        for backend in self.backend_by_id.values():
            for task in backend.active:
                (duplicates if task in seen_tasks else seen_tasks).add(task)
        return duplicates

    def running_tasks(self):
        """Returns the tasks that run on back ends, once for each run."""
        return [
            task
            for backend in self.backend_by_id.values()
            for task in backend.active
        ]

    def done_tasks(self):
        return [report.task for report in self.reports if report.is_done]


def play(rig, duration_s):
    """Runs a rig; the platform lists each new incarnation within 0.5 s."""
    end_s = rig.now + duration_s
    while rig.now < end_s:
        rig.run_for(0.5)
        rig.list_backends()
