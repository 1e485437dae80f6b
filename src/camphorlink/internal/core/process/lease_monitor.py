"""What is due by time alone at back ends: holds, repeated stops, lapses."""

from collections.abc import Callable

from camphorlink.internal.core.connection.backend_runs import (
    LATE_ORDER_S,
    LEASE_S,
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.process.predecessor import is_confirmed
from camphorlink.internal.core.process.run_registry import RunRegistry

#: Time without an answer after which a stop is sent again.
STOP_RETRY_S = 0.25
#: Time without an answer to a start after which its run is looked for, in
#: seconds: answers take 1 to 3 ms, and the goal of a short job is 150 ms.
START_ANSWER_TIMEOUT_S = 0.04
#: A run that should have ended is looked for when its back end has listed
#: nothing for this long, in seconds: the answer to a hold may be lost.
OVERDUE_POLL_S = 0.1
#: Times that a run may take of what was expected before that.
OVERDUE_RATIO = 1.3
#: Period of looking at a back end that has not answered this owner yet, in
#: seconds: until it does, an earlier owner's orders are obeyed there.  With a
#: third of all orders unanswered, five looks leave 1 in 400 unheard.
UNLISTED_POLL_PERIOD_S = 0.06
#: How long that goes on, in seconds: what is silent longer is most likely
#: gone, and every call to it opens a connection.
UNLISTED_POLL_DURATION_S = 1.2
#: A silent back end's runs are over after this long, whatever was ordered:
#: no order is carried out later, and a lease from then on has lapsed.
PRESUMED_ENDED_AFTER_S = LATE_ORDER_S + LEASE_S + 1.0

#: Takes a run that is over without a listed end.
LostRunHandler = Callable[[BackendRuns, Run], None]


class LeaseMonitor:
    """Renews leases, and finds the runs of silent back ends over.

    Attributes:
        may_renew: Whether the owner was confirmed lately enough.
    """

    def __init__(
        self, registry: RunRegistry, handle_lost_run: LostRunHandler
    ) -> None:
        """Takes the runs, and who is told of those that are over."""
        self.may_renew = False
        self._registry = registry
        self._handle_lost_run = handle_lost_run

    def tick(self, now: float, confirmed_s: float) -> None:
        """Does what is due: holds, repeated stops, lapses.

        Args:
            now: Time in seconds.
            confirmed_s: When the store last confirmed this owner.
        """
        self.may_renew = is_confirmed(confirmed_s, now)
        for runs in list(self._registry.runs_by_backend.values()):
            if runs.hold_number == 0 and runs.hold_due_s <= now:
                self._registry.renew_leases(runs, now, self.may_renew)
            self._poll_unlisted(runs, now)
            self._check_runs(runs, now)
            if runs.silent_since_s is not None:
                self._handle_lapse(runs, now, confirmed_s)

    def _poll_unlisted(self, runs: BackendRuns, now: float) -> None:
        is_new = now - runs.opened_s < UNLISTED_POLL_DURATION_S
        if runs.is_heard or not is_new:
            return
        if now - runs.looked_s >= UNLISTED_POLL_PERIOD_S:
            self._registry.list_runs(runs, now)

    def _check_runs(self, runs: BackendRuns, now: float) -> None:
        """Looks for runs in doubt, and repeats stops."""
        has_uncertain_run = False
        for run in runs.run_by_task.values():
            age_s = now - run.since_s
            if run.state is RunState.ORDERED and age_s > START_ANSWER_TIMEOUT_S:
                run.turn(RunState.UNCERTAIN, now)
                self._registry.count('doubted_starts', 'no-answer')
                has_uncertain_run = True
            elif run.state is RunState.STOPPING and age_s > STOP_RETRY_S:
                run.turn(RunState.STOPPING, now)
                self._registry.send_stop(runs, run.task, run.number)
        if has_uncertain_run or self._may_have_missed_completion(runs, now):
            self._registry.list_runs(runs, now)

    def _may_have_missed_completion(
        self, runs: BackendRuns, now: float
    ) -> bool:
        """Tells whether an end may have been listed in a lost answer."""
        if now - runs.looked_s < OVERDUE_POLL_S:
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
        """Takes runs as over, if this owner was confirmed since they lapsed.

        A later owner that this one has not heard of may reach the back end
        and renew the lease there.
        """
        silent_since_s = runs.silent_since_s or now
        must_have_ended = confirmed_s - silent_since_s > PRESUMED_ENDED_AFTER_S
        if not must_have_ended and not runs.has_lapsed(confirmed_s):
            self._request_ownership_check(runs, now)
            return
        runs.is_confirmation_asked = False
        for run in list(runs.run_by_task.values()):
            if must_have_ended or run.is_confirmed:
                self._registry.count('lapsed_runs', 'back-end-silent')
                self._handle_lost_run(runs, run)

    def _request_ownership_check(self, runs: BackendRuns, now: float) -> None:
        """Has the log read once when a lease has lapsed: a read takes 4 ms."""
        if not runs.has_lapsed(now) or not runs.run_by_task:
            return
        if not runs.is_confirmation_asked:
            runs.is_confirmation_asked = True
            self._registry.check_ownership()
