"""How far a back end can be trusted: slow, standing still, or failing all.

Loads that it answers: a sixth of the back ends 6 times slower for some
seconds, tasks that stand still, back ends that fail all that they start while
hopeless jobs fail everywhere.  Nothing is probed: ordinary runs tell.
"""

import math

from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
)

#: A run that takes this many times what was expected says that its back end
#: is slow; estimates alone are off by 1.5 times and more.
OVERDUE_RATIO = 2.0
#: A run is judged as stalled only after this many times what was expected,
#: and some time besides, in seconds: a list of progress is up to 0.3 s old.
STALLED_RATIO = 2.5
STALLED_MARGIN_S = 0.15
ALL_PERCENT = 100
#: How much sooner a task must end elsewhere to be stopped and started anew.
RESTART_GAIN = 2.0
#: Failed runs of different jobs, with no good end between, after which a back
#: end gets nothing for a while: one job's failures say nothing about it.
MIN_FAILED_JOBS = 2
#: The first such pause and the longest, in seconds; each is twice the last.
FIRST_PAUSE_S = 0.7
LONGEST_PAUSE_S = 4.0


class BackendMonitor:
    """Judges back ends by the runs on them."""

    def __init__(self) -> None:
        """Starts with trust in all."""
        self._failed_jobs_by_id: dict[str, set[str]] = {}
        self._pause_s_by_id: dict[str, float] = {}

    def record_success(self, backend_id: str) -> None:
        """Notes a good end."""
        self._failed_jobs_by_id.pop(backend_id, None)
        self._pause_s_by_id.pop(backend_id, None)

    def record_failure(
        self, runs: BackendRuns, job_id: str, now: float
    ) -> bool:
        """Notes a failed run; tells whether the back end is paused for it."""
        backend_id = runs.listed.backend_id
        jobs = self._failed_jobs_by_id.setdefault(backend_id, set())
        jobs.add(job_id)
        if len(jobs) < MIN_FAILED_JOBS:
            return False
        jobs.clear()
        pause_s = self._pause_s_by_id.get(backend_id, FIRST_PAUSE_S)
        self._pause_s_by_id[backend_id] = min(pause_s * 2, LONGEST_PAUSE_S)
        runs.pause_until_s = max(runs.pause_until_s, now + pause_s)
        return True


def estimate_slowdown(runs: BackendRuns, now: float) -> float:
    """Returns by how much a back end is slower than thought, 1 for not."""
    worst = max(
        (_overdue_ratio(run, now) for run in runs.run_by_task.values()),
        default=1.0,
    )
    return worst if worst > OVERDUE_RATIO else 1.0


def find_stalled_runs(runs: BackendRuns, now: float) -> list[Run]:
    """Returns the runs that would end sooner if they began elsewhere."""
    return [run for run in runs.run_by_task.values() if _is_stalled(run, now)]


def _overdue_ratio(run: Run, now: float) -> float:
    if run.state is not RunState.RUNNING or not run.expected_s:
        return 1.0
    return (now - run.started_s) / run.expected_s


def _is_stalled(run: Run, now: float) -> bool:
    """Judges by progress that was listed when the run was overdue already."""
    if run.state is not RunState.RUNNING or not run.expected_s:
        return False
    listed_s = run.percent_s - run.started_s
    limit_s = STALLED_RATIO * run.expected_s + STALLED_MARGIN_S
    if listed_s < limit_s:
        return False
    left_s = _estimate_total_s(run) - (now - run.started_s)
    return left_s > RESTART_GAIN * run.expected_s + STALLED_MARGIN_S


def _estimate_total_s(run: Run) -> float:
    """Estimates a run's whole time from its last listed progress."""
    if run.percent <= 0:
        return math.inf
    return (run.percent_s - run.started_s) * ALL_PERCENT / run.percent
