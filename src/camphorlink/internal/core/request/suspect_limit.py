"""Limits the back ends that suspected tasks may crash at once.

It answers many jobs that each crash a back end: telling the causes apart costs
one more back end for each, and these are missing until they have started again.
"""

from typing import NamedTuple

from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.request.durable_job import TaskKey

#: Share of a cell's back ends that run suspected tasks, or crashed under one.
MAX_SHARE = 0.125
#: Time in seconds after which a crashed back end has started again.
OUTAGE_S = 4.0


class _Trial(NamedTuple):
    """A run of a suspected task."""

    runs: BackendRuns
    task: TaskKey
    started_s: float


def max_back_ends(backends: int) -> int:
    """Returns how many of a cell's back ends suspects may use at once."""
    return max(int(backends * MAX_SHARE), 1)


class SuspectLimit:
    """Counts the back ends that suspected tasks use or have crashed."""

    def __init__(self) -> None:
        """Creates a limit without runs."""
        self._trials: list[_Trial] = []

    def record_start(
        self, runs: BackendRuns, task: TaskKey, now: float
    ) -> None:
        """Records the start of a suspected task at ``now``, in seconds."""
        self._trials.append(_Trial(runs, task, now))

    def may_start(self, backends: int, now: float) -> bool:
        """Returns whether another suspected task may start.

        Args:
            backends: Number of back ends of the cell.
            now: Time in seconds.
        """
        self._trials = [
            trial for trial in self._trials if _uses_back_end(trial, now)
        ]
        return len(self._trials) < max_back_ends(backends)


def _uses_back_end(trial: _Trial, now: float) -> bool:
    if trial.task in trial.runs.run_by_task:
        return True
    is_silent = trial.runs.silent_since_s is not None
    return is_silent and now < trial.started_s + OUTAGE_S
