"""Tasks of durable jobs that wait for a back end, in the order to start them.

Load that it answers: bursts of short and long jobs of several queues, of
which more is due than there is room for.  The task whose job is due first
goes first.  A task that can't end in time any more makes way for those that
still can: otherwise a backlog would make every job late, one after the other.
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

#: Waiting tasks of each kind, on time and late, that one pass looks at: bounds
#: its cost while thousands wait.
MAX_OFFERED_PER_HEAP = 300


class WaitingTask(NamedTuple):
    """A task that may start as soon as there is room.

    Attributes:
        due_s: When its job should have ended, in seconds.
        number: Order of arrival, which breaks ties.
        task: The task.
        job: Its job.
        work_s: Run time to expect of it at speed 1, in seconds.
    """

    due_s: float
    number: int
    task: TaskKey
    job: DurableJob
    work_s: float

    def can_be_on_time(self, now: float) -> bool:
        """Tells whether the task would end in time if it started now."""
        return now + self.work_s <= self.due_s

    @property
    def step(self) -> Step:
        """The step that it belongs to."""
        return self.job.steps[self.task.step]

    @property
    def needs(self) -> Resources:
        """What it takes of a back end."""
        return self.step.needs


#: Places a task if it can, and tells whether it did.
TryPlace = Callable[[WaitingTask], bool]


class WaitingTasks:
    """A queue ordered by when jobs are due, those that are late last."""

    def __init__(self) -> None:
        """Starts empty."""
        self._on_time: list[WaitingTask] = []
        self._late: list[WaitingTask] = []
        self._entry_by_task: dict[TaskKey, WaitingTask] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns how many tasks wait."""
        return len(self._entry_by_task)

    def __contains__(self, task: TaskKey) -> bool:
        """Tells whether a task waits."""
        return task in self._entry_by_task

    def __iter__(self) -> Iterator[WaitingTask]:
        """Goes through the tasks in no order."""
        return iter(self._entry_by_task.values())

    def add(
        self,
        task: TaskKey,
        job: DurableJob,
        due_s: float,
        work_s: float,
    ) -> None:
        """Adds a task, unless it waits already.

        Args:
            task: The task.
            job: Its job.
            due_s: When the job should have ended.
            work_s: Run time to expect of the task at speed 1, in seconds.
        """
        if task in self._entry_by_task:
            return
        entry = WaitingTask(due_s, next(self._numbers), task, job, work_s)
        self._entry_by_task[task] = entry
        heapq.heappush(self._on_time, entry)

    def discard(self, task: TaskKey) -> None:
        """Takes a task out, if it waits."""
        self._entry_by_task.pop(task, None)

    def place(self, try_place: TryPlace, now: float) -> None:
        """Offers the tasks in order, and drops those that were placed.

        Tasks that need as much as one that could not be placed are passed
        over without asking again.

        Args:
            try_place: Places a task if it can, and tells whether it did.
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
        """Hands out waiting entries in order, up to a bound."""
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
