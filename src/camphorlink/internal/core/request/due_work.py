"""Forecast of the tasks that would start too late in the order of due times.

The load that it is for: a burst of a queue with short runs beside a queue of
higher priority with longer ones.  In the order of due times, each new short task
precedes the long ones, until these can no longer be on time.

Waiting work is summed up by due time, so that a forecast costs time per interval
of due times, not per waiting task.
"""

import math
from collections import Counter
from typing import NamedTuple

#: Length of an interval of due times, in seconds.
INTERVAL_S = 0.05
#: Due times that a forecast covers, in seconds from now.  Callers wait 1.5 s.
FORECAST_S = 3.0
#: Time in seconds for which a forecast is used.
FORECAST_VALID_S = 0.02


class DueTask(NamedTuple):
    """What the forecast needs to know of a waiting task.

    Attributes:
        number: Unique number of its entry in the queue.
        priority: Priority of its job, where 0 is the highest.
        due_s: Due time of its job, in seconds.
        work_s: Expected run time at speed 1, in seconds.
        cpu_milli: Processor capacity, in thousandths of a core.
    """

    number: int
    priority: int
    due_s: float
    work_s: float
    cpu_milli: int


class _Sums:
    """Sums over the tasks of one priority and one interval of due times."""

    __slots__ = ('count', 'latest_start_s', 'work')

    def __init__(self) -> None:
        self.count = 0
        self.latest_start_s = 0.0
        self.work = 0.0

    def change(self, task: DueTask, count: int) -> None:
        self.count += count
        self.latest_start_s += count * (task.due_s - task.work_s)
        self.work += count * task.cpu_milli * task.work_s


class DueWork:
    """Waiting work of one service by due time and priority.

    Only tasks that can be on time are in it.
    """

    def __init__(self) -> None:
        """Creates a forecast without tasks."""
        self._task_by_number: dict[int, DueTask] = {}
        self._count_by_priority: Counter[int] = Counter()
        self._sums: dict[int, dict[int, _Sums]] = {}
        self._forecast_s = -math.inf
        self._horizons: dict[int, float] = {}

    def __contains__(self, number: int) -> bool:
        """Returns whether a waiting task can be on time."""
        return number in self._task_by_number

    def add(self, task: DueTask) -> None:
        """Adds a waiting task."""
        self._task_by_number[task.number] = task
        self._count_by_priority[task.priority] += 1
        by_priority = self._sums.setdefault(_interval(task.due_s), {})
        sums = by_priority.setdefault(task.priority, _Sums())
        sums.change(task, 1)

    def discard(self, number: int) -> None:
        """Removes a task that was placed, dropped or is late."""
        task = self._task_by_number.pop(number, None)
        if task is None:
            return
        self._count_by_priority[task.priority] -= 1
        if not self._count_by_priority[task.priority]:
            self._count_by_priority.pop(task.priority)
        interval = _interval(task.due_s)
        by_priority = self._sums[interval]
        sums = by_priority[task.priority]
        sums.change(task, -1)
        if not sums.count:
            by_priority.pop(task.priority)
        if not by_priority:
            self._sums.pop(interval)

    def horizons(self, capacity: float, now: float) -> dict[int, float]:
        """Returns which tasks overtake those of lower priorities.

        Args:
            capacity: Sum over the usable back ends of processor capacity times
                speed, in thousandths of a core.
            now: Time in seconds.

        Returns:
            For each priority whose tasks would be late, the due time in seconds
            up to which they overtake.  It is at least that of lower priorities,
            so that a task never precedes one of a higher priority that is due
            earlier.
        """
        if now - self._forecast_s > FORECAST_VALID_S:
            self._forecast_s = now
            has_lower = len(self._count_by_priority) > 1
            self._horizons = (
                self._forecast(capacity, now) if has_lower and capacity else {}
            )
        return self._horizons

    def has_lower_before(self, task: DueTask) -> bool:
        """Returns whether a task of a lower priority is due earlier."""
        last = _interval(task.due_s)
        return any(
            priority > task.priority
            for interval, by_priority in self._sums.items()
            if interval < last
            for priority in by_priority
        )

    def _forecast(self, capacity: float, now: float) -> dict[int, float]:
        late_s = self._find_late(capacity, now)
        horizons: dict[int, float] = {}
        horizon_s = -math.inf
        for priority in sorted(self._count_by_priority, reverse=True):
            horizon_s = max(horizon_s, late_s.get(priority, -math.inf))
            if horizon_s > -math.inf:
                horizons[priority] = horizon_s
        return horizons

    def _find_late(self, capacity: float, now: float) -> dict[int, float]:
        """Returns the last due time of late tasks for each priority."""
        lowest = max(self._count_by_priority)
        late_s: dict[int, float] = {}
        start_s = now
        first = _interval(now)
        for interval in range(first, first + _interval(FORECAST_S)):
            interval_work = 0.0
            for priority, sums in self._sums.get(interval, {}).items():
                is_late = start_s > sums.latest_start_s / sums.count
                if is_late and priority < lowest:
                    late_s[priority] = (interval + 1) * INTERVAL_S
                interval_work += sums.work
            start_s += interval_work / capacity
        return late_s


def _interval(due_s: float) -> int:
    return int(due_s / INTERVAL_S)
