"""Limits the leases of back ends by the leases of their runs' coordinators.

It answers a run whose stops are all lost, or whose owner is lost before it stops
the run, while the caller of its job sends the job again.
"""

import math
from collections.abc import Callable

from camphorlink.internal.core.connection.backend_runs import (
    LEASE_S,
    STOP_CONFIRMATION_S,
    BackendRuns,
)
from camphorlink.internal.core.request.durable_job import TaskKey


def longest_lease_s(
    runs: BackendRuns,
    coordinator_lease_end_s: Callable[[TaskKey], float],
    now: float,
) -> float:
    """Returns the duration of the longest lease that may be granted now.

    All runs of a back end share one lease, so each of them must end soon after
    the lease of its coordinator.

    Args:
        runs: Runs of the back end.
        coordinator_lease_end_s: Returns the time in seconds until which a
            task's coordinator lets it run.
        now: Time in seconds.

    Returns:
        Duration in seconds, not positive if none may be granted.
    """
    ends_s = [
        coordinator_lease_end_s(run.task)
        if run.must_end_s is None
        else run.must_end_s
        for run in runs.run_by_task.values()
    ]
    left_s = min(ends_s, default=math.inf) - now
    return min(LEASE_S, left_s + STOP_CONFIRMATION_S)
