"""Registry of the runs of a cell, which also issues commands about them.

Commands are returned as effects; the commander processes their answers.
"""

from collections.abc import Callable

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    RenewLeases,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunLoss,
    RunState,
)
from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CheckOwnership,
    CountEvent,
    LogEvent,
)
from camphorlink.internal.core.process.lease_limit import longest_lease_s
from camphorlink.internal.core.request.durable_job import Resources, TaskKey
from camphorlink.internal.core.request.task_placement import MS_PER_S

#: Time in ms for which a back end may delay its answer to a lease renewal
#: until a run ends: with a lease of 1 s, two answers may be lost before a lease
#: lapses.
RENEWAL_WAIT_MS = 300
#: The same in ms for a call that only lists the runs, because the lease must not
#: be renewed for now.
LIST_WAIT_MS = 100
#: Number of run numbers, and of fencing tokens, per term; those of the next term
#: are higher.
NUMBERS_PER_TERM = 10_000_000


class RunRegistry:
    """Runs of one term, and the commands that start, stop and list them.

    Attributes:
        term: Term of the owner.
        coordinator_lease_end_s: Returns the time in seconds until which a
            task's coordinator lets it run.
        runs_by_backend: Known state of each back end.
        backends_by_task: Back ends with an active run of each task.  A task has
            more than one only while a run that a late command of an earlier
            owner started is being stopped.
        unclaimed_runs: Numbers of the runs without a known job that back ends
            listed at the start of the term, by task and incarnation.
        freed_count: Number of times so far that capacity became free.
    """

    def __init__(
        self,
        term: int,
        coordinator_lease_end_s: Callable[[TaskKey], float],
        effects: list[CellEffect],
    ) -> None:
        """Creates a registry without back ends.

        Args:
            term: Term of the owner.
            coordinator_lease_end_s: Returns the time in seconds until which a
                task's coordinator lets it run.
            effects: List that commands are appended to.
        """
        self.coordinator_lease_end_s = coordinator_lease_end_s
        self.term = term
        self.runs_by_backend: dict[str, BackendRuns] = {}
        self.backends_by_task: dict[TaskKey, set[str]] = {}
        self.unclaimed_runs: dict[TaskKey, dict[BackendRuns, int]] = {}
        self.freed_count = 0
        self._effects = effects
        self._run_count = 0
        self._incarnation_count = 0
        self._renewal_count = 0
        self._sent_s_by_renewal: dict[int, float] = {}

    def open_incarnation(
        self, backend: ListedBackend, now: float
    ) -> BackendRuns:
        """Adds an incarnation of a back end and requests a list of its runs.

        The incarnation gets a higher fencing token than those before: it has seen
        none, and commands to its predecessor may reach it for some seconds.
        """
        self._incarnation_count += 1
        token = self.term * NUMBERS_PER_TERM + self._incarnation_count
        runs = BackendRuns(backend, now, token)
        self.runs_by_backend[backend.backend_id] = runs
        self.list_runs(runs, now)
        return runs

    def replace_incarnation(
        self,
        old: BackendRuns,
        backend: ListedBackend,
        now: float,
    ) -> None:
        """Replaces a back end's incarnation by a newer one.

        Known runs are kept with their lease, since recent start commands may
        have reached the new incarnation.  The old one has none left and is not
        used any more, by whoever still refers to it.
        """
        self.log_event('Back end has a new incarnation.', backend)
        self.forget_unclaimed(old, set())
        runs = self.open_incarnation(backend, now)
        if old.run_by_task:
            runs.lease_end_s = old.lease_end_s
        for run in list(old.run_by_task.values()):
            old.drop(run.task)
            runs.add(run)
        old.is_listed = False

    def add(self, runs: BackendRuns, run: Run) -> None:
        """Adds a run that was started or adopted."""
        runs.add(run)
        backends = self.backends_by_task.setdefault(run.task, set())
        backends.add(runs.listed.backend_id)

    def drop(self, runs: BackendRuns, run: Run) -> None:
        """Removes a run that has certainly ended."""
        runs.drop(run.task)
        self.freed_count += 1
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
        is_alone: bool = False,
    ) -> Run:
        """Sends a command to start a task on a back end."""
        self._run_count += 1
        number = self.term * NUMBERS_PER_TERM + self._run_count
        run = Run(task, number, needs, now)
        run.is_alone = is_alone
        self.add(runs, run)
        lease_s = longest_lease_s(runs, self.coordinator_lease_end_s, now)
        runs.record_lease_sent(now, lease_s)
        self._effects.append(
            StartRun(
                runs.listed,
                runs.token,
                task,
                number,
                spec,
                runs.lease_clock_ms(now, lease_s) or 0,
                checkpoint,
            ),
        )
        return run

    def forget_unclaimed(
        self, runs: BackendRuns, listed_tasks: set[TaskKey]
    ) -> None:
        """Forgets unclaimed runs that a back end does not list any more."""
        for task, unclaimed in list(self.unclaimed_runs.items()):
            if task not in listed_tasks:
                unclaimed.pop(runs, None)
            if not unclaimed:
                self.unclaimed_runs.pop(task)

    def claim_task(self, task: TaskKey) -> None:
        """Makes a task start again when its runs, which may be stopped, end."""
        for backend_id in self.backends_by_task.get(task, ()):
            run = self.runs_by_backend[backend_id].run_by_task[task]
            run.wants_retry = True
            run.must_end_s = None

    def stop_task(
        self, task: TaskKey, now: float, must_end_s: float | None = None
    ) -> None:
        """Stops all runs of a task without a retry.

        Args:
            task: The task.
            now: Time in seconds.
            must_end_s: Time in seconds from which on they must not run any
                more; defaults to ``now``.
        """
        for backend_id in self.backends_by_task.get(task, ()):
            runs = self.runs_by_backend[backend_id]
            run = runs.run_by_task[task]
            run.wants_retry = False
            run.must_end_s = now if must_end_s is None else must_end_s
            self.stop(runs, run, now)

    def stop(self, runs: BackendRuns, run: Run, now: float) -> None:
        """Sends a command to stop a run, unless one was sent before."""
        if run.state in {RunState.STOPPING, RunState.STOPPED}:
            return
        self.resend_stop(runs, run, now)

    def resend_stop(self, runs: BackendRuns, run: Run, now: float) -> None:
        """Sends a command to stop a run, again if the last got no answer."""
        run.change_state(RunState.STOPPING, now)
        run.stops_sent += 1
        self.send_stop(runs, run.task, run.number)

    def send_stop(self, runs: BackendRuns, task: TaskKey, run: int) -> None:
        """Sends a command to stop a run, which may be unknown here."""
        self._effects.append(StopRun(runs.listed, runs.token, task, run))

    def renew_leases(
        self, runs: BackendRuns, now: float, may_renew: bool
    ) -> None:
        """Sends the regular call that lists runs and renews the lease.

        Without ``may_renew``, while the back end has not listed its runs or
        does not answer, or while a run on it must end, the call only lists
        runs.
        """
        is_in_contact = runs.has_listed_runs and runs.silent_since_s is None
        lease_s = longest_lease_s(runs, self.coordinator_lease_end_s, now)
        renews = (
            may_renew
            and is_in_contact
            and lease_s > 0
            and runs.may_extend_lease(now)
        )
        can_wait = is_in_contact and not runs.has_unstored_completions
        lease_ms = runs.lease_clock_ms(now, lease_s) if renews else None
        if lease_ms is not None:
            runs.record_lease_sent(now, lease_s)
        runs.renewal_number = self._send_renewal(
            runs,
            lease_ms,
            _wait_ms(can_wait, renews),
            now,
        )

    def list_runs(self, runs: BackendRuns, now: float) -> None:
        """Requests a list of a back end's runs without renewing its lease."""
        runs.polled_s = now
        self._send_renewal(runs, None, 0, now)

    def pop_sent_s(self, command: RenewLeases) -> float:
        """Removes and returns the time in seconds at which a call was sent."""
        return self._sent_s_by_renewal.pop(command.number)

    def check_ownership(self) -> None:
        """Requests a read of the log, as another VM may own the cell now."""
        self._effects.append(CheckOwnership())

    def count(self, family: str, reason: str) -> None:
        """Increments a counter by its reason."""
        self._effects.append(CountEvent(family, reason))

    def record_loss(
        self, runs: BackendRuns, run: Run, loss: RunLoss, now: float
    ) -> None:
        """Logs and counts a run that ended without a listed completion."""
        self.count('lost_runs', loss.value)
        silent_since_s = runs.silent_since_s
        self.log_event(
            'Run was lost.',
            runs.listed,
            task=list(run.task),
            run=run.number,
            reason=loss.value,
            age_ms=round((now - run.started_s) * MS_PER_S),
            silent_ms=(
                None
                if silent_since_s is None
                else round((now - silent_since_s) * MS_PER_S)
            ),
        )

    def log_event(
        self,
        event: str,
        backend: ListedBackend,
        **facts: object,
    ) -> None:
        """Logs a decision about a back end."""
        self._effects.append(
            LogEvent(event, {'backend': backend.backend_id, **facts}),
        )

    def _send_renewal(
        self,
        runs: BackendRuns,
        lease_ms: int | None,
        wait_ms: int,
        now: float,
    ) -> int:
        self._renewal_count += 1
        self._sent_s_by_renewal[self._renewal_count] = now
        is_in_contact = runs.silent_since_s is None
        self._effects.append(
            RenewLeases(
                runs.listed,
                runs.token,
                # After a silence, the next incarnation may receive the call.
                runs.acknowledged if is_in_contact else 0,
                lease_ms,
                wait_ms,
                self._renewal_count,
            ),
        )
        return self._renewal_count


def _wait_ms(can_wait: bool, renews: bool) -> int:
    """Returns how long a back end may delay its answer to a regular call."""
    if not can_wait:
        return 0
    return RENEWAL_WAIT_MS if renews else LIST_WAIT_MS
