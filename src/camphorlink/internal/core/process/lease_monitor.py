"""Renews leases, retries commands and detects lapsed leases by time."""

from collections.abc import Callable

from camphorlink.internal.core.connection.backend_runs import (
    LATE_COMMAND_S,
    LEASE_S,
    BackendRuns,
    Run,
    RunLoss,
    RunState,
    has_lapsed,
)
from camphorlink.internal.core.process.crash_monitor import CrashMonitor
from camphorlink.internal.core.process.predecessor import is_ownership_confirmed
from camphorlink.internal.core.process.run_registry import RunRegistry

#: Time in seconds without an answer after which a stop is sent again: answers
#: take 1 to 3 ms.  It doubles with each stop of a run, up to the longest time,
#: so that an overloaded back end or VM gets few.
FIRST_STOP_RETRY_S = 0.05
LONGEST_STOP_RETRY_S = 0.4
#: Time in seconds since the last list of runs after which one is requested again
#: for a run that was started without an answer: that list may be lost, too.
UNCERTAIN_POLL_S = 0.06
#: Time without an answer to a start after which the back end's runs are
#: polled, in seconds: answers take 1 to 3 ms, and the response time objective
#: of a short job is 150 ms.
START_ANSWER_TIMEOUT_S = 0.04
#: Time since the last list of runs after which an overdue run is polled, in
#: seconds: the answer to a lease renewal may be lost.
OVERDUE_POLL_S = 0.1
#: Ratio of run time to expected run time above which a run is overdue.
OVERDUE_RATIO = 1.3
#: Period of polling a back end that has not listed its runs to this owner yet,
#: in seconds: until it does, it executes commands of an earlier owner.  With a
#: third of all calls unanswered, five polls leave 1 back end in 400 unlisted.
UNLISTED_POLL_PERIOD_S = 0.06
#: Time after which this polling stops, in seconds: a back end that is silent
#: for longer has most likely failed, and every call to it opens a connection.
UNLISTED_POLL_DURATION_S = 1.2
#: Time in seconds after which all runs of a silent back end have ended,
#: whatever commands were sent: no command is executed later than
#: ``LATE_COMMAND_S``, and a lease that starts then has lapsed.
PRESUMED_ENDED_AFTER_S = LATE_COMMAND_S + LEASE_S + 1.0

#: Time in seconds for which a back end must refuse connections to count as
#: crashed: by then, others that failed at once have been noticed.
REFUSAL_CONFIRMED_S = 0.1

#: Handles a run that ended without a listed completion.
LostRunHandler = Callable[[BackendRuns, Run, RunLoss, float], None]


class LeaseMonitor:
    """Renews leases and detects runs that ended on silent back ends.

    Attributes:
        may_renew: Whether the owner was confirmed recently enough.
    """

    def __init__(
        self,
        registry: RunRegistry,
        crashes: CrashMonitor,
        handle_lost_run: LostRunHandler,
    ) -> None:
        """Creates a monitor.

        Args:
            registry: Runs of the term.
            crashes: Assesses the tasks on back ends that may have crashed.
            handle_lost_run: Called for each run whose lease has lapsed.
        """
        self._crashes = crashes
        self.may_renew = False
        self._registry = registry
        self._handle_lost_run = handle_lost_run

    def tick(self, now: float, confirmed_s: float) -> None:
        """Sends the commands that are due and checks for lapsed leases.

        Args:
            now: Time in seconds.
            confirmed_s: Time in seconds at which the store last confirmed
                this owner.
        """
        self.may_renew = is_ownership_confirmed(confirmed_s, now)
        for runs in list(self._registry.runs_by_backend.values()):
            if runs.renewal_number == 0 and runs.renewal_due_s <= now:
                self._registry.renew_leases(runs, now, self.may_renew)
            self._poll_unlisted(runs, now)
            self._check_runs(runs, now)
            if runs.outage(now).refused_s >= REFUSAL_CONFIRMED_S:
                self._crashes.record_silence(runs, now)
            if runs.silent_since_s is not None:
                self._handle_lapse(runs, now, confirmed_s)

    def _poll_unlisted(self, runs: BackendRuns, now: float) -> None:
        is_new = now - runs.first_listed_s < UNLISTED_POLL_DURATION_S
        if runs.has_listed_runs or not is_new:
            return
        if now - runs.polled_s >= UNLISTED_POLL_PERIOD_S:
            self._registry.list_runs(runs, now)

    def _check_runs(self, runs: BackendRuns, now: float) -> None:
        """Polls uncertain or overdue runs and retries unanswered stops."""
        # A list, not a generator: each run must be checked.
        needs_list = [
            self._check_run(runs, run, now) for run in runs.run_by_task.values()
        ]
        if any(needs_list) or self._may_have_missed_completion(runs, now):
            self._registry.list_runs(runs, now)

    def _check_run(self, runs: BackendRuns, run: Run, now: float) -> bool:
        """Returns whether the back end's runs must be listed for a run."""
        age_s = now - run.since_s
        if run.state is RunState.COMMANDED:
            if age_s <= START_ANSWER_TIMEOUT_S:
                return False
            run.change_state(RunState.UNCERTAIN, now)
            self._registry.count('doubted_starts', 'no-answer')
            return True
        if run.state is RunState.UNCERTAIN:
            return now - runs.polled_s > UNCERTAIN_POLL_S
        is_stopping = run.state is RunState.STOPPING
        if is_stopping and age_s > _stop_retry_s(run.stops_sent):
            self._registry.resend_stop(runs, run, now)
        return False

    def _may_have_missed_completion(
        self, runs: BackendRuns, now: float
    ) -> bool:
        """Returns whether a lost answer may have listed a completion."""
        if now - runs.polled_s < OVERDUE_POLL_S:
            return False
        return any(
            run.expected_s
            and now - run.started_s > OVERDUE_RATIO * run.expected_s
            for run in runs.run_by_task.values()
        )

    def _handle_lapse(
        self,
        runs: BackendRuns,
        now: float,
        confirmed_s: float,
    ) -> None:
        """Drops lapsed runs if this owner was confirmed after the lapse.

        Without the confirmation, a later owner unknown to this one may have
        reached the back end and renewed the lease.
        """
        silent_since_s = runs.silent_since_s or now
        must_have_ended = confirmed_s - silent_since_s > PRESUMED_ENDED_AFTER_S
        if not must_have_ended and not has_lapsed(runs, confirmed_s):
            self._request_ownership_check(runs, now)
            return
        runs.is_confirmation_requested = False
        self._crashes.record_silence(runs, now)
        for run in list(runs.run_by_task.values()):
            if must_have_ended or run.has_begun:
                self._registry.count('lapsed_runs', 'back-end-silent')
                self._handle_lost_run(runs, run, RunLoss.LAPSED, now)

    def _request_ownership_check(self, runs: BackendRuns, now: float) -> None:
        """Requests one read of the log per lapsed lease; a read takes 4 ms."""
        if not has_lapsed(runs, now) or not runs.run_by_task:
            return
        if not runs.is_confirmation_requested:
            runs.is_confirmation_requested = True
            self._registry.check_ownership()


def _stop_retry_s(stops_sent: int) -> float:
    """Returns the time in seconds after which the next stop is sent."""
    return min(
        FIRST_STOP_RETRY_S * 2 ** max(stops_sent - 1, 0),
        LONGEST_STOP_RETRY_S,
    )
