"""Jobs whose tasks wait for a slot, in the order in which they are due."""

import math
from bisect import bisect_left, insort
from typing import NamedTuple

from camphorlink.internal.core.request.job_run import JobRun


class WaitingTask(NamedTuple):
    """A task that waits for a slot.

    Attributes:
        work_s: Expected run time at speed 1, in seconds.
        position: Position of the task in its job.
        attempt: Number of the next try, from 1.
    """

    work_s: float
    position: int
    attempt: int


class QueuedJob:
    """A job some of whose tasks wait.

    Attributes:
        run: The submission.
        due_s: Rank in the queue, as core time in seconds.
        tasks: What waits, the longest last.
        work_s: Expected run time at speed 1 of all that waits, in seconds.
        finish_s: When the last running task is expected to finish.
    """

    def __init__(
        self,
        run: JobRun,
        due_s: float,
        tasks: list[WaitingTask],
    ) -> None:
        """Takes the tasks in any order."""
        self.run = run
        self.due_s = due_s
        self.tasks = sorted(tasks)
        self.work_s = sum(task.work_s for task in tasks)
        self.finish_s = 0.0

    def take(self, task: WaitingTask) -> None:
        """Removes one task."""
        self.tasks.pop(bisect_left(self.tasks, task))
        self.work_s -= task.work_s

    def put_back(self, task: WaitingTask) -> None:
        """Lets a task wait once more."""
        insort(self.tasks, task)
        self.work_s += task.work_s


class _Entry(NamedTuple):
    """Place of a job; the number breaks ties and is unique."""

    due_s: float
    number: int
    job: QueuedJob


class JobQueue:
    """The jobs of one service that wait, earliest due first."""

    def __init__(self) -> None:
        """Starts empty."""
        self.waiting_tasks = 0
        self._entries: list[_Entry] = []
        self._number = 0

    def __bool__(self) -> bool:
        return bool(self._entries)

    @property
    def first_due_s(self) -> float:
        """When the first job is due, in core seconds."""
        return self._entries[0].due_s if self._entries else math.inf

    def put(self, job: QueuedJob) -> None:
        """Inserts a job by its due time."""
        self._number += 1
        insort(self._entries, _Entry(job.due_s, self._number, job))
        self.waiting_tasks += len(job.tasks)

    def note_put_back(self, job: QueuedJob) -> None:
        """Counts a task that was put back, and its job if that had left."""
        if any(entry.job is job for entry in self._entries):
            self.waiting_tasks += 1
            return
        self._number += 1
        insort(self._entries, _Entry(job.due_s, self._number, job))
        self.waiting_tasks += 1

    def first(self, count: int) -> list[QueuedJob]:
        """Lists the first jobs that still wait for something."""
        found: list[QueuedJob] = []
        index = 0
        while index < len(self._entries) and len(found) < count:
            job = self._entries[index].job
            if job.run.is_open and job.tasks:
                found.append(job)
                index += 1
            else:
                self.waiting_tasks -= len(job.tasks)
                self._entries.pop(index)
        return found

    def purge(self) -> None:
        """Drops all jobs that have ended, so that they are not counted."""
        self._entries = [
            entry
            for entry in self._entries
            if entry.job.run.is_open and entry.job.tasks
        ]
        self.waiting_tasks = sum(
            len(entry.job.tasks) for entry in self._entries
        )
