"""What is due by time alone at back ends: holds, repeated stops, lapses."""

from collections.abc import Callable

from camphorlink.internal.core.connection.backend_runs import (
    LATE_ORDER_S,
    LEASE_S,
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.process.run_ledger import RunLedger

#: Time without an answer after which a stop is sent again.
STOP_RETRY_S = 0.25
#: A silent back end's runs are over after this long, whatever was ordered:
#: no order is carried out later, and a lease from then on has lapsed.
PRESUMED_OVER_S = LATE_ORDER_S + LEASE_S + 1.0

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

    def tick(self, now: float, may_renew: bool) -> None:
        """Does what is due: holds, repeated stops, lapses."""
        self.may_renew = may_renew
        for runs in list(self._ledger.runs_by_backend.values()):
            if runs.hold_number == 0 and runs.hold_due_s <= now:
                self._ledger.hold(runs, now, may_renew)
            self._repeat_stops(runs, now)
            if runs.silent_since_s is not None:
                self._note_lapse(runs, now)

    def _repeat_stops(self, runs: BackendRuns, now: float) -> None:
        for run in runs.run_by_task.values():
            if now - run.since_s < STOP_RETRY_S:
                continue
            if run.state is RunState.STOPPING:
                run.turn(RunState.STOPPING, now)
                self._ledger.send_stop(runs, run.task, run.number)

    def _note_lapse(self, runs: BackendRuns, now: float) -> None:
        silent_since_s = runs.silent_since_s or now
        if now - silent_since_s > PRESUMED_OVER_S:
            for run in list(runs.run_by_task.values()):
                self._lose(runs, run)
        elif runs.has_lapsed(now):
            for run in list(runs.run_by_task.values()):
                if run.is_confirmed:
                    self._ledger.count('lapsed_runs', 'back-end-silent')
                    self._lose(runs, run)
