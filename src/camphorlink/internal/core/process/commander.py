"""What a cell's owner learns from the answers of back ends.

A run is taken as over only when that is certain: the back end lists its end,
or does not list it any more after the start or the stop was acknowledged, a
new lifetime has begun, or the lease has lapsed unrenewed.
"""

import enum
from typing import Protocol

from camphorlink.internal.core.connection.backend_commands import (
    ActiveRun,
    FinishedRun,
    ListedBackend,
    RenewalAnswer,
    RenewalVerdict,
    RenewLeases,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
    find_absent_runs,
)
from camphorlink.internal.core.process.cell_effects import CellEffect
from camphorlink.internal.core.process.lease_watch import LeaseWatch
from camphorlink.internal.core.process.predecessor import Predecessor
from camphorlink.internal.core.process.run_ledger import RunLedger
from camphorlink.internal.core.request.durable_job import Resources, TaskKey

#: Pause between holds while ends wait to be stored, or nothing is answered.
HOLD_PAUSE_S = 0.1
#: Time that a back end which rejects a start gets no other.
REJECTION_PAUSE_S = 0.05
#: The same for one that calls itself unhealthy.
UNHEALTHY_PAUSE_S = 1.0


class EndFate(enum.Enum):
    """What is to become of a listed end."""

    ACKNOWLEDGE = enum.auto()
    KEEP = enum.auto()


class RunOwner(Protocol):
    """Whoever knows what the runs are for."""

    def take_end(
        self,
        runs: BackendRuns,
        end: FinishedRun,
        run: Run | None,
        now: float,
    ) -> EndFate:
        """Takes a listed end, of a known run or of another term's."""

    def take_lost(self, runs: BackendRuns, run: Run) -> None:
        """Takes a run that is over without a listed end."""

    def needs_of(self, task: TaskKey) -> Resources | None:
        """Returns what a task takes, or ``None`` when it should not run."""

    def is_handed_over(self, now: float) -> bool:
        """Tells whether unknown runs are certainly unwanted."""


