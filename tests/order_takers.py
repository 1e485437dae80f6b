"""Back ends that take orders, on a virtual clock, and a rig for one cell."""

import heapq
import itertools

from camphorlink.internal.core.connection.backend_commands import (
    ActiveRun,
    FinishedRun,
    ListedBackend,
    RenewalAnswer,
    RenewalVerdict,
    RenewLeases,
    RunResult,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.cell_effects import (
    CheckOwnership,
    Count,
    Note,
    Store,
)
from camphorlink.internal.core.process.job_table import JobTable
from camphorlink.internal.core.process.transient_work import TaskReport
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    task_keys,
)
from camphorlink.internal.core.request.job_records import Claimed
from camphorlink.internal.core.request.transient_jobs import GiveTasks

HOLD_MAX_S = 1.0
TICK_S = 0.02
CALL_S = 0.001
TIMEOUT_S = 0.25
CONNECT_S = 0.15
UNREACHABLE = RenewalAnswer(RenewalVerdict.UNREACHABLE)


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
        f'10.0.0.{backend_id[-1]}:80',
        zone,
        Resources(cpu, 100_000),
        fields.get('labels', ('a', 'r1')),
        fields.get('is_draining', False),
    )


LATE_S = 2.5


def _shifted(order, shift_ms):
    if getattr(order, 'lease_until_clock_ms', None):
        return order._replace(
            lease_until_clock_ms=order.lease_until_clock_ms + shift_ms
        )
    return order


