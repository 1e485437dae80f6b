"""The decisions of a cell's owner: what starts where, and what is over.

A cell is the back ends of one availability zone.  Its owner alone gives them
orders, under its term as fencing token.  A task starts again only when its
earlier run is certainly over: the back end lists its end or answers that it
is not there and never will be, a new lifetime has begun, or the lease has
lapsed unrenewed.
"""

from functools import singledispatchmethod

from camphorlink.internal.core.connection.backend_orders import (
    ActiveRun,
    FinishedRun,
    Hold,
    HoldAnswer,
    HoldVerdict,
    ListedBackend,
    RunEnd,
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
    needs_storing,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds, RunTime
from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CheckOwnership,
    Count,
    Note,
    Store,
)
from camphorlink.internal.core.process.job_table import (
    Change,
    EndsStored,
    JobEnded,
    JobTable,
    LiveJob,
    OwnerChanged,
    TasksDue,
)
from camphorlink.internal.core.process.predecessor import Predecessor
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    Commanded,
    End,
    Ended,
)
from camphorlink.internal.core.request.task_placement import (
    choose_backend,
    due_s_of,
)
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)

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
#: Numbers of runs that a term has for each task.
RUNS_PER_TERM = 1000


class Cell:
    """Commands the back ends of one cell in one term.

    Attributes:
        name: The availability zone.
        term: Fencing token.
        waiting: Tasks that wait for room.
        runs_by_backend: What is known of each back end.
        speeds: Learned run times.
    """

    def __init__(
        self,
        name: str,
        term: int,
        table: JobTable,
        speeds: RunSpeeds,
        now: float,
    ) -> None:
        """Takes over: what ran before is unknown until back ends list it."""
        self.name = name
        self.term = term
        self.waiting = WaitingTasks()
        self.runs_by_backend: dict[str, BackendRuns] = {}
        self.speeds = speeds
        self._table = table
        self._effects: list[CellEffect] = []
        self._holds = 0
        self._sent_s_by_hold: dict[int, float] = {}
        self._last_run_by_task: dict[TaskKey, int] = {}
        self._end_by_run: dict[tuple[TaskKey, int], tuple[str, int]] = {}
        self._predecessor = Predecessor(
            table.commanded_by_cell.get(name, {}),
            now,
        )
        self._old_tasks = [
            (live, task)
            for live in table.live_by_id.values()
            for task in live.due_tasks()
            if live.cell_of(task) == name
        ]

    def take_effects(self) -> list[CellEffect]:
        """Returns what is to be done, once."""
        effects = self._effects
        self._effects = []
        return effects

    def owns(self, table: JobTable) -> bool:
        """Tells whether the log still names this term as the owner's."""
        return table.owner_of(self.name).term == self.term

    def count_waiting_jobs(self) -> dict[str, int]:
        """Counts by queue the jobs of which no task was started here."""
        ids_by_queue: dict[str, set[str]] = {}
        for entry in self.waiting:
            job = entry.job
            ids_by_queue.setdefault(job.queue, set()).add(job.job_id)
        return {queue: len(ids) for queue, ids in ids_by_queue.items()}

    # Changes of the job table.

    @singledispatchmethod
    def note_change(self, change: Change, now: float) -> None:
        """Takes a change of the job table."""
        raise TypeError(change)

    @note_change.register
    def _note_due(self, change: TasksDue, now: float) -> None:
        for task in change.tasks:
            if change.live.cell_of(task) == self.name:
                self._enqueue(change.live, task)

    @note_change.register
    def _note_stored(self, change: EndsStored, now: float) -> None:
        if change.cell != self.name:
            return
        for end in change.ends:
            listed = self._end_by_run.pop((end.task, end.run), None)
            if listed is None:
                continue
            backend_id, number = listed
            runs = self.runs_by_backend.get(backend_id)
            if runs is not None:
                runs.note_stored(number)
                runs.hold_due_s = now

    @note_change.register
    def _note_ended(self, change: JobEnded, now: float) -> None:
        job = change.live.job
        for step, entry in enumerate(job.steps):
            for index in range(entry.count):
                task = TaskKey(job.job_id, step, index)
                self.waiting.discard(task)
                self._last_run_by_task.pop(task, None)
        for runs in self.runs_by_backend.values():
            for run in list(runs.run_by_task.values()):
                if run.task.job_id == job.job_id:
                    run.wants_retry = False
                    self._stop(runs, run, now)

    @note_change.register
    def _note_owner(self, change: OwnerChanged, now: float) -> None:
        """Nothing to do: the shell drops a cell that it lost."""

    # The directory of back ends.

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
            if not runs.is_listed and not runs.run_by_task:
                self._close(backend_id, now)
        self._store_commanded()

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
    ) -> BackendRuns:
        """Opens a new lifetime; runs ordered of late may belong to it."""
        self._note('Back end has a new lifetime.', backend)
        self.speeds.forget(backend.backend_id)
        runs = self._open(backend, now)
        for run in old.run_by_task.values():
            runs.add(run)
        return runs

    def _close(self, backend_id: str, now: float) -> None:
        runs = self.runs_by_backend[backend_id]
        if runs.silent_since_s is None and not runs.is_heard:
            return
        if runs.silent_since_s is not None:
            self.runs_by_backend.pop(backend_id)
            self.speeds.forget(backend_id)
            self._note('Back end is gone.', runs.listed)

    def _store_commanded(self) -> None:
        lifetimes = {
            backend_id: runs.listed.born_ms
            for backend_id, runs in self.runs_by_backend.items()
        }
        lifetimes = self._predecessor.unheard_by_id | lifetimes
        if lifetimes != self._commanded_sent:
            self._commanded_sent = lifetimes
            rows = tuple(sorted(lifetimes.items()))
            self._effects.append(
                Store(Commanded(self.name, self.term, rows)),
            )

    _commanded_sent: dict[str, int] | None = None

    # Answers of back ends.

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
        self._count('rejected_starts', answer.verdict.value)
        self._note_rejection(runs, answer.verdict, now)
        if run.state is RunState.ORDERED:
            self._finish(runs, run)

    def _note_rejection(
        self,
        runs: BackendRuns,
        verdict: StartVerdict,
        now: float,
    ) -> None:
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
        run = runs and runs.run_by_task.get(order.task)
        if runs is None:
            return
        if not is_answered:
            runs.note_silence(sent_s)
        elif run is not None and run.number == order.run:
            runs.note_answer(None, now)
            if run.state is RunState.STOPPING:
                run.turn(RunState.STOPPED, now)
                self._look(runs, now)

    def note_hold(
        self,
        order: Hold,
        answer: HoldAnswer,
        now: float,
    ) -> None:
        """Takes the answer to a hold or a look."""
        sent_s = self._sent_s_by_hold.pop(order.number)
        runs = self.runs_by_backend.get(order.backend.backend_id)
        if runs is None:
            return
        is_main = runs.hold_number == order.number
        if is_main:
            runs.hold_number = 0
        if order.backend.born_ms != runs.listed.born_ms:
            return
        if answer.verdict is HoldVerdict.LISTED:
            self._note_list(runs, answer, sent_s, now)
        else:
            self._note_no_list(runs, answer.verdict, sent_s, now)
        if is_main:
            paused = runs.has_unstored_ends or runs.silent_since_s is not None
            runs.hold_due_s = now + (HOLD_PAUSE_S if paused else 0)

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
            self._finish_all(runs)
            runs.note_silence(sent_s)
        else:
            if runs.silent_since_s is None:
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
            self._store_commanded()
            return
        if runs.silent_since_s is not None:
            self._note('Back end answers again.', runs.listed)
        runs.note_answer(answer.clock_ms, now)
        if answer.finished:
            runs.skip_to(answer.finished[0].number)
        ends = [
            stored
            for end in runs.new_ends(answer)
            if (stored := self._note_end(runs, end, now))
        ]
        if ends:
            record = Ended(self.name, self.term, tuple(ends))
            self._effects.append(Store(record))
        for entry in answer.active:
            self._note_active(runs, entry, now)
        for run in absent_runs(runs, answer.active):
            self._note_absent(runs, run, sent_s, now)
        if not runs.is_heard:
            runs.is_heard = True
            self._predecessor.note_heard(
                runs.listed.backend_id,
                runs.listed.born_ms,
            )

    def _note_end(
        self,
        runs: BackendRuns,
        end: FinishedRun,
        now: float,
    ) -> End | None:
        """Takes one listed end; returns it if it has to be stored."""
        run = runs.run_by_task.get(end.task)
        is_ours = run is not None and run.number == end.run
        live = self._table.live_by_id.get(end.task.job_id)
        if live is None or live.is_task_done(end.task):
            if is_ours:
                runs.drop(end.task)
            runs.note_stored(end.number)
            return None
        if needs_storing(end):
            if run is not None and is_ours:
                runs.drop(end.task)
                self._learn(runs, run, end, live, now)
            self.waiting.discard(end.task)
            key = (end.task, end.run)
            self._end_by_run[key] = (runs.listed.backend_id, end.number)
            return End(end.task, end.run, end.how is RunEnd.DONE)
        runs.note_stored(end.number)
        if run is not None and is_ours:
            run.checkpoint = end.checkpoint or run.checkpoint
            self._finish(runs, run)
        return None

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
        live = self._table.live_by_id.get(entry.task.job_id)
        step = live and live.job.steps[entry.task.step]
        if live is None or step is None or run is not None:
            stray = StopRun(runs.listed, self.term, entry.task, entry.run)
            self._effects.append(stray)
            return
        found = Run(entry.task, entry.run, step.needs, now)
        found.turn(RunState.RUNNING, now)
        runs.add(found)
        self.waiting.discard(entry.task)
        if live.is_task_done(entry.task) or self._runs_elsewhere(runs, found):
            found.wants_retry = False
            self._stop(runs, found, now)

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
            self._finish(runs, run)

    def _runs_elsewhere(self, here: BackendRuns, run: Run) -> bool:
        return any(
            run.task in runs.run_by_task
            for runs in self.runs_by_backend.values()
            if runs is not here
        )

    # Time.

    def tick(self, now: float, may_renew: bool) -> None:
        """Does what is due: holds, repeated stops, lapses, starts.

        Args:
            now: Time in seconds.
            may_renew: Whether this owner was confirmed lately enough to renew
                leases and to start tasks.
        """
        for runs in list(self.runs_by_backend.values()):
            self._tick_backend(runs, now, may_renew)
        if not may_renew:
            return
        if self._old_tasks and self._predecessor.is_over(now):
            old_tasks = self._old_tasks
            self._old_tasks = []
            for live, task in old_tasks:
                if live.job.job_id in self._table.live_by_id:
                    self._enqueue(live, task)
        self.place(now)

    def _tick_backend(
        self,
        runs: BackendRuns,
        now: float,
        may_renew: bool,
    ) -> None:
        if runs.hold_number == 0 and runs.hold_due_s <= now:
            self._hold(runs, now, may_renew)
        for run in list(runs.run_by_task.values()):
            age_s = now - run.since_s
            if run.state is RunState.STOPPING and age_s > STOP_RETRY_S:
                run.turn(RunState.RUNNING, now)
                self._stop(runs, run, now)
        if runs.silent_since_s is None:
            return
        if now - runs.silent_since_s > PRESUMED_OVER_S:
            self._finish_all(runs)
        elif runs.has_lapsed(now):
            for run in list(runs.run_by_task.values()):
                if run.state is RunState.RUNNING:
                    self._count('lapsed_runs', 'back-end-silent')
                    self._finish(runs, run)

    def place(self, now: float) -> None:
        """Starts waiting tasks where there is room."""
        if not self.waiting:
            return
        usable = [
            runs
            for runs in self.runs_by_backend.values()
            if self._is_usable(runs, now)
        ]

        def can_place(entry: WaitingTask) -> bool:
            runs = choose_backend(entry, usable, self.speeds, now)
            if runs is not None:
                self._start(runs, entry, now)
            return runs is not None

        for _ in self.waiting.pop_placeable(can_place):
            continue

    def _is_usable(self, runs: BackendRuns, now: float) -> bool:
        commanded = self._table.commanded_by_cell.get(self.name, {})
        listed = runs.listed
        return (
            runs.is_heard
            and runs.is_listed
            and not listed.is_draining
            and runs.silent_since_s is None
            and runs.pause_until_s <= now
            and commanded.get(listed.backend_id) == listed.born_ms
        )

    def _start(
        self,
        runs: BackendRuns,
        entry: WaitingTask,
        now: float,
    ) -> None:
        number = self._next_run(entry.task)
        run = Run(entry.task, number, entry.needs, now)
        self._table.live_by_id[entry.task.job_id].has_begun = True
        runs.add(run)
        runs.note_lease_sent(now)
        self._effects.append(
            StartRun(
                runs.listed,
                self.term,
                entry.task,
                number,
                entry.job.spec,
                runs.lease_clock_ms(now) or 0,
                '',
            ),
        )

    def _next_run(self, task: TaskKey) -> int:
        first = self.term * RUNS_PER_TERM
        number = self._last_run_by_task.get(task, first) + 1
        self._last_run_by_task[task] = number
        return number

    def _enqueue(self, live: LiveJob, task: TaskKey) -> None:
        if any(task in runs.run_by_task
               for runs in self.runs_by_backend.values()):  # fmt: skip
            return
        if live.is_task_done(task) or self._is_being_stored(task):
            return
        self.waiting.add(task, live.job, due_s_of(live.job, self.speeds))

    def _is_being_stored(self, task: TaskKey) -> bool:
        return any(key[0] == task for key in self._end_by_run)

    def _finish(self, runs: BackendRuns, run: Run) -> None:
        """Takes a run as over; its task waits again where that is wanted."""
        runs.drop(run.task)
        live = self._table.live_by_id.get(run.task.job_id)
        if run.wants_retry and live is not None:
            self._enqueue(live, run.task)

    def _finish_all(self, runs: BackendRuns) -> None:
        for run in list(runs.run_by_task.values()):
            self._finish(runs, run)

    def _stop(self, runs: BackendRuns, run: Run, now: float) -> None:
        if run.state not in {RunState.STOPPING, RunState.STOPPED}:
            run.turn(RunState.STOPPING, now)
            order = StopRun(runs.listed, self.term, run.task, run.number)
            self._effects.append(order)

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

    def _learn(
        self,
        runs: BackendRuns,
        run: Run,
        end: FinishedRun,
        live: LiveJob,
        now: float,
    ) -> None:
        if end.how is RunEnd.DONE and run.number > self.term * RUNS_PER_TERM:
            step = live.job.steps[end.task.step]
            labels = runs.listed.labels
            self.speeds.note(
                RunTime(
                    live.job.queue,
                    labels[0] if labels else '',
                    runs.listed.backend_id,
                    step.estimate_ms / 1000,
                    now - run.started_s,
                ),
            )

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

