"""Detection of slow back ends, stalled runs and back ends that fail all runs.

It covers these faults: a sixth of the back ends is 6 times slower for some
seconds; tasks make no progress; back ends fail all runs while some jobs fail
on every back end.  There are no probes: the ordinary runs are observed.

A run that is slow because its task is long, such as 3% of the tasks that take
seven times as long as the others of their queue, is told apart by its neighbours:
they make progress as expected.  Without that, a third of the back ends would
count as slow, and long tasks would be restarted again and again.
"""

import math
from collections.abc import Container
from weakref import WeakKeyDictionary

from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.request.durable_job import TaskKey

#: Ratio of elapsed to expected time above which a run shows that its back end
#: is slow; estimates alone are off by a factor of 1.5 and more.
OVERDUE_RATIO = 2.0
#: A run counts as stalled only after this multiple of its expected time plus
#: the margin, which allows for listed progress that is up to 0.3 s old.
STALLED_RATIO = 2.5
STALLED_MARGIN_S = 0.15
ALL_PERCENT = 100
#: A run stands still if no progress was listed for this time, in seconds: two
#: lists are at most 0.3 s apart, and 1% of the longest tasks takes 0.08 s.
STANDSTILL_S = 0.25
#: A run shows that its back end is sound if its listed progress leads to at most
#: this multiple of its expected time; estimates are off by 40%.
SOUND_RATIO = 1.5
#: A run is restarted elsewhere only if its remaining time exceeds this multiple
#: of its expected time.
RESTART_GAIN = 2.0
#: Distinct jobs whose runs must fail, without a successful run in between,
#: before a back end is paused: failures of a single job may lie with the job.
MIN_FAILED_JOBS = 2
#: Shortest and longest pause; each pause is twice as long as the one before.
FIRST_PAUSE_S = 0.7
LONGEST_PAUSE_S = 4.0


class _Failures:
    """Failures on one incarnation of a back end since its last success."""

    __slots__ = ('job_ids', 'pause_s')

    def __init__(self) -> None:
        self.job_ids: set[str] = set()
        self.pause_s = FIRST_PAUSE_S


class BackendMonitor:
    """Pauses back ends on which the runs of several jobs fail."""

    def __init__(self) -> None:
        """Creates a monitor without recorded failures."""
        self._failures_by_runs: WeakKeyDictionary[BackendRuns, _Failures] = (
            WeakKeyDictionary()
        )

    def record_success(self, runs: BackendRuns) -> None:
        """Records a successful run, which resets failures and back-off."""
        self._failures_by_runs.pop(runs, None)

    def record_failure(
        self, runs: BackendRuns, job_id: str, now: float
    ) -> bool:
        """Records a failed run and returns whether it pauses the back end."""
        failures = self._failures_by_runs.setdefault(runs, _Failures())
        failures.job_ids.add(job_id)
        if len(failures.job_ids) < MIN_FAILED_JOBS:
            return False
        failures.job_ids.clear()
        runs.pause_until_s = max(runs.pause_until_s, now + failures.pause_s)
        failures.pause_s = min(failures.pause_s * 2, LONGEST_PAUSE_S)
        return True


def estimate_slowdown(runs: BackendRuns, now: float) -> float:
    """Returns the factor by which a back end is slower than expected.

    It is 1 unless a run exceeds ``OVERDUE_RATIO`` and no other one shows that the
    back end is sound.
    """
    worst = max(
        (_overdue_ratio(run, now) for run in runs.run_by_task.values()),
        default=1.0,
    )
    if worst <= OVERDUE_RATIO or _shows_progress(runs):
        return 1.0
    return worst


def find_stalled_runs(
    runs: BackendRuns, now: float, restarted: Container[TaskKey] = ()
) -> list[Run]:
    """Returns the runs that would end sooner if restarted elsewhere.

    A run that makes slow progress is restarted once at the most, and only if no
    other run shows that the back end is sound: its task may just be long.

    Args:
        runs: Runs of a back end.
        now: Time in seconds.
        restarted: Tasks that were restarted before.
    """
    stalled = [
        run for run in runs.run_by_task.values() if _is_stalled(run, now)
    ]
    if not stalled:
        return stalled
    is_sound = _shows_progress(runs)
    return [
        run
        for run in stalled
        if _stands_still(run) or not (is_sound or run.task in restarted)
    ]


def _stands_still(run: Run) -> bool:
    return run.percent <= 0 or run.standstill_s >= STANDSTILL_S


def _shows_progress(runs: BackendRuns) -> bool:
    return any(_is_on_schedule(run) for run in runs.run_by_task.values())


def _is_on_schedule(run: Run) -> bool:
    """Returns whether a run's listed progress is as expected."""
    return (
        run.state is RunState.RUNNING
        and run.percent > 0
        and _estimate_total_s(run) <= SOUND_RATIO * run.expected_s
    )


def _overdue_ratio(run: Run, now: float) -> float:
    if run.state is not RunState.RUNNING or not run.expected_s:
        return 1.0
    return (now - run.started_s) / run.expected_s


def _is_stalled(run: Run, now: float) -> bool:
    """Returns whether a run is stalled.

    Only progress that was listed when the run was already overdue counts.
    """
    if run.state is not RunState.RUNNING or not run.expected_s:
        return False
    listed_s = run.percent_s - run.started_s
    limit_s = STALLED_RATIO * run.expected_s + STALLED_MARGIN_S
    if listed_s < limit_s:
        return False
    left_s = _estimate_total_s(run) - (now - run.started_s)
    return left_s > RESTART_GAIN * run.expected_s + STALLED_MARGIN_S


def _estimate_total_s(run: Run) -> float:
    """Estimates the total duration of a run from its last listed progress."""
    if run.percent <= 0:
        return math.inf
    return (run.percent_s - run.started_s) * ALL_PERCENT / run.percent