class OrderTaker:
    """One back end: keeps leases, fences, and numbers its ends."""

    def __init__(self, entry, run_s=0.1):
        self.listed = entry
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
        self.is_late = False
        self.loses_answers = False
        self.loses_starts = False
        self.loses_stops = False
        self.loses_waiting_holds = False
        self.fails = False
        self.stands_still = False

    def advance(self, now):
        """Ends what is done, and kills what has lapsed."""
        for task, (run, end_s) in sorted(self.active.items()):
            if now > self.lease_end_s:
                self._end(task, run, RunResult.LAPSED)
            elif end_s <= now and not self.stands_still:
                result = RunResult.FAILED if self.fails else RunResult.DONE
                self._end(task, run, result)

    def _end(self, task, run, result):
        self.active.pop(task)
        self.highest_stopped[task] = max(run, self.highest_stopped.get(task, 0))
        end = FinishedRun(next(self.numbers), task, run, result, '')
        self.finished.append(end)

    def _extend(self, until_clock_ms, now):
        if until_clock_ms is not None:
            until_s = min(until_clock_ms / 1000, now + HOLD_MAX_S)
            self.lease_end_s = max(self.lease_end_s, until_s)

    def take(self, order, now):
        """Carries an order out and returns the answer."""
        self.advance(now)
        if order.term < self.fence:
            if isinstance(order, RenewLeases):
                return RenewalAnswer(RenewalVerdict.FENCED)
            if isinstance(order, StopRun):
                return False
            return StartAnswer(StartVerdict.FENCED)
        self.fence = order.term
        clock_ms = int(now * 1000)
        if isinstance(order, RenewLeases):
            self._extend(order.lease_until_clock_ms, now)
            self.finished = [
                end for end in self.finished if end.number > order.acknowledged
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
        if isinstance(order, StopRun):
            run, _ = self.active.get(order.task, (0, 0))
            if run == order.run:
                self._end(order.task, run, RunResult.STOPPED)
            known = self.highest_stopped.get(order.task, 0)
            self.highest_stopped[order.task] = max(known, order.run)
            return True
        return self._start(order, now, clock_ms)

    def _start(self, order, now, clock_ms):
        self._extend(order.lease_until_clock_ms, now)
        if order.run <= self.highest_stopped.get(order.task, 0):
            return StartAnswer(StartVerdict.RUN_TOO_LOW, clock_ms)
        used = sum(order.run and 14_000 for _ in self.active)
        if used + 14_000 > self.listed.capacity.cpu_milli:
            return StartAnswer(StartVerdict.NO_CAPACITY, clock_ms)
        self.starts.append((order.task, order.run, now))
        self.active[order.task] = (order.run, now + self.run_s)
        return StartAnswer(StartVerdict.STARTED, clock_ms)


class CellRig:
    """A cell, its back ends, and the time between them."""

    def __init__(self, backends, table=None, member='m#1', now=0.0):
        self.now = now
        self.table = table or JobTable()
        self.taker_by_id = {
            taker.listed.backend_id: taker for taker in backends
        }
        self.reports = []
        self.counts = []
        #: When the store last confirmed the owner, ``None`` for just now.
        self.confirmed_s = None
        self._calls = []
        self._late = []
        self._numbers = itertools.count()
        self.take_over(member)

    def take_over(self, member):
        """Makes a new owner claim the cell; the former one falls silent."""
        owner = self.table.owner_of('z')
        self.table.apply(Claimed('z', owner.term, member))
        term = self.table.owner_of('z').term
        self.cell = Cell('z', term, self.table, RunSpeeds(), self.now)
        self._calls = []
        self.list_backends()

    def list_backends(self):
        entries = {
            backend_id: taker.listed
            for backend_id, taker in self.taker_by_id.items()
        }
        self.cell.note_listing(entries, self.now)
        self.carry_out()

    def submit(
        self,
        job,
        coordinator='c#1',
        may_have_run=False,
        tasks=None,
    ):
        if tasks is None:
            tasks = [
                task
                for step in range(len(job.steps))
                for task in task_keys(job, step)
            ]
        given = GiveTasks('z', job, tuple(tasks), 10.0, may_have_run)
        self.cell.run_transient(given, coordinator, self.now)
        self.cell.place(self.now)
        self.carry_out()

    def store(self, record):
        """Appends a record to the log, and tells the cell what changed."""
        for change in self.table.apply(record):
            self.cell.note_change(change, self.now)
        self.cell.place(self.now)
        self.carry_out()

    def carry_out(self):
        for effect in self.cell.take_effects():
            if isinstance(effect, Store):
                self.store(effect.record)
            elif isinstance(effect, TaskReport):
                self.reports.append(effect)
            elif isinstance(effect, Count):
                self.counts.append(effect)
            elif not isinstance(effect, CheckOwnership | Note):
                self._call(effect)

    def _call(self, order):
        taker = self.taker_by_id[order.backend.backend_id]
        sent_s = self.now
        if taker.is_unreachable:
            self._answer_later(CONNECT_S, order, UNREACHABLE, sent_s)
            return
        is_lost = (
            taker.is_silent
            or (taker.loses_starts and isinstance(order, StartRun))
            or (taker.loses_stops and isinstance(order, StopRun))
        )
        if is_lost:
            self._answer_later(TIMEOUT_S, order, None, sent_s)
            return
        if taker.is_late:
            shift_ms = int((LATE_S) * 1000)
            self._late.append(
                (self.now + LATE_S, taker, _shifted(order, shift_ms))
            )
            self._answer_later(TIMEOUT_S, order, None, sent_s)
            return
        answer = taker.take(order, self.now)
        if taker.loses_waiting_holds and getattr(order, 'wait_ms', 0):
            self._answer_later(TIMEOUT_S * 3, order, None, sent_s)
        elif taker.loses_answers:
            self._answer_later(TIMEOUT_S, order, None, sent_s)
        else:
            wait_s = CALL_S
            if isinstance(order, RenewLeases) and order.wait_ms:
                wait_s += TICK_S
            self._answer_later(wait_s, order, answer, sent_s)

    def _answer_later(self, delay_s, order, answer, sent_s):
        entry = (self.now + delay_s, next(self._numbers), order, answer, sent_s)
        heapq.heappush(self._calls, entry)

    def _deliver(self, order, answer, sent_s):
        commander = self.cell.commander
        if isinstance(order, StartRun):
            if answer is UNREACHABLE:
                answer = None
            verdict = answer or StartAnswer(StartVerdict.UNANSWERED)
            commander.note_start(order, verdict, sent_s, self.now)
        elif isinstance(order, StopRun):
            is_done = answer is True
            commander.note_stop(order, is_done, sent_s, self.now)
        else:
            listing = answer or RenewalAnswer(RenewalVerdict.UNANSWERED)
            commander.note_hold(order, listing, self.now)
        self.cell.place(self.now)
        self.carry_out()

    def run_for(self, duration_s):
        """Lets time pass."""
        end_s = self.now + duration_s
        while self.now < end_s:
            self.now += TICK_S / 4
            for taker in self.taker_by_id.values():
                taker.advance(self.now)
            for entry in list(self._late):
                if entry[0] <= self.now:
                    self._late.remove(entry)
                    entry[1].take(entry[2], self.now)
            while self._calls and self._calls[0][0] <= self.now:
                _, _, order, answer, sent_s = heapq.heappop(self._calls)
                self._deliver(order, answer, sent_s)
            confirmed_s = self.now
            if self.confirmed_s is not None:
                confirmed_s = self.confirmed_s
            self.cell.tick(self.now, confirmed_s)
            self.carry_out()

    def overlapping_runs(self):
        """Returns tasks that are present on two back ends at once."""
        seen = set()
        twice = set()
        for taker in self.taker_by_id.values():
            for task in taker.active:
                (twice if task in seen else seen).add(task)
        return twice

    def running_tasks(self):
        """Returns the tasks that are present on back ends."""
        return [
            task for taker in self.taker_by_id.values() for task in taker.active
        ]

    def done_tasks(self):
        return [report.task for report in self.reports if report.is_done]
