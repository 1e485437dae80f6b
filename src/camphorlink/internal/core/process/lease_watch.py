"""What is due by time alone at back ends: holds, repeated stops, lapses."""

from collections.abc import Callable

from camphorlink.internal.core.connection.backend_runs import (
    LATE_COMMAND_S,
    LEASE_S,
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.process.predecessor import is_confirmed
from camphorlink.internal.core.process.run_ledger import RunLedger

#: Time without an answer after which a stop is sent again.
STOP_RETRY_S = 0.25
#: Time without an answer to a start after which its run is looked for, in
#: seconds: answers take 1 to 3 ms, and the goal of a short job is 150 ms.
START_DOUBT_S = 0.04
#: A run that should have ended is looked for when its back end has listed
#: nothing for this long, in seconds: the answer to a hold may be lost.
OVERDUE_LOOK_S = 0.1
#: Times that a run may take of what was expected before that.
OVERDUE_RATIO = 1.3
#: Period of looking at a back end that has not answered this owner yet, in
#: seconds: until it does, an earlier owner's orders are obeyed there.  With a
#: third of all orders unanswered, five looks leave 1 in 400 unheard.
UNHEARD_LOOK_S = 0.06
#: How long that goes on, in seconds: what is silent longer is most likely
#: gone, and every call to it opens a connection.
UNHEARD_LOOKS_S = 1.2
#: A silent back end's runs are over after this long, whatever was ordered:
#: no order is carried out later, and a lease from then on has lapsed.
PRESUMED_OVER_S = LATE_COMMAND_S + LEASE_S + 1.0

#: Takes a run that is over without a listed end.
Lose = Callable[[BackendRuns, Run], None]


class LeaseWatch:
    """Renews leases, and finds the runs of silent back ends over.

    Attributes:
        may_renew: Whether the owner was confirmed lately enough.
    """

    def __init__(self, ledger: RunLedger, lose: Lose) -> None:
        """Takes the runs, and who is told of those that are over."""
        self.may_renew = False
        self._ledger = ledger
        self._lose = lose

    def tick(self, now: float, confirmed_s: float) -> None:
        """Does what is due: holds, repeated stops, lapses.

        Args:
            now: Time in seconds.
            confirmed_s: When the store last confirmed this owner.
        """
        self.may_renew = is_confirmed(confirmed_s, now)
        for runs in list(self._ledger.runs_by_backend.values()):
            if runs.renewal_number == 0 and runs.renewal_due_s <= now:
                self._ledger.hold(runs, now, self.may_renew)
            self._look_unheard(runs, now)
            self._tend_runs(runs, now)
            if runs.silent_since_s is not None:
                self._note_lapse(runs, now, confirmed_s)

    def _look_unheard(self, runs: BackendRuns, now: float) -> None:
        is_new = now - runs.first_listed_s < UNHEARD_LOOKS_S
        if runs.has_listed_runs or not is_new:
            return
        if now - runs.polled_s >= UNHEARD_LOOK_S:
            self._ledger.look(runs, now)

    def _tend_runs(self, runs: BackendRuns, now: float) -> None:
        """Looks for runs in doubt, and repeats stops."""
        is_in_doubt = False
        for run in runs.run_by_task.values():
            age_s = now - run.since_s
            if run.state is RunState.COMMANDED and age_s > START_DOUBT_S:
                run.change_state(RunState.UNCERTAIN, now)
                self._ledger.count('doubted_starts', 'no-answer')
                is_in_doubt = True
            elif run.state is RunState.STOPPING and age_s > STOP_RETRY_S:
                run.change_state(RunState.STOPPING, now)
                self._ledger.send_stop(runs, run.task, run.number)
        if is_in_doubt or self._has_unseen_end(runs, now):
            self._ledger.look(runs, now)

    def _has_unseen_end(self, runs: BackendRuns, now: float) -> bool:
        """Tells whether an end may have been listed in a lost answer."""
        if now - runs.polled_s < OVERDUE_LOOK_S:
            return False
        return any(
            run.expected_s
            and now - run.started_s > OVERDUE_RATIO * run.expected_s
            for run in runs.run_by_task.values()
        )

    def _note_lapse(
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
        is_over = confirmed_s - silent_since_s > PRESUMED_OVER_S
        if not is_over and not runs.has_lapsed(confirmed_s):
            self._ask_confirmation(runs, now)
            return
        runs.is_confirmation_requested = False
        for run in list(runs.run_by_task.values()):
            if is_over or run.is_confirmed:
                self._ledger.count('lapsed_runs', 'back-end-silent')
                self._lose(runs, run)

    def _ask_confirmation(self, runs: BackendRuns, now: float) -> None:
        """Has the log read once when a lease has lapsed: a read takes 4 ms."""
        if not runs.has_lapsed(now) or not runs.run_by_task:
            return
        if not runs.is_confirmation_requested:
            runs.is_confirmation_requested = True
            self._ledger.check_ownership()
