"""Tasks of durable jobs that wait for a back end, in the order to start them.

Load that it answers: bursts of short and long jobs of several queues, of
which more is due than there is room for.  The task whose job is due first
goes first; of one job the tasks keep their order.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    TaskKey,
)

MS_PER_S = 1000
#: Waiting tasks that one pass looks at beyond those that it places: bounds
#: the cost of a pass while thousands wait.
MAX_PASSED_OVER = 200


class WaitingTask(NamedTuple):
    """A task that may start as soon as there is room.

    Attributes:
        due_s: When its job should have ended, in seconds.
        number: Order of arrival, which breaks ties.
        task: The task.
        job: Its job.
    """

    due_s: float
    number: int
    task: TaskKey
    job: DurableJob

    @property
    def step(self) -> Step:
        """The step that it belongs to."""
        return self.job.steps[self.task.step]

    @property
    def needs(self) -> Resources:
        """What it takes of a back end."""
        return self.step.needs


def work_s_of(entry: WaitingTask, speeds: RunSpeeds) -> float:
    """Returns the run time to expect of a task at speed 1, in seconds."""
    estimate_s = entry.step.estimate_ms / MS_PER_S
    return speeds.work_s(entry.job.queue, estimate_s)


#: Places a task if it can, and tells whether it did.
CanPlace = Callable[[WaitingTask], bool]


class WaitingTasks:
    """A queue ordered by when jobs are due."""

    def __init__(self) -> None:
        """Starts empty."""
        self._heap: list[WaitingTask] = []
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

    def add(self, task: TaskKey, job: DurableJob, due_s: float) -> None:
        """Adds a task, unless it waits already."""
        if task in self._entry_by_task:
            return
        entry = WaitingTask(due_s, next(self._numbers), task, job)
        self._entry_by_task[task] = entry
        heapq.heappush(self._heap, entry)

    def discard(self, task: TaskKey) -> None:
        """Takes a task out, if it waits."""
        self._entry_by_task.pop(task, None)

    def place(self, can_place: CanPlace) -> None:
        """Offers the tasks in order, and drops those that were placed.

        Tasks that need as much as one that could not be placed are passed
        over without asking again.

        Args:
            can_place: Places a task if it can, and tells whether it did.
        """
        kept: list[WaitingTask] = []
        refused: list[Step] = []
        while self._heap and len(kept) < MAX_PASSED_OVER:
            entry = heapq.heappop(self._heap)
            if self._entry_by_task.get(entry.task) is not entry:
                continue
            if _is_hopeless(entry.step, refused):
                kept.append(entry)
            elif can_place(entry):
                self._entry_by_task.pop(entry.task)
            else:
                kept.append(entry)
                refused.append(entry.step)
        for entry in kept:
            heapq.heappush(self._heap, entry)


def _is_hopeless(step: Step, refused: list[Step]) -> bool:
    return any(
        other.needs.fits_in(step.needs)
        and step.label == other.label
        and not other.max_per_backend
        for other in refused
    )
