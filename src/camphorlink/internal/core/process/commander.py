"""Updates the owner's view of runs from the answers of back ends.

A run counts as ended only when that is certain: the back end lists its
completion, or no longer lists the run after the start or the stop was
acknowledged, or a new incarnation has begun, or the lease has lapsed.
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
    RunLoss,
    RunState,
    find_absent_runs,
)
from camphorlink.internal.core.connection.superseded_backends import (
    is_superseded,
    newest_by_address,
)
from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    ReadBackends,
)
from camphorlink.internal.core.process.crash_monitor import CrashMonitor
from camphorlink.internal.core.process.crash_table import CrashTable
from camphorlink.internal.core.process.lease_monitor import LeaseMonitor
from camphorlink.internal.core.process.predecessor import Predecessor
from camphorlink.internal.core.process.run_registry import RunRegistry
from camphorlink.internal.core.request.durable_job import (
    NO_RESOURCES,
    Resources,
    TaskKey,
)

#: Pause in seconds between lease renewals while completions are not stored yet
#: or the back end does not answer.
RENEWAL_PAUSE_S = 0.1
#: Time in seconds without further starts after a back end rejects one.
REJECTION_PAUSE_S = 0.05
#: The same, in seconds, if the back end reports itself unhealthy.
UNHEALTHY_PAUSE_S = 1.0


class CompletionAction(enum.Enum):
    """Whether a listed completion is acknowledged now or kept listed."""

    ACKNOWLEDGE = enum.auto()
    KEEP = enum.auto()


class RunCallbacks(Protocol):
    """Callbacks to the component that maps runs to jobs."""

    def handle_completion(
        self,
        runs: BackendRuns,
        completion: FinishedRun,
        run: Run | None,
        now: float,
    ) -> CompletionAction:
        """Handles a completion that a back end lists.

        ``run`` is ``None`` if this owner does not know the run.
        """

    def handle_lost_run(self, runs: BackendRuns, run: Run) -> None:
        """Handles a run that ended without a listed completion."""

    def dequeue_task(self, task: TaskKey) -> Resources | None:
        """Removes a task from the queue and returns its resources.

        Returns ``None`` if the task must not run.
        """

    def coordinator_lease_end_s(self, task: TaskKey) -> float:
        """Returns the time until which a task may run, in seconds."""

    def is_handed_over(self, now: float) -> bool:
        """Returns whether all coordinators have resent their open tasks.

        After that, runs of unknown tasks can be stopped.
        """

    def expire_coordinators(self, now: float) -> None:
        """Stops the tasks of coordinators whose lease has expired."""


class Commander:
    """Processes the answers of one cell's back ends during one term.

    Attributes:
        registry: Runs of the term; it also issues the commands.
        crashes: Crashes of back ends, and the tasks that may have caused them.
        tick: Sends the commands that are due.  Takes the time and the time of
            the last confirmation of the owner, both in seconds.
    """

    def __init__(
        self,
        term: int,
        callbacks: RunCallbacks,
        predecessor: Predecessor,
        stored_crashes: CrashTable,
        effects: list[CellEffect],
    ) -> None:
        """Creates a commander without back ends.

        Args:
            term: Term of the owner.
            callbacks: Receives completions and lost runs.
            predecessor: Back ends that an earlier owner commanded.
            stored_crashes: Crashes that the job log holds.
            effects: List that commands are appended to.
        """
        self.registry = RunRegistry(
            term, callbacks.coordinator_lease_end_s, effects
        )
        self._effects = effects
        self._callbacks = callbacks
        self._predecessor = predecessor
        self.crashes = CrashMonitor(stored_crashes, self.registry, effects)
        self._lease_monitor = LeaseMonitor(
            self.registry, self.crashes, self._drop_lost_run
        )
        self.tick = self._lease_monitor.tick

    def update_backends(
        self,
        listed_by_id: dict[str, ListedBackend],
        now: float,
    ) -> None:
        """Applies the platform's current list of this cell's back ends."""
        self.crashes.record_listing(listed_by_id)
        newest = newest_by_address(listed_by_id.values())
        for backend in listed_by_id.values():
            known = self.registry.runs_by_backend.get(backend.backend_id)
            if known is not None:
                self._update_known(known, backend, now)
            elif is_superseded(backend, newest):
                self._predecessor.mark_gone(
                    backend.backend_id, backend.started_ms
                )
            else:
                self.registry.open_incarnation(backend, now)
        for backend_id, runs in list(self.registry.runs_by_backend.items()):
            runs.is_listed = backend_id in listed_by_id
            if is_superseded(runs.listed, newest):
                self._end_superseded(runs, now)
            is_silent = runs.silent_since_s is not None
            if not runs.is_listed and is_silent and not runs.run_by_task:
                self.registry.runs_by_backend.pop(backend_id)
                self.registry.forget_unclaimed(runs, set())
                self.registry.log_event(
                    'Back end was removed from the list.', runs.listed
                )

    def _update_known(
        self, known: BackendRuns, backend: ListedBackend, now: float
    ) -> None:
        if known.listed.started_ms < backend.started_ms:
            self._replace_incarnation(known, backend, now)
        elif known.listed.started_ms == backend.started_ms:
            self._update_listing(known, backend)

    def _end_superseded(self, runs: BackendRuns, now: float) -> None:
        if runs.is_listed or runs.run_by_task:
            self.registry.log_event(
                'Another back end is listed at this address.', runs.listed
            )
        runs.is_listed = False
        self._end_incarnation(runs, now)

    def _end_incarnation(self, runs: BackendRuns, now: float) -> None:
        """Handles the end of an incarnation under its identifier.

        No command can reach its successor, which rejects the identifier, so
        that no run is left.
        """
        listed = runs.listed
        self._predecessor.mark_gone(listed.backend_id, listed.started_ms)
        self.registry.forget_unclaimed(runs, set())
        self.crashes.record_end(runs, now)
        for run in list(runs.run_by_task.values()):
            self._drop_lost_run(runs, run, RunLoss.REPLACED, now)

    def _replace_incarnation(
        self, runs: BackendRuns, newer: ListedBackend, now: float
    ) -> None:
        self.crashes.record_end(runs, now)
        for run in list(runs.run_by_task.values()):
            if run.has_been_listed:
                self._drop_lost_run(runs, run, RunLoss.REPLACED, now)
        self.registry.replace_incarnation(runs, newer, now)

    def _update_listing(
        self, runs: BackendRuns, backend: ListedBackend
    ) -> None:
        former = runs.listed.capacity
        if runs.update_listing(backend):
            # Waiting tasks may fit now.
            self.registry.freed_count += 1
            self.registry.count('resized_backends', 'capacity-changed')
            self.registry.log_event(
                'Capacity of a back end changed.',
                backend,
                former_cpu_milli=former.cpu_milli,
                cpu_milli=backend.capacity.cpu_milli,
            )

    def _drop_lost_run(
        self, runs: BackendRuns, run: Run, loss: RunLoss, now: float
    ) -> None:
        self.registry.drop(runs, run)
        self.registry.record_loss(runs, run, loss, now)
        self._callbacks.handle_lost_run(runs, run)

    def handle_start_answer(
        self,
        command: StartRun,
        answer: StartAnswer,
        sent_s: float,
        now: float,
    ) -> None:
        """Processes the answer to a start command."""
        runs = self.registry.runs_by_backend.get(command.backend.backend_id)
        if runs is None:
            return
        run = runs.run_by_task.get(command.task)
        if run is None or run.number != command.run:
            return
        if answer.verdict is StartVerdict.UNANSWERED:
            runs.record_no_answer(sent_s, renews=True)
            self.registry.count('lost_orders', 'start')
            _doubt_start(self.registry, runs, run, now)
            return
        if _is_stale(self.registry, command, runs):
            # The next incarnation lists the run if it has received the start.
            if answer.verdict is StartVerdict.STARTED:
                _doubt_start(self.registry, runs, run, now)
            elif run.state is not RunState.RUNNING:
                self._drop_lost_run(runs, run, RunLoss.REJECTED, now)
            return
        if answer.verdict is StartVerdict.OTHER_INCARNATION:
            self.registry.count('rejected_starts', answer.verdict.value)
            runs.record_no_answer(sent_s, renews=False)
            # The start was answered by another process, so that the task was not
            # there when the incarnation ended.
            self._drop_lost_run(runs, run, RunLoss.REJECTED, now)
            self._handle_other_incarnation(runs, now)
            return
        runs.record_answer(answer.clock_ms, now)
        if answer.verdict is StartVerdict.STARTED:
            if run.state in {RunState.COMMANDED, RunState.UNCERTAIN}:
                run.change_state(RunState.RUNNING, now)
            return
        self._handle_rejection(runs, answer.verdict, now)
        if run.state is not RunState.RUNNING:
            # No other command starts this run, so it does not exist and
            # will not exist later.
            self._drop_lost_run(runs, run, RunLoss.REJECTED, now)

    def _handle_rejection(
        self,
        runs: BackendRuns,
        verdict: StartVerdict,
        now: float,
    ) -> None:
        self.registry.count('rejected_starts', verdict.value)
        pause_s = REJECTION_PAUSE_S
        if verdict is StartVerdict.FENCED:
            self.registry.check_ownership()
            pause_s = UNHEALTHY_PAUSE_S
        elif verdict in {StartVerdict.UNHEALTHY, StartVerdict.INVALID}:
            pause_s = UNHEALTHY_PAUSE_S
        runs.pause_until_s = now + pause_s
        self.registry.log_event(
            'Back end rejected a start.', runs.listed, verdict=verdict.value
        )

    def handle_stop_answer(
        self,
        command: StopRun,
        is_answered: bool,
        sent_s: float,
        now: float,
    ) -> None:
        """Processes the answer to a stop command."""
        runs = self.registry.runs_by_backend.get(command.backend.backend_id)
        if runs is None or _is_stale(self.registry, command, runs):
            return
        if not is_answered:
            runs.record_no_answer(sent_s, renews=False)
            self.registry.count('lost_orders', 'stop')
            return
        runs.record_answer(None, now)
        run = runs.run_by_task.get(command.task)
        if run is None or run.number != command.run:
            return
        if run.state is RunState.STOPPING:
            run.change_state(RunState.STOPPED, now)
            self.registry.list_runs(runs, now)

    def handle_renewal_answer(
        self, command: RenewLeases, answer: RenewalAnswer, now: float
    ) -> None:
        """Processes the answer to a lease renewal or a list call."""
        # After a pause of the process, nothing may be renewed before this.
        self._callbacks.expire_coordinators(now)
        sent_s = self.registry.pop_sent_s(command)
        runs = self.registry.runs_by_backend.get(command.backend.backend_id)
        if runs is None or _is_stale(self.registry, command, runs):
            return
        is_regular_renewal = runs.renewal_number == command.number
        if is_regular_renewal:
            # Even if the answer can't be processed, the next call follows.
            runs.renewal_number = 0
            runs.renewal_due_s = now + RENEWAL_PAUSE_S
        if answer.verdict is RenewalVerdict.LISTED:
            self._handle_list(runs, answer, sent_s, now)
        else:
            renews = command.lease_until_clock_ms is not None
            self._handle_missing_list(runs, answer.verdict, now)
            is_reset = answer.verdict is RenewalVerdict.RESET
            runs.record_no_answer(sent_s, renews, now if is_reset else None)
        must_pause = (
            runs.has_unstored_completions
            or runs.silent_since_s is not None
            or not runs.has_listed_runs
        )
        if is_regular_renewal and not must_pause:
            runs.renewal_due_s = now
            self.registry.renew_leases(runs, now, self._lease_monitor.may_renew)

    def _handle_missing_list(
        self,
        runs: BackendRuns,
        verdict: RenewalVerdict,
        now: float,
    ) -> None:
        if verdict is RenewalVerdict.FENCED:
            self.registry.check_ownership()
            runs.pause_until_s = now + UNHEALTHY_PAUSE_S
        elif verdict is RenewalVerdict.OTHER_INCARNATION:
            self._handle_other_incarnation(runs, now)
        elif runs.silent_since_s is None:
            self.registry.log_event(
                'Back end does not answer.', runs.listed, verdict=verdict.value
            )
        if verdict is RenewalVerdict.REFUSED and runs.record_refusal(now):
            self.registry.log_event(
                'Back end refuses connections.', runs.listed
            )
        if verdict in {RenewalVerdict.UNREACHABLE, RenewalVerdict.REFUSED}:
            self._predecessor.mark_unreachable(runs.listed.backend_id)

    def _handle_other_incarnation(self, runs: BackendRuns, now: float) -> None:
        self.registry.log_event(
            'Another back end answers at this address.', runs.listed
        )
        self._effects.append(ReadBackends())
        self._end_incarnation(runs, now)

    def _handle_list(
        self,
        runs: BackendRuns,
        answer: RenewalAnswer,
        sent_s: float,
        now: float,
    ) -> None:
        if answer.started_ms > runs.listed.started_ms:
            # Its capacity is unknown until the list has its entry.
            newer = runs.listed._replace(
                started_ms=answer.started_ms, capacity=NO_RESOURCES
            )
            self._effects.append(ReadBackends())
            self._replace_incarnation(runs, newer, now)
            return
        if 0 < answer.started_ms < runs.listed.started_ms:
            self.registry.count('stale_answers', 'former-incarnation')
            return
        self.crashes.record_answer(runs)
        if runs.silent_since_s is not None:
            self.registry.log_event('Back end answers again.', runs.listed)
        runs.record_answer(answer.clock_ms, now)
        runs.polled_s = now
        if answer.finished:
            runs.acknowledge_before(answer.finished[0].number)
        for completion in runs.new_completions(answer):
            self._handle_finished_run(runs, completion, now)
        # A list, not a generator: each entry must be handled.
        is_claimed = [
            self._handle_active_run(runs, entry, now) for entry in answer.active
        ]
        runs.lists_unclaimed_run = not all(is_claimed)
        self.registry.forget_unclaimed(
            runs, {entry.task for entry in answer.active}
        )
        for run in find_absent_runs(runs, answer.active):
            self._handle_absent_run(runs, run, sent_s, now)
        if not runs.has_listed_runs:
            runs.has_listed_runs = True
            listed = runs.listed
            self.registry.log_event(
                'Back end lists its runs.', listed, started_ms=listed.started_ms
            )
            self._predecessor.mark_listed(listed.backend_id, listed.started_ms)

    def _handle_finished_run(
        self,
        runs: BackendRuns,
        completion: FinishedRun,
        now: float,
    ) -> None:
        run = runs.run_by_task.get(completion.task)
        if run is not None and run.number == completion.run:
            self.registry.drop(runs, run)
        else:
            run = None
        action = self._callbacks.handle_completion(runs, completion, run, now)
        if action is CompletionAction.ACKNOWLEDGE:
            runs.record_stored(completion.number)

    def _handle_active_run(
        self,
        runs: BackendRuns,
        entry: ActiveRun,
        now: float,
    ) -> bool:
        """Returns whether a known job has a claim to a listed run."""
        run = runs.run_by_task.get(entry.task)
        if run is not None and run.number == entry.run:
            if run.state in {RunState.COMMANDED, RunState.UNCERTAIN}:
                run.change_state(RunState.RUNNING, now)
            run.checkpoint = entry.checkpoint
            run.record_progress(entry.percent, now)
            return True
        needs = self._callbacks.dequeue_task(entry.task)
        if needs is None or run is not None:
            if self._callbacks.is_handed_over(now):
                self.registry.send_stop(runs, entry.task, entry.run)
            else:
                unclaimed = self.registry.unclaimed_runs
                unclaimed.setdefault(entry.task, {})[runs] = entry.run
            return False
        self._adopt(runs, entry.task, entry.run, needs, now)
        return True

    def adopt_unclaimed(
        self, task: TaskKey, needs: Resources, now: float
    ) -> bool:
        """Adopts the runs of a task that were listed before its job was known.

        The back end may not answer again for long, so a later list is not
        waited for.

        Returns:
            Whether there is such a run.
        """
        unclaimed = self.registry.unclaimed_runs.pop(task, {})
        for runs, number in unclaimed.items():
            if task not in runs.run_by_task:
                self._adopt(runs, task, number, needs, now)
        return task in self.registry.backends_by_task

    def _adopt(
        self,
        runs: BackendRuns,
        task: TaskKey,
        number: int,
        needs: Resources,
        now: float,
    ) -> None:
        adopted_run = Run(task, number, needs, now)
        adopted_run.is_started_by_owner = False
        adopted_run.is_alone = self.crashes.assess(task).must_run_alone
        adopted_run.change_state(RunState.RUNNING, now)
        # An earlier owner may have renewed the lease of this run until now.
        runs.record_lease_sent(now)
        is_duplicate = task in self.registry.backends_by_task
        self.registry.add(runs, adopted_run)
        if is_duplicate:
            # A back end that had not answered this owner yet executed a
            # command of an earlier owner.  The task must not start again
            # before both runs have ended.
            self.registry.count('second_runs', 'order-of-an-earlier-owner')
            self.registry.stop(runs, adopted_run, now)

    def _handle_absent_run(
        self,
        runs: BackendRuns,
        run: Run,
        sent_s: float,
        now: float,
    ) -> None:
        if run.since_s > sent_s:
            return
        if run.state is RunState.UNCERTAIN:
            self.registry.stop(runs, run, now)
        elif run.state in {RunState.RUNNING, RunState.STOPPED}:
            is_replaced = run.started_s < runs.first_listed_s
            loss = RunLoss.REPLACED if is_replaced else RunLoss.ABSENT
            self._drop_lost_run(runs, run, loss, now)


def _is_stale(
    registry: RunRegistry,
    command: StartRun | StopRun | RenewLeases,
    runs: BackendRuns,
) -> bool:
    """Returns whether a command was sent to a former incarnation.

    The answer does not tell which of the two has carried it out.
    """
    is_stale = command.token != runs.token
    if is_stale:
        registry.count('stale_answers', 'former-incarnation')
    return is_stale


def _doubt_start(
    registry: RunRegistry, runs: BackendRuns, run: Run, now: float
) -> None:
    """Looks for a run whose start may not have been carried out."""
    if run.state is RunState.COMMANDED:
        run.change_state(RunState.UNCERTAIN, now)
        registry.list_runs(runs, now)
