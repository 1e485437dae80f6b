"""Priority queue of durable jobs' tasks that wait for a back end.

Tasks start in the order of their jobs' due times (earliest due date first).
A task that can no longer end in time is placed after those that still can;
otherwise a backlog would make every job late, one after the other.

The queue is designed for bursts of short and long jobs from several queues
that exceed the capacity of the back ends.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    TaskKey,
)

#: Maximum number of tasks that one pass offers from each heap, the one on time
#: and the late one.  It bounds the cost of a pass while thousands wait.
MAX_OFFERED_PER_HEAP = 300


class WaitingTask(NamedTuple):
    """A task that may start as soon as a back end has free capacity.

    Attributes:
        due_s: Due time of the job, in seconds.
        number: Order of arrival, which breaks ties.
        task: Key of the task.
        job: Job of the task.
        work_s: Expected run time of the task at speed 1, in seconds.
    """

    due_s: float
    number: int
    task: TaskKey
    job: DurableJob
    work_s: float

    def can_be_on_time(self, now: float) -> bool:
        """Returns whether the task would end in time if it started now."""
        return now + self.work_s <= self.due_s

    @property
    def step(self) -> Step:
        """Step of the task."""
        return self.job.steps[self.task.step]

    @property
    def needs(self) -> Resources:
        """Resources that the task needs on its back end."""
        return self.step.needs


#: Tries to place a task, and returns whether it was placed.
TryPlace = Callable[[WaitingTask], bool]


class WaitingTasks:
    """A queue of tasks by due time, with late tasks after all others."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._on_time: list[WaitingTask] = []
        self._late: list[WaitingTask] = []
        self._entry_by_task: dict[TaskKey, WaitingTask] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._entry_by_task)

    def __contains__(self, task: TaskKey) -> bool:
        """Returns whether a task is waiting."""
        return task in self._entry_by_task

    def __iter__(self) -> Iterator[WaitingTask]:
        """Iterates over the waiting tasks in arbitrary order."""
        return iter(self._entry_by_task.values())

    def add(
        self,
        task: TaskKey,
        job: DurableJob,
        due_s: float,
        work_s: float,
    ) -> None:
        """Adds a task unless it is already waiting.

        Args:
            task: Key of the task.
            job: Job of the task.
            due_s: Due time of the job, in seconds.
            work_s: Expected run time of the task at speed 1, in seconds.
        """
        if task in self._entry_by_task:
            return
        entry = WaitingTask(due_s, next(self._numbers), task, job, work_s)
        self._entry_by_task[task] = entry
        heapq.heappush(self._on_time, entry)

    def discard(self, task: TaskKey) -> None:
        """Removes a task if it is waiting."""
        self._entry_by_task.pop(task, None)

    def place(self, try_place: TryPlace, now: float) -> None:
        """Tries to place the tasks in order, and removes the placed ones.

        A task that needs at least as much as one that could not be placed is
        skipped without a further try.

        Args:
            try_place: Tries to place a task, and returns whether it was
                placed.
            now: Time in seconds.
        """
        refused: list[Step] = []
        kept: list[WaitingTask] = []
        for entry in self._pop_first(self._on_time):
            if not entry.can_be_on_time(now):
                heapq.heappush(self._late, entry)
            elif not self._offer(entry, try_place, refused):
                kept.append(entry)
        kept_late = [
            late
            for late in self._pop_first(self._late)
            if not self._offer(late, try_place, refused)
        ]
        self._push_all(self._on_time, kept)
        self._push_all(self._late, kept_late)

    def _push_all(
        self,
        heap: list[WaitingTask],
        kept: list[WaitingTask],
    ) -> None:
        for entry in kept:
            heapq.heappush(heap, entry)

    def _pop_first(self, heap: list[WaitingTask]) -> Iterator[WaitingTask]:
        """Pops the first waiting entries of a heap, up to the limit."""
        offered = 0
        while heap and offered < MAX_OFFERED_PER_HEAP:
            entry = heapq.heappop(heap)
            if self._entry_by_task.get(entry.task) is entry:
                offered += 1
                yield entry

    def _offer(
        self,
        entry: WaitingTask,
        try_place: TryPlace,
        refused: list[Step],
    ) -> bool:
        if _cannot_fit(entry.step, refused):
            return False
        if try_place(entry):
            self._entry_by_task.pop(entry.task)
            return True
        refused.append(entry.step)
        return False


def _cannot_fit(step: Step, refused: list[Step]) -> bool:
    return any(
        other.needs.fits_in(step.needs)
        and step.label == other.label
        and not other.max_per_backend
        for other in refused
    )
