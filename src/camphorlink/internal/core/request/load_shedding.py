"""Choice of the waiting jobs that an overloaded cell gives back.

This addresses bursts of all queues at several times the capacity of the back
ends.  Without it, each job waits until it can no longer end in time, then starts
late, and takes the capacity of jobs that could still be on time: the more work
arrives, the less of it is done in time.

A forecast places the waiting jobs on the capacity that becomes free, in the
order in which they will start.  A job of which nothing has started and that is
expected to miss its due time is given back at once, and those after it are
expected to use the capacity instead.

A job that is late by chance, while the load fits, is kept: its caller is better
served late than not at all, and it delays few others.
"""

import heapq
import itertools
import math
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from camphorlink.internal.core.request.waiting_tasks import WaitingTask
from camphorlink.internal.core.request.waiting_work import GUARANTEED_SHARE

#: Largest number of waiting tasks in a forecast, which bounds its processor
#: time.  A cell that gives back what will be late has fewer.
MAX_FORECAST_TASKS = 256

#: Time constant of the averages of arriving and of late tasks, in seconds: some
#: dozens of tasks in a small cell.
AVERAGING_S = 1.0
#: Share of late tasks among those that arrive from which on a cell is overloaded.
#: Below, the jobs that wait are late by chance.
OVERLOAD_SHARE = 0.2
#: Number of tasks on time that are assumed before any has arrived, so that one late
#: job is no overload.
ASSUMED_TASKS = 80
#: Multiple of its expected run time after which a task counts as ended when a job is
#: compared with its due time: estimates are off by 40%.
RUN_TIME_MARGIN = 1.3


class LateShare:
    """Share of the tasks that have arrived recently and are late."""

    def __init__(self) -> None:
        """Creates an average without tasks."""
        self._arrived = 0.0
        self._late = 0.0
        self._recorded_s = -math.inf

    def record(self, arrived: int, late: int, now: float) -> None:
        """Records tasks.

        Args:
            arrived: Number of tasks that have arrived since the last call.
            late: Number of tasks that have become late since.
            now: Time in seconds.
        """
        decay = math.exp((self._recorded_s - now) / AVERAGING_S)
        self._recorded_s = now
        self._arrived = self._arrived * decay + arrived
        self._late = self._late * decay + late

    @property
    def is_overload(self) -> bool:
        """Whether more tasks arrive than can be on time."""
        return self._late > OVERLOAD_SHARE * (self._arrived + ASSUMED_TASKS)


class Place(NamedTuple):
    """Capacity of a back end that is or becomes free for a task.

    Attributes:
        free_s: Time from which it is free, in seconds.
        cpu_milli: Processor capacity, in thousandths of a core.
    """

    free_s: float
    cpu_milli: int


class WaitingJob(NamedTuple):
    """Tasks of a job that wait in a cell and can still be on time.

    Attributes:
        priority: Priority of the job, where 0 is the highest.
        due_s: Due time of the job, in seconds.
        number: Order of arrival, which breaks ties.
        job_id: Identifier of the job.
        tasks: The waiting tasks.
    """

    priority: int
    due_s: float
    number: int
    job_id: str
    tasks: tuple[WaitingTask, ...]

    @property
    def work(self) -> float:
        """Work of the tasks, in thousandths of a core times seconds."""
        return sum(entry.needs.cpu_milli * entry.work_s for entry in self.tasks)


def find_late_jobs(
    waiting: Iterable[WaitingTask],
    places: Iterable[Place],
    speed: float,
    may_shed: Callable[[str], bool],
    now: float,
) -> list[str]:
    """Returns the jobs that will be late and can be given back, by identifier.

    Args:
        waiting: Waiting tasks of one service.
        places: Capacity that its back ends have or will have, without the
            waiting tasks.
        speed: Mean speed of the back ends, where 1 is the reference.
        may_shed: Returns whether a job can be given back.
        now: Time in seconds.
    """
    jobs = _group_by_job(itertools.islice(waiting, MAX_FORECAST_TASKS))
    free = list(places)
    heapq.heapify(free)
    late = []
    for job in _in_start_order(jobs):
        left = free.copy()
        end_s = _place_job(job, left, speed, now)
        if end_s > job.due_s and may_shed(job.job_id):
            late.append(job.job_id)
        else:
            free = left
    return late


def _group_by_job(waiting: Iterable[WaitingTask]) -> list[WaitingJob]:
    entries_by_id: dict[str, list[WaitingTask]] = {}
    for entry in waiting:
        entries_by_id.setdefault(entry.task.job_id, []).append(entry)
    return [
        WaitingJob(
            entries[0].job.priority,
            entries[0].due_s,
            entries[0].number,
            entries[0].task.job_id,
            tuple(entries),
        )
        for entries in entries_by_id.values()
    ]


def _in_start_order(jobs: Sequence[WaitingJob]) -> list[WaitingJob]:
    """Returns the jobs by priority, with a guaranteed part for lower ones."""
    queue_by_priority: dict[int, list[WaitingJob]] = {}
    for waiting_job in sorted(jobs, reverse=True):
        queue = queue_by_priority.setdefault(waiting_job.priority, [])
        queue.append(waiting_job)
    started_by_priority = dict.fromkeys(queue_by_priority, 0.0)
    ordered: list[WaitingJob] = []
    while queue_by_priority:
        total = sum(started_by_priority.values())
        owed = [
            priority
            for priority in queue_by_priority
            if started_by_priority[priority] < GUARANTEED_SHARE * total
        ]
        priority = min(owed or queue_by_priority)
        queue = queue_by_priority[priority]
        first = queue.pop()
        if not queue:
            queue_by_priority.pop(priority)
        started_by_priority[priority] += first.work
        ordered.append(first)
    return ordered


def _place_job(
    job: WaitingJob, free: list[Place], speed: float, now: float
) -> float:
    """Takes places for the tasks of a job and returns its latest expected end.

    Args:
        job: The job.
        free: Heap of places, which is changed.
        speed: Mean speed of the back ends.
        now: Time in seconds.
    """
    job_end_s = now
    for entry in job.tasks:
        missing = entry.needs.cpu_milli
        start_s = now
        while missing > 0:
            if not free:
                return math.inf
            place = heapq.heappop(free)
            start_s = max(start_s, place.free_s)
            missing -= place.cpu_milli
        run_s = entry.work_s / speed
        end_s = start_s + run_s
        _give_back_rest(free, entry.needs.cpu_milli, -missing, start_s, end_s)
        job_end_s = max(job_end_s, start_s + RUN_TIME_MARGIN * run_s)
    return job_end_s


def _give_back_rest(
    free: list[Place], used: int, rest: int, start_s: float, end_s: float
) -> None:
    """Returns the capacity of a task, and what it leaves of its places.

    A rest that is too small for another such task is free with it.

    Args:
        free: Heap of places, which is changed.
        used: Capacity of the task, in thousandths of a core.
        rest: Capacity that it leaves, in thousandths of a core.
        start_s: Time at which it starts, in seconds.
        end_s: Time at which it ends, in seconds.
    """
    if rest < used:
        heapq.heappush(free, Place(end_s, used + rest))
    else:
        heapq.heappush(free, Place(end_s, used))
        heapq.heappush(free, Place(start_s, rest))
