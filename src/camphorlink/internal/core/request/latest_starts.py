"""Latest starts of waiting tasks whose jobs are of use for a limited time.

The load that it is for: bursts and peaks above the capacity, in which tasks wait
until their callers have left.  A run of such a task is of no use, and the other
tasks of its job use capacity for nothing.

Tasks are checked a few times each, when they become due, so that a pass costs
time per task that is due, not per waiting task.
"""

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import TaskKey

#: Speed for which the first check of a task is planned.  It is lower than that
#: of the slowest fleet seen (0.7), so that no task is checked too late; a task
#: that can still start is checked again.
FIRST_CHECK_SPEED = 0.5
#: Shortest time between two checks of a task, in seconds: the period of a cell's
#: ticks.
MIN_RECHECK_S = 0.02


class _Check(NamedTuple):
    """A planned check of a task.

    Attributes:
        due_s: Time of the check, in seconds.
        task: The task.
        useful_until_s: Time until which its job is of use, in seconds.
    """

    due_s: float
    task: TaskKey
    useful_until_s: float


#: Returns the expected run time of a task on the fastest back end, in seconds,
#: or ``None`` for a task that does not wait.  The second argument is the time in
#: seconds.
ShortestRun = Callable[[TaskKey, float], float | None]


class LatestStarts:
    """Finds the waiting tasks that cannot end while their job is of use."""

    def __init__(self) -> None:
        """Creates a table without tasks."""
        self._checks: list[_Check] = []

    def add(self, task: TaskKey, useful_until_s: float, work_s: float) -> None:
        """Adds a task that begins to wait.

        Args:
            task: The task.
            useful_until_s: Time until which its job is of use, in seconds.
            work_s: Expected run time at speed 1, in seconds.
        """
        if useful_until_s == math.inf:
            return
        due_s = useful_until_s - work_s / FIRST_CHECK_SPEED
        heapq.heappush(self._checks, _Check(due_s, task, useful_until_s))

    def pop_unreachable(
        self, shortest_run: ShortestRun, now: float
    ) -> list[TaskKey]:
        """Removes and returns the tasks that cannot end in time any more.

        Args:
            shortest_run: Returns the run time on the fastest back end.
            now: Time in seconds.
        """
        unreachable = []
        while self._checks and self._checks[0].due_s < now:
            check = heapq.heappop(self._checks)
            run_s = shortest_run(check.task, now)
            if run_s is None:
                continue
            latest_s = check.useful_until_s - run_s
            if latest_s < now:
                unreachable.append(check.task)
            else:
                # The speeds may change, or become known, before its latest
                # start, so that half of the remaining time passes at most.
                due_s = now + max((latest_s - now) / 2, MIN_RECHECK_S)
                heapq.heappush(self._checks, check._replace(due_s=due_s))
        return unreachable
