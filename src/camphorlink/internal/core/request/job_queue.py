"""Queue of the jobs whose tasks wait for a slot, ordered by due time."""

import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Container
from typing import NamedTuple

from camphorlink.internal.core.request.job_run import JobRun

#: Queued jobs that are sampled to estimate the work ahead of a new job.
MAX_JOBS_PER_ESTIMATE = 64
#: Queued jobs that one scheduling pass examines.
MAX_JOBS_PER_PASS = 256


class WaitingTask(NamedTuple):
    """Attempt of a task that waits for a slot.

    Attributes:
        work_s: Expected run time at speed 1, in seconds.
        position: Position of the task in its job.
        attempt: Number of the attempt, from 1.
    """

    work_s: float
    position: int
    attempt: int


class QueuedJob:
    """Job with its waiting tasks.

    Attributes:
        run: State of the submission.
        due_s: Due time, which orders the queue, as core time in seconds.
        tasks: Waiting tasks, the longest last.
        work_s: Expected run time of the waiting tasks at speed 1, in seconds.
        finish_s: Core time at which the last of the placed tasks is expected
            to finish, in seconds.
    """

    def __init__(
        self,
        run: JobRun,
        due_s: float,
        tasks: list[WaitingTask],
    ) -> None:
        """Creates a queued job.

        Args:
            run: State of the submission.
            due_s: Due time as core time in seconds.
            tasks: Waiting tasks in any order.
        """
        self.run = run
        self.due_s = due_s
        self.tasks = sorted(tasks)
        self.work_s = sum(task.work_s for task in tasks)
        self.finish_s = 0.0

    def take(self, task: WaitingTask) -> None:
        """Removes a waiting task."""
        self.tasks.pop(bisect_left(self.tasks, task))
        self.work_s -= task.work_s

    def put_back(self, task: WaitingTask) -> None:
        """Adds a task that has to wait again."""
        insort(self.tasks, task)
        self.work_s += task.work_s


class _Entry(NamedTuple):
    """Position of a job in the queue; the unique number breaks ties."""

    due_s: float
    number: int
    job: QueuedJob


class JobQueue:
    """Waiting jobs of one service, ordered by due time.

    Attributes:
        waiting_tasks: Number of waiting tasks.
        work_s: Expected run time of the waiting tasks at speed 1, in seconds.
        waiting_by_team: Number of waiting tasks of each team.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.waiting_tasks = 0
        self.work_s = 0.0
        self.waiting_by_team: Counter[str] = Counter()
        self._entries: list[_Entry] = []
        self._last_number = 0

    def __bool__(self) -> bool:
        return bool(self._entries)

    @property
    def first_due_s(self) -> float:
        """Due time of the first job in core seconds; infinite if empty."""
        return self._entries[0].due_s if self._entries else math.inf

    def put(self, job: QueuedJob) -> None:
        """Adds a job at the position of its due time."""
        self._last_number += 1
        insort(self._entries, _Entry(job.due_s, self._last_number, job))
        self._add_to_totals(job, len(job.tasks), job.work_s)

    def take(self, job: QueuedJob, task: WaitingTask) -> None:
        """Removes a task that is started."""
        job.take(task)
        self._add_to_totals(job, -1, -task.work_s)

    def work_before_s(self, due_s: float) -> float:
        """Estimates the work that is due before a given time.

        Args:
            due_s: Due time as core time in seconds.

        Returns:
            Run time of the tasks at speed 1, in seconds, extrapolated from a
            sample of the jobs.
        """
        index = bisect_left(self._entries, due_s, key=_due_of)
        if not index:
            return 0
        stride = -(-index // MAX_JOBS_PER_ESTIMATE)
        sample = self._entries[:index:stride]
        work_s = sum(entry.job.work_s for entry in sample)
        return work_s * index / len(sample)

    def put_back(self, job: QueuedJob, task: WaitingTask) -> None:
        """Queues a task again, and its job if the job has left the queue."""
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
        """Returns the first jobs that have waiting tasks.

        Closed jobs and jobs without waiting tasks are removed from the queue.

        Args:
            count: Maximum number of jobs.
            limited_teams: Teams whose jobs are skipped because their quota is
                used up.
        """
        jobs: list[QueuedJob] = []
        index = 0
        while index < min(len(self._entries), MAX_JOBS_PER_PASS):
            if len(jobs) == count:
                break
            job = self._entries[index].job
            if job.run.is_open and job.tasks:
                index += 1
                if job.run.job.team not in limited_teams:
                    jobs.append(job)
            else:
                self._add_to_totals(job, -len(job.tasks), -job.work_s)
                self._entries.pop(index)
        return jobs

    def _add_to_totals(self, job: QueuedJob, tasks: int, work_s: float) -> None:
        self.waiting_tasks += tasks
        self.work_s = max(self.work_s + work_s, 0)
        team = job.run.job.team
        self.waiting_by_team[team] += tasks
        if not self.waiting_by_team[team]:
            self.waiting_by_team.pop(team)


def _due_of(entry: _Entry) -> float:
    return entry.due_s
