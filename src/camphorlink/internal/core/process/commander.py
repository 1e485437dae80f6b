"""Orders to the back ends of a cell: leases, starts, stops, and their answers.

A run is taken as over only when that is certain: the back end lists its end,
or does not list it any more after the start or the stop was acknowledged, a
new lifetime has begun, or the lease has lapsed unrenewed.
"""

import enum
from typing import Protocol

from camphorlink.internal.core.connection.backend_orders import (
    ActiveRun,
    FinishedRun,
    Hold,
    HoldAnswer,
    HoldVerdict,
    ListedBackend,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.connection.backend_runs import (
    LATE_ORDER_S,
    LEASE_S,
    BackendRuns,
    Run,
    RunState,
    absent_runs,
)
from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CheckOwnership,
    Count,
    Note,
)
from camphorlink.internal.core.process.predecessor import Predecessor
from camphorlink.internal.core.request.durable_job import Resources, TaskKey

#: How long an answer to a hold waits for an end: with a lease of 1 s, two
#: answers may be lost before anything lapses.
HOLD_WAIT_MS = 300
#: Pause between holds while ends wait to be stored, or nothing is answered.
HOLD_PAUSE_S = 0.1
#: Time without an answer after which a stop is sent again.
STOP_RETRY_S = 0.25
#: Time that a back end which rejects a start gets no other.
REJECTION_PAUSE_S = 0.05
#: The same for one that calls itself unhealthy.
UNHEALTHY_PAUSE_S = 1.0
#: A silent back end's runs are over after this long, whatever was ordered:
#: no order is carried out later, and a lease from then on has lapsed.
PRESUMED_OVER_S = LATE_ORDER_S + LEASE_S + 1.0
#: Numbers of runs that a term has; the next term's are higher.
RUNS_PER_TERM = 10_000_000


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
    """Commands the back ends of one cell in one term.

    Attributes:
        term: Fencing token.
        runs_by_backend: What is known of each back end.
        backend_by_task: Where each task has a run that is not over.
    """

    def __init__(
        self,
        term: int,
        owner: RunOwner,
        predecessor: Predecessor,
        effects: list[CellEffect],
    ) -> None:
        """Starts with no back end."""
        self.term = term
        self.runs_by_backend: dict[str, BackendRuns] = {}
        self.backend_by_task: dict[TaskKey, str] = {}
        self._owner = owner
        self._predecessor = predecessor
        self._effects = effects
        self._runs = 0
        self._holds = 0
        self._sent_s_by_hold: dict[int, float] = {}

    # Lifetimes.

    def note_listing(
        self,
        listed_by_id: dict[str, ListedBackend],
        now: float,
    ) -> None:
        """Takes the back ends of this cell as the platform lists them now."""
        for backend in listed_by_id.values():
            known = self.runs_by_backend.get(backend.backend_id)
            if known is None:
                self._open(backend, now)
            elif known.listed.born_ms < backend.born_ms:
                self._renew(known, backend, now)
            elif known.listed.born_ms == backend.born_ms:
                known.listed = backend
        for backend_id, runs in list(self.runs_by_backend.items()):
            runs.is_listed = backend_id in listed_by_id
            is_silent = runs.silent_since_s is not None
            if not runs.is_listed and is_silent and not runs.run_by_task:
                self.runs_by_backend.pop(backend_id)
                self._note('Back end is gone.', runs.listed)

    def _open(self, backend: ListedBackend, now: float) -> BackendRuns:
        runs = BackendRuns(backend, now)
        self.runs_by_backend[backend.backend_id] = runs
        self._look(runs, now)
        return runs

    def _renew(
        self,
        old: BackendRuns,
        backend: ListedBackend,
        now: float,
    ) -> None:
        """Opens a new lifetime; runs ordered of late may belong to it."""
        self._note('Back end has a new lifetime.', backend)
        runs = self._open(backend, now)
        for run in old.run_by_task.values():
            runs.add(run)

    # Orders.

    def start(
        self,
        runs: BackendRuns,
        task: TaskKey,
        needs: Resources,
        spec: str,
        checkpoint: str,
        now: float,
    ) -> None:
        """Orders to start a task on a back end."""
        self._runs += 1
        number = self.term * RUNS_PER_TERM + self._runs
        self._add(runs, Run(task, number, needs, now))
        runs.note_lease_sent(now)
        self._effects.append(
            StartRun(
                runs.listed,
                self.term,
                task,
                number,
                spec,
                runs.lease_clock_ms(now) or 0,
                checkpoint,
            ),
        )

    def stop_task(self, task: TaskKey, now: float) -> None:
        """Stops the run of a task, if it has one; it won't run again."""
        backend_id = self.backend_by_task.get(task)
        if backend_id is None:
            return
        runs = self.runs_by_backend[backend_id]
        run = runs.run_by_task[task]
        run.wants_retry = False
        self._stop(runs, run, now)

    def _stop(self, runs: BackendRuns, run: Run, now: float) -> None:
        if run.state in {RunState.STOPPING, RunState.STOPPED}:
            return
        run.turn(RunState.STOPPING, now)
        self._send_stop(runs, run.task, run.number)

    def _send_stop(self, runs: BackendRuns, task: TaskKey, run: int) -> None:
        self._effects.append(StopRun(runs.listed, self.term, task, run))

    def _add(self, runs: BackendRuns, run: Run) -> None:
        runs.add(run)
        self.backend_by_task[run.task] = runs.listed.backend_id

    def _drop(self, runs: BackendRuns, run: Run) -> None:
        runs.drop(run.task)
        self.backend_by_task.pop(run.task, None)

    def _lose(self, runs: BackendRuns, run: Run) -> None:
        self._drop(runs, run)
        self._owner.take_lost(runs, run)

    def _lose_all(self, runs: BackendRuns) -> None:
        for run in list(runs.run_by_task.values()):
            self._lose(runs, run)

    # Answers.

    def note_start(
        self,
        order: StartRun,
        answer: StartAnswer,
        sent_s: float,
        now: float,
    ) -> None:
        """Takes the answer to an order to start."""
        runs = self.runs_by_backend.get(order.backend.backend_id)
        run = runs and runs.run_by_task.get(order.task)
        if runs is None or run is None or run.number != order.run:
            return
        if answer.verdict is StartVerdict.UNANSWERED:
            runs.note_silence(sent_s)
            self._count('lost_orders', 'start')
            if run.state is RunState.ORDERED:
                run.turn(RunState.UNCERTAIN, now)
                self._look(runs, now)
            return
        runs.note_answer(answer.clock_ms, now)
        if answer.verdict is StartVerdict.STARTED:
            if run.state in {RunState.ORDERED, RunState.UNCERTAIN}:
                run.turn(RunState.RUNNING, now)
            return
        self._note_rejection(runs, answer.verdict, now)
        if run.state is RunState.ORDERED or not run.wants_retry:
            self._lose(runs, run)

    def _note_rejection(
        self,
        runs: BackendRuns,
        verdict: StartVerdict,
        now: float,
    ) -> None:
        self._count('rejected_starts', verdict.value)
        pause_s = REJECTION_PAUSE_S
        if verdict is StartVerdict.FENCED:
            self._effects.append(CheckOwnership())
            pause_s = UNHEALTHY_PAUSE_S
        elif verdict in {StartVerdict.UNHEALTHY, StartVerdict.INVALID}:
            pause_s = UNHEALTHY_PAUSE_S
        runs.pause_until_s = now + pause_s
        self._note('Start was rejected.', runs.listed, verdict=verdict.value)

    def note_stop(
        self,
        order: StopRun,
        is_answered: bool,
        sent_s: float,
        now: float,
    ) -> None:
        """Takes the answer to an order to stop."""
        runs = self.runs_by_backend.get(order.backend.backend_id)
        if runs is None:
            return
        if not is_answered:
            runs.note_silence(sent_s)
            return
        runs.note_answer(None, now)
        run = runs.run_by_task.get(order.task)
        if run is None or run.number != order.run:
            return
        if run.state is RunState.STOPPING:
            run.turn(RunState.STOPPED, now)
            self._look(runs, now)

    def note_hold(self, order: Hold, answer: HoldAnswer, now: float) -> None:
        """Takes the answer to a hold or a look."""
        sent_s = self._sent_s_by_hold.pop(order.number)
        runs = self.runs_by_backend.get(order.backend.backend_id)
        if runs is None or order.backend.born_ms != runs.listed.born_ms:
            return
        is_main = runs.hold_number == order.number
        if answer.verdict is HoldVerdict.LISTED:
            self._note_list(runs, answer, sent_s, now)
        else:
            self._note_no_list(runs, answer.verdict, sent_s, now)
        if is_main:
            runs.hold_number = 0
            paused = runs.has_unstored_ends or runs.silent_since_s is not None
            runs.hold_due_s = now + (HOLD_PAUSE_S if paused else 0)
            if not paused:
                self._hold(runs, now, self._may_renew)

    _may_renew = False

    def _note_no_list(
        self,
        runs: BackendRuns,
        verdict: HoldVerdict,
        sent_s: float,
        now: float,
    ) -> None:
        if verdict is HoldVerdict.FENCED:
            self._effects.append(CheckOwnership())
            runs.pause_until_s = now + UNHEALTHY_PAUSE_S
        elif verdict is HoldVerdict.OTHER_LIFETIME:
            self._note('Another back end has its address.', runs.listed)
            self._predecessor.note_gone(runs.listed.backend_id)
            self._lose_all(runs)
        elif runs.silent_since_s is None:
            self._note('Back end does not answer.', runs.listed)
        runs.note_silence(sent_s)

    def _note_list(
        self,
        runs: BackendRuns,
        answer: HoldAnswer,
        sent_s: float,
        now: float,
    ) -> None:
        if answer.born_ms > runs.listed.born_ms:
            newer = runs.listed._replace(born_ms=answer.born_ms)
            self._renew(runs, newer, now)
            return
        if runs.silent_since_s is not None:
            self._note('Back end answers again.', runs.listed)
        runs.note_answer(answer.clock_ms, now)
        if answer.finished:
            runs.skip_to(answer.finished[0].number)
        for end in runs.new_ends(answer):
            self._note_end(runs, end, now)
        for entry in answer.active:
            self._note_active(runs, entry, now)
        for run in absent_runs(runs, answer.active):
            self._note_absent(runs, run, sent_s, now)
        if not runs.is_heard:
            runs.is_heard = True
            listed = runs.listed
            self._predecessor.note_heard(listed.backend_id, listed.born_ms)

    def _note_end(
        self,
        runs: BackendRuns,
        end: FinishedRun,
        now: float,
    ) -> None:
        run = runs.run_by_task.get(end.task)
        if run is not None and run.number == end.run:
            self._drop(runs, run)
        else:
            run = None
        fate = self._owner.take_end(runs, end, run, now)
        if fate is EndFate.ACKNOWLEDGE:
            runs.note_stored(end.number)

    def _note_active(
        self,
        runs: BackendRuns,
        entry: ActiveRun,
        now: float,
    ) -> None:
        run = runs.run_by_task.get(entry.task)
        if run is not None and run.number == entry.run:
            if run.state in {RunState.ORDERED, RunState.UNCERTAIN}:
                run.turn(RunState.RUNNING, now)
            return
        needs = self._owner.needs_of(entry.task)
        if needs is None or entry.task in self.backend_by_task:
            if self._owner.is_handed_over(now):
                self._send_stop(runs, entry.task, entry.run)
            return
        found = Run(entry.task, entry.run, needs, now)
        found.is_ordered = False
        found.turn(RunState.RUNNING, now)
        self._add(runs, found)

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
            self._stop(runs, run, now)
        elif run.state in {RunState.RUNNING, RunState.STOPPED}:
            self._lose(runs, run)

    # Time.

    def tick(self, now: float, may_renew: bool) -> None:
        """Does what is due: holds, repeated stops, lapses."""
        self._may_renew = may_renew
        for runs in list(self.runs_by_backend.values()):
            if runs.hold_number == 0 and runs.hold_due_s <= now:
                self._hold(runs, now, may_renew)
            self._repeat_stops(runs, now)
            if runs.silent_since_s is not None:
                self._note_lapse(runs, now)

    def _repeat_stops(self, runs: BackendRuns, now: float) -> None:
        for run in runs.run_by_task.values():
            if now - run.since_s < STOP_RETRY_S:
                continue
            if run.state is RunState.STOPPING:
                run.turn(RunState.STOPPING, now)
                self._send_stop(runs, run.task, run.number)

    def _note_lapse(self, runs: BackendRuns, now: float) -> None:
        silent_since_s = runs.silent_since_s or now
        if now - silent_since_s > PRESUMED_OVER_S:
            self._lose_all(runs)
        elif runs.has_lapsed(now):
            for run in list(runs.run_by_task.values()):
                if run.state is RunState.RUNNING:
                    self._count('lapsed_runs', 'back-end-silent')
                    self._lose(runs, run)

    def _hold(self, runs: BackendRuns, now: float, may_renew: bool) -> None:
        renews = may_renew and runs.is_heard and runs.silent_since_s is None
        can_wait = renews and not runs.has_unstored_ends
        lease_ms = runs.lease_clock_ms(now) if renews else None
        if lease_ms is not None:
            runs.note_lease_sent(now)
        runs.hold_number = self._send_hold(
            runs,
            lease_ms,
            HOLD_WAIT_MS if can_wait else 0,
            now,
        )

    def _look(self, runs: BackendRuns, now: float) -> None:
        self._send_hold(runs, None, 0, now)

    def _send_hold(
        self,
        runs: BackendRuns,
        lease_ms: int | None,
        wait_ms: int,
        now: float,
    ) -> int:
        self._holds += 1
        self._sent_s_by_hold[self._holds] = now
        self._effects.append(
            Hold(
                runs.listed,
                self.term,
                runs.acknowledged,
                lease_ms,
                wait_ms,
                self._holds,
            ),
        )
        return self._holds

    def _count(self, family: str, reason: str) -> None:
        self._effects.append(Count(family, reason))

    def _note(
        self,
        event: str,
        backend: ListedBackend,
        **facts: object,
    ) -> None:
        self._effects.append(
            Note(event, {'backend': backend.backend_id, **facts}),
        )
