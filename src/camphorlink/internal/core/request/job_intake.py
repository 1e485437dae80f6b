"""Admission of jobs at an entry VM, and their order in the queues."""

from collections import Counter
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_pool import BackendPool
from camphorlink.internal.core.request.admission import (
    NO_BACKEND_RETRY_S,
    Backlog,
    PoisonJobs,
    refuse_for_deadline,
    refuse_for_queue,
)
from camphorlink.internal.core.request.due_times import DueTimes
from camphorlink.internal.core.request.job import (
    Answer,
    Job,
    build_not_run_answer,
)
from camphorlink.internal.core.request.job_queue import (
    JobQueue,
    QueuedJob,
    WaitingTask,
)
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.quotas import LimitKey
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.run_times import RunTimes


class JobEstimate(NamedTuple):
    """Estimated run times of a job and its tasks.

    Attributes:
        job: Job that the estimate is for.
        tasks: Tasks of the job, with the estimated run time of each.
        ideal_s: Run time of the job with all slots free, in seconds.
    """

    job: Job
    tasks: list[WaitingTask]
    ideal_s: float


class JobIntake:
    """Admits jobs at one entry VM and queues them by due time.

    Attributes:
        poison_jobs: Jobs that failed repeatedly.
        queue_by_service: Queue of waiting jobs of each service.
    """

    def __init__(self, pool: BackendPool, run_times: RunTimes) -> None:
        """Creates an intake without queued jobs.

        Args:
            pool: Back ends of this VM's zone.
            run_times: Estimator of the run times of tasks.
        """
        self.poison_jobs = PoisonJobs()
        self.queue_by_service: dict[str, JobQueue] = {}
        self._pool = pool
        self._run_times = run_times
        self._due_times = DueTimes()
        self._last_estimate: JobEstimate | None = None

    def queue_of(self, service: str) -> JobQueue:
        """Returns the queue of a service, and creates it if needed."""
        queue = self.queue_by_service.get(service)
        if queue is None:
            queue = JobQueue()
            self.queue_by_service[service] = queue
        return queue

    def refuse(self, job: Job, now: float) -> Answer | None:
        """Refuses a job that can't be queued under the present load.

        The cheap checks run first, as most jobs are refused under overload.

        Returns:
            The refusal, or ``None`` if the job may be queued.
        """
        return (
            self._refuse_for_queue(job)
            or self._refuse_for_backends(job)
            or self.poison_jobs.refuse(job, now)
            or self._refuse_for_deadline(job, now)
        )

    def queue_job(self, run: JobRun, now: float) -> QueuedJob:
        """Queues all tasks of a submission and charges its team."""
        job = run.job
        estimate = self._estimate(job)
        due_s = self._due_s(estimate, now)
        queued = QueuedJob(run, due_s, estimate.tasks)
        self._due_times.charge(
            job.team,
            queued.work_s,
            self._pool.own_speed(),
            now,
        )
        self.queue_of(job.service).put(queued)
        return queued

    def count_waiting_tasks(self) -> Counter[LimitKey]:
        """Returns the number of waiting tasks of each team and service."""
        waiting: Counter[LimitKey] = Counter()
        for service, queue in self.queue_by_service.items():
            waiting[LimitKey('service', service)] += queue.waiting_tasks
            for team, tasks in queue.waiting_by_team.items():
                waiting[LimitKey('team', team)] += tasks
        return waiting

    def _refuse_for_queue(self, job: Job) -> Answer | None:
        queue = self.queue_of(job.service)
        service = self._pool.manifest.services_by_name[job.service]
        if queue.waiting_tasks + len(job.tasks) <= service.max_queued / 2:
            return None
        team_waiting_tasks = queue.waiting_by_team[job.team]
        backlog = Backlog(
            service.max_queued,
            queue.waiting_tasks,
            team_waiting_tasks,
            len(queue.waiting_by_team) + (not team_waiting_tasks),
            self._backlog_s(queue.work_s),
        )
        return refuse_for_queue(job, backlog)

    def _refuse_for_backends(self, job: Job) -> Answer | None:
        loads = self._pool.find_loads(job.service)
        if any(load.is_usable for load in loads):
            return None
        return build_not_run_answer(
            Reason.NO_BACKEND,
            f'none of {len(loads)} back ends of this zone can be used',
            NO_BACKEND_RETRY_S,
        )

    def _refuse_for_deadline(self, job: Job, now: float) -> Answer | None:
        if not self._run_times.has_enough_runs(job.service, job.tasks[0]):
            return None
        estimate = self._estimate(job)
        due_s = self._due_s(estimate, now)
        work_s = self.queue_of(job.service).work_before_s(due_s)
        wait_s = self._backlog_s(work_s)
        return refuse_for_deadline(job, estimate.ideal_s, wait_s, now)

    def _backlog_s(self, work_s: float) -> float:
        # own_speed() sums over all back ends; it is skipped without work.
        return work_s / self._pool.own_speed() if work_s else 0.0

    def _estimate(self, job: Job) -> JobEstimate:
        # Admission and queueing of a job both need its estimate, so the last
        # one is cached.
        last = self._last_estimate
        if last is not None and last.job is job:
            return last
        service = job.service
        tasks = [
            WaitingTask(self._run_times.estimate(service, task), position, 1)
            for position, task in enumerate(job.tasks)
        ]
        ideal_s = self._pool.ideal_s(service, [task.work_s for task in tasks])
        self._last_estimate = JobEstimate(job, tasks, ideal_s)
        return self._last_estimate

    def _due_s(self, estimate: JobEstimate, now: float) -> float:
        job = estimate.job
        team = self._pool.manifest.teams_by_name[job.team]
        queue = self.queue_of(job.service)
        backlog_s = self._backlog_s(queue.work_s)
        longest_s = max(task.work_s for task in estimate.tasks)
        return self._due_times.due_s(
            job,
            team,
            estimate.ideal_s,
            backlog_s,
            now,
            is_long=longest_s > self._run_times.long_work_s,
        )