class Commander:
    """Takes the answers of the back ends of one cell in one term.

    Attributes:
        ledger: The runs and the orders.
    """

    def __init__(
        self,
        term: int,
        owner: RunOwner,
        predecessor: Predecessor,
        effects: list[CellEffect],
    ) -> None:
        """Starts with no back end."""
        self.ledger = RunLedger(term, effects)
        self._owner = owner
        self._predecessor = predecessor
        self._watch = LeaseWatch(self.ledger, self._lose)
        #: Does what is due; takes the time, and whether leases are renewed.
        self.tick = self._watch.tick

    def note_listing(
        self,
        listed_by_id: dict[str, ListedBackend],
        now: float,
    ) -> None:
        """Takes the back ends of this cell as the platform lists them now."""
        for backend in listed_by_id.values():
            known = self.ledger.runs_by_backend.get(backend.backend_id)
            if known is None:
                self.ledger.open(backend, now)
            elif known.listed.started_ms < backend.started_ms:
                self.ledger.renew(known, backend, now)
            elif known.listed.started_ms == backend.started_ms:
                known.listed = backend
        for backend_id, runs in list(self.ledger.runs_by_backend.items()):
            runs.is_listed = backend_id in listed_by_id
            is_silent = runs.silent_since_s is not None
            if not runs.is_listed and is_silent and not runs.run_by_task:
                self.ledger.runs_by_backend.pop(backend_id)
                self.ledger.note('Back end is gone.', runs.listed)

    def _lose(self, runs: BackendRuns, run: Run) -> None:
        self.ledger.drop(runs, run)
        self._owner.take_lost(runs, run)

    def _lose_all(self, runs: BackendRuns) -> None:
        for run in list(runs.run_by_task.values()):
            self._lose(runs, run)

    def note_start(
        self,
        order: StartRun,
        answer: StartAnswer,
        sent_s: float,
        now: float,
    ) -> None:
        """Takes the answer to an order to start."""
        runs = self.ledger.runs_by_backend.get(order.backend.backend_id)
        if runs is None:
            return
        run = runs.run_by_task.get(order.task)
        if run is None or run.number != order.run:
            return
        if answer.verdict is StartVerdict.UNANSWERED:
            runs.record_no_answer(sent_s, renews=True)
            self.ledger.count('lost_orders', 'start')
            if run.state is RunState.COMMANDED:
                run.change_state(RunState.UNCERTAIN, now)
                self.ledger.look(runs, now)
            return
        runs.record_answer(answer.clock_ms, now)
        if answer.verdict is StartVerdict.STARTED:
            if run.state in {RunState.COMMANDED, RunState.UNCERTAIN}:
                run.change_state(RunState.RUNNING, now)
            return
        self._note_rejection(runs, answer.verdict, now)
        if run.state is not RunState.RUNNING:
            # Nothing else orders this run: it is not there, nor will it be.
            self._lose(runs, run)

    def _note_rejection(
        self,
        runs: BackendRuns,
        verdict: StartVerdict,
        now: float,
    ) -> None:
        self.ledger.count('rejected_starts', verdict.value)
        pause_s = REJECTION_PAUSE_S
        if verdict is StartVerdict.FENCED:
            self.ledger.check_ownership()
            pause_s = UNHEALTHY_PAUSE_S
        elif verdict in {StartVerdict.UNHEALTHY, StartVerdict.INVALID}:
            pause_s = UNHEALTHY_PAUSE_S
        runs.pause_until_s = now + pause_s
        self.ledger.note(
            'Start was rejected.', runs.listed, verdict=verdict.value
        )

    def note_stop(
        self,
        order: StopRun,
        is_answered: bool,
        sent_s: float,
        now: float,
    ) -> None:
        """Takes the answer to an order to stop."""
        runs = self.ledger.runs_by_backend.get(order.backend.backend_id)
        if runs is None:
            return
        if not is_answered:
            runs.record_no_answer(sent_s, renews=False)
            return
        runs.record_answer(None, now)
        run = runs.run_by_task.get(order.task)
        if run is None or run.number != order.run:
            return
        if run.state is RunState.STOPPING:
            run.change_state(RunState.STOPPED, now)
            self.ledger.look(runs, now)

    def note_hold(
        self, order: RenewLeases, answer: RenewalAnswer, now: float
    ) -> None:
        """Takes the answer to a hold or a look."""
        sent_s = self.ledger.take_sent_s(order)
        runs = self.ledger.runs_by_backend.get(order.backend.backend_id)
        if runs is None or order.backend.started_ms != runs.listed.started_ms:
            return
        is_main = runs.renewal_number == order.number
        if answer.verdict is RenewalVerdict.LISTED:
            self._note_list(runs, answer, sent_s, now)
        else:
            renews = order.lease_until_clock_ms is not None
            self._note_no_list(runs, answer.verdict, now)
            runs.record_no_answer(sent_s, renews)
        if is_main:
            runs.renewal_number = 0
            paused = (
                runs.has_unstored_completions or runs.silent_since_s is not None
            )
            runs.renewal_due_s = now
            if paused:
                runs.renewal_due_s += HOLD_PAUSE_S
            else:
                self.ledger.hold(runs, now, self._watch.may_renew)

    def _note_no_list(
        self,
        runs: BackendRuns,
        verdict: RenewalVerdict,
        now: float,
    ) -> None:
        if verdict is RenewalVerdict.FENCED:
            self.ledger.check_ownership()
            runs.pause_until_s = now + UNHEALTHY_PAUSE_S
        elif verdict is RenewalVerdict.OTHER_INCARNATION:
            self.ledger.note('Another back end has its address.', runs.listed)
            self._predecessor.note_gone(runs.listed.backend_id)
            self._lose_all(runs)
        elif runs.silent_since_s is None:
            self.ledger.note('Back end does not answer.', runs.listed)
        if verdict is RenewalVerdict.UNREACHABLE:
            self._predecessor.note_unreachable(runs.listed.backend_id)

    def _note_list(
        self,
        runs: BackendRuns,
        answer: RenewalAnswer,
        sent_s: float,
        now: float,
    ) -> None:
        if answer.started_ms > runs.listed.started_ms:
            newer = runs.listed._replace(started_ms=answer.started_ms)
            self.ledger.renew(runs, newer, now)
            return
        if runs.silent_since_s is not None:
            self.ledger.note('Back end answers again.', runs.listed)
        runs.record_answer(answer.clock_ms, now)
        runs.polled_s = now
        if answer.finished:
            runs.acknowledge_before(answer.finished[0].number)
        for end in runs.new_completions(answer):
            self._note_end(runs, end, now)
        for entry in answer.active:
            self._note_active(runs, entry, now)
        for run in find_absent_runs(runs, answer.active):
            self._note_absent(runs, run, sent_s, now)
        if not runs.has_listed_runs:
            runs.has_listed_runs = True
            listed = runs.listed
            self._predecessor.note_heard(listed.backend_id, listed.started_ms)

    def _note_end(
        self,
        runs: BackendRuns,
        end: FinishedRun,
        now: float,
    ) -> None:
        run = runs.run_by_task.get(end.task)
        if run is not None and run.number == end.run:
            self.ledger.drop(runs, run)
        else:
            run = None
        fate = self._owner.take_end(runs, end, run, now)
        if fate is EndFate.ACKNOWLEDGE:
            runs.record_stored(end.number)

    def _note_active(
        self,
        runs: BackendRuns,
        entry: ActiveRun,
        now: float,
    ) -> None:
        run = runs.run_by_task.get(entry.task)
        if run is not None and run.number == entry.run:
            if run.state in {RunState.COMMANDED, RunState.UNCERTAIN}:
                run.change_state(RunState.RUNNING, now)
            run.checkpoint = entry.checkpoint
            run.percent = entry.percent
            run.percent_s = now
            return
        needs = self._owner.needs_of(entry.task)
        if needs is None or run is not None:
            if self._owner.is_handed_over(now):
                self.ledger.send_stop(runs, entry.task, entry.run)
            else:
                self.ledger.stray_tasks.add(entry.task)
            return
        found = Run(entry.task, entry.run, needs, now)
        found.is_started_by_owner = False
        found.change_state(RunState.RUNNING, now)
        # An earlier owner may have renewed its lease until now.
        runs.record_lease_sent(now)
        is_second = entry.task in self.ledger.backends_by_task
        self.ledger.add(runs, found)
        if is_second:
            # An earlier owner's order was carried out at a back end that had
            # not answered this one yet: the task may not start anew before
            # both runs are over.
            self.ledger.count('second_runs', 'order-of-an-earlier-owner')
            self.ledger.stop(runs, found, now)

    def _note_absent(
        self,
        runs: BackendRuns,
        run: Run,
        sent_s: float,
        now: float,
    ) -> None:
        if run.since_s > sent_s:
            return
        if run.state is RunState.UNCERTAIN:
            self.ledger.stop(runs, run, now)
        elif run.state in {RunState.RUNNING, RunState.STOPPED}:
            self._lose(runs, run)
