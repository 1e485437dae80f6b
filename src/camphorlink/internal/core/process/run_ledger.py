"""Which runs a cell's owner has ordered on which back end, and its orders.

The orders themselves are effects; what comes of them is for the commander.
"""

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    RenewLeases,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CheckOwnership,
    Count,
    Note,
)
from camphorlink.internal.core.request.durable_job import Resources, TaskKey

#: How long an answer to a hold waits for an end: with a lease of 1 s, two
#: answers may be lost before anything lapses.
HOLD_WAIT_MS = 300
#: Numbers of runs that a term has; the next term's are higher.
RUNS_PER_TERM = 10_000_000


class RunLedger:
    """The runs of one term, and the orders about them.

    Attributes:
        term: Fencing token.
        runs_by_backend: What is known of each back end.
        backends_by_task: Where each task has runs that are not over: more than
            one only while an earlier owner's late order is being undone.
        stray_tasks: Tasks with a run that nobody has asked for yet, as listed
            in the first moments of the term.
    """

    def __init__(self, term: int, effects: list[CellEffect]) -> None:
        """Starts with no back end; orders are added to the effects."""
        self.term = term
        self.runs_by_backend: dict[str, BackendRuns] = {}
        self.backends_by_task: dict[TaskKey, set[str]] = {}
        self.stray_tasks: set[TaskKey] = set()
        self._effects = effects
        self._runs = 0
        self._holds = 0
        self._sent_s_by_hold: dict[int, float] = {}

    def open(self, backend: ListedBackend, now: float) -> BackendRuns:
        """Starts with a lifetime of a back end, and looks at its runs."""
        runs = BackendRuns(backend, now)
        self.runs_by_backend[backend.backend_id] = runs
        self.look(runs, now)
        return runs

    def renew(
        self,
        old: BackendRuns,
        backend: ListedBackend,
        now: float,
    ) -> None:
        """Opens a new lifetime; runs ordered of late may belong to it."""
        self.note('Back end has a new lifetime.', backend)
        runs = self.open(backend, now)
        for run in old.run_by_task.values():
            runs.add(run)

    def add(self, runs: BackendRuns, run: Run) -> None:
        """Counts a run that was ordered or found."""
        runs.add(run)
        backends = self.backends_by_task.setdefault(run.task, set())
        backends.add(runs.listed.backend_id)

    def drop(self, runs: BackendRuns, run: Run) -> None:
        """Forgets a run that is certainly over."""
        runs.drop(run.task)
        backends = self.backends_by_task.get(run.task, set())
        backends.discard(runs.listed.backend_id)
        if not backends:
            self.backends_by_task.pop(run.task, None)

    def start(
        self,
        runs: BackendRuns,
        task: TaskKey,
        needs: Resources,
        spec: str,
        checkpoint: str,
        now: float,
    ) -> Run:
        """Orders to start a task on a back end."""
        self._runs += 1
        number = self.term * RUNS_PER_TERM + self._runs
        run = Run(task, number, needs, now)
        self.add(runs, run)
        runs.record_lease_sent(now)
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
        return run

    def stop_task(self, task: TaskKey, now: float) -> None:
        """Stops the runs of a task, if it has any; it won't run again."""
        for backend_id in self.backends_by_task.get(task, ()):
            runs = self.runs_by_backend[backend_id]
            run = runs.run_by_task[task]
            run.wants_retry = False
            self.stop(runs, run, now)

    def stop(self, runs: BackendRuns, run: Run, now: float) -> None:
        """Orders to stop a run, unless that was done."""
        if run.state in {RunState.STOPPING, RunState.STOPPED}:
            return
        run.change_state(RunState.STOPPING, now)
        self.send_stop(runs, run.task, run.number)

    def send_stop(self, runs: BackendRuns, task: TaskKey, run: int) -> None:
        """Orders to stop a run by its number, known here or not."""
        self._effects.append(StopRun(runs.listed, self.term, task, run))

    def hold(self, runs: BackendRuns, now: float, may_renew: bool) -> None:
        """Sends the one hold that waits, and renews the lease if it may."""
        renews = (
            may_renew and runs.has_listed_runs and runs.silent_since_s is None
        )
        can_wait = renews and not runs.has_unstored_completions
        lease_ms = runs.lease_clock_ms(now) if renews else None
        if lease_ms is not None:
            runs.record_lease_sent(now)
        runs.renewal_number = self._send_hold(
            runs,
            lease_ms,
            HOLD_WAIT_MS if can_wait else 0,
            now,
        )

    def look(self, runs: BackendRuns, now: float) -> None:
        """Asks for the runs of a back end at once."""
        runs.polled_s = now
        self._send_hold(runs, None, 0, now)

    def take_sent_s(self, order: RenewLeases) -> float:
        """Returns when a hold was sent, once."""
        return self._sent_s_by_hold.pop(order.number)

    def check_ownership(self) -> None:
        """Has the log read to its end: another owner may have claimed."""
        self._effects.append(CheckOwnership())

    def count(self, family: str, reason: str) -> None:
        """Counts an event by its reason."""
        self._effects.append(Count(family, reason))

    def note(
        self,
        event: str,
        backend: ListedBackend,
        **facts: object,
    ) -> None:
        """Logs what was decided about a back end."""
        self._effects.append(
            Note(event, {'backend': backend.backend_id, **facts}),
        )

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
            RenewLeases(
                runs.listed,
                self.term,
                runs.acknowledged,
                lease_ms,
                wait_ms,
                self._holds,
            ),
        )
        return self._holds
