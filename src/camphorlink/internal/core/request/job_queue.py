"""Jobs whose tasks wait for a slot, in the order in which they are due."""

import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Container
from typing import NamedTuple

from camphorlink.internal.core.request.job_run import JobRun

#: Jobs that are looked at for an estimate of the work before a new one.
MAX_JOBS_PER_ESTIMATE = 64
#: Jobs that one pass may look at.
MAX_JOBS_PER_PASS = 256


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
        self.work_s = 0.0
        self.waiting_by_team: Counter[str] = Counter()
        self._entries: list[_Entry] = []
        self._last_number = 0

    def __bool__(self) -> bool:
        return bool(self._entries)

    @property
    def first_due_s(self) -> float:
        """When the first job is due, in core seconds."""
        return self._entries[0].due_s if self._entries else math.inf

    def put(self, job: QueuedJob) -> None:
        """Inserts a job by its due time."""
        self._last_number += 1
        insort(self._entries, _Entry(job.due_s, self._last_number, job))
        self._add_to_totals(job, len(job.tasks), job.work_s)

    def take(self, job: QueuedJob, task: WaitingTask) -> None:
        """Removes a task that starts."""
        job.take(task)
        self._add_to_totals(job, -1, -task.work_s)

    def work_before_s(self, due_s: float) -> float:
        """Estimates the work that is due before, in seconds at speed 1."""
        index = bisect_left(self._entries, due_s, key=_due_of)
        if not index:
            return 0
        stride = -(-index // MAX_JOBS_PER_ESTIMATE)
        sample = self._entries[:index:stride]
        work_s = sum(entry.job.work_s for entry in sample)
        return work_s * index / len(sample)

    def put_back(self, job: QueuedJob, task: WaitingTask) -> None:
        """Lets a task wait once more, and its job if that had left."""
        if not job.run.is_open:
            return
        is_queued = any(entry.job is job for entry in self._entries)
        job.put_back(task)
        if is_queued:
            self._add_to_totals(job, 1, task.work_s)
        else:
            self.put(job)

    def first_jobs(
        self,
        count: int,
        limited_teams: Container[str] = (),
    ) -> list[QueuedJob]:
        """Lists the first jobs that still wait for something.

        Args:
            count: How many to list at the most.
            limited_teams: Teams whose jobs are passed over, as their quota is
                used up.
        """
        found: list[QueuedJob] = []
        index = 0
        while index < min(len(self._entries), MAX_JOBS_PER_PASS):
            if len(found) == count:
                break
            job = self._entries[index].job
            if job.run.is_open and job.tasks:
                index += 1
                if job.run.job.team not in limited_teams:
                    found.append(job)
            else:
                self._add_to_totals(job, -len(job.tasks), -job.work_s)
                self._entries.pop(index)
        return found

    def _add_to_totals(self, job: QueuedJob, tasks: int, work_s: float) -> None:
        self.waiting_tasks += tasks
        self.work_s = max(self.work_s + work_s, 0)
        team = job.run.job.team
        self.waiting_by_team[team] += tasks
        if not self.waiting_by_team[team]:
            self.waiting_by_team.pop(team)


def _due_of(entry: _Entry) -> float:
    return entry.due_s
