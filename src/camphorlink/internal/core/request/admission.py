"""Admission control: reasons for refusing a job before it is queued."""

from collections import OrderedDict
from typing import NamedTuple

from camphorlink.internal.core.request.job import (
    Answer,
    Job,
    build_not_run_answer,
)
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.version.manifest import Manifest

NO_MANIFEST_RETRY_S = 1.0
NO_BACKEND_RETRY_S = 1.0
#: Share of a queue that is filled without regard to teams; above it, each team
#: is limited to its equal share of the queue.
UNRESTRICTED_QUEUE_SHARE = 0.5
#: A job is refused only if this share of its expected time exceeds the time to
#: its deadline.  Estimates are rough, and a wrong refusal costs more than a late
#: answer.
REFUSAL_TIME_SHARE = 0.6
#: Failed submissions of one job, on at least two back ends, after which new
#: submissions of the job are refused.
MAX_FAILED_SUBMISSIONS = 3
#: Time from the last failure of a job until its failures are forgotten, in
#: seconds.
POISON_EXPIRY_S = 60.0
MAX_POISON_JOBS = 1024


class Backlog(NamedTuple):
    """Tasks that wait for a service when a new job arrives.

    Attributes:
        max_queued: Tasks that may wait for the service at this VM.
        waiting_tasks: Tasks that wait for the service at this VM.
        team_waiting_tasks: Waiting tasks of the job's team.
        team_count: Teams with waiting tasks, including the job's own team.
        backlog_s: Expected time until all waiting tasks have started, in
            seconds.
    """

    max_queued: int
    waiting_tasks: int
    team_waiting_tasks: int
    team_count: int
    backlog_s: float


def refuse_for_queue(job: Job, backlog: Backlog) -> Answer | None:
    """Refuses a job whose tasks don't fit into the queue of its service.

    The first half of the queue is filled in order of arrival.  Above that,
    each team is limited to an equal share of the queue, so that a flooding
    team is refused while jobs of other teams are still admitted.  The check
    needs only a few additions, as it runs for every job under overload.

    Returns:
        The refusal, or ``None`` if the queue has space for the job.
    """
    tasks = len(job.tasks)
    total = backlog.waiting_tasks + tasks
    if total <= backlog.max_queued * UNRESTRICTED_QUEUE_SHARE:
        return None
    team_share = backlog.max_queued / backlog.team_count
    is_over_team_share = backlog.team_waiting_tasks + tasks > team_share
    if total > backlog.max_queued or is_over_team_share:
        return build_not_run_answer(
            Reason.QUEUE_FULL,
            f'{backlog.waiting_tasks} tasks wait, '
            f'{backlog.team_waiting_tasks} of the team',
            retry_after_s=max(backlog.backlog_s / 2, NO_BACKEND_RETRY_S),
        )
    return None


def refuse_for_deadline(
    job: Job,
    run_s: float,
    wait_s: float,
    now: float,
) -> Answer | None:
    """Refuses a job that is not expected to meet its deadline.

    The refusal names a time to retry after only if the job could meet the
    deadline without the time in the queue.

    Args:
        job: Job that the caller submitted.
        run_s: Expected time from the first start to the completion of the
            job, in seconds.
        wait_s: Expected time in the queue, in seconds.
        now: Core time in seconds.

    Returns:
        The refusal, or ``None`` if the job may meet its deadline.
    """
    remaining_s = job.deadline_s - now
    if REFUSAL_TIME_SHARE * (run_s + wait_s) <= remaining_s:
        return None
    detail = f'expected {run_s:.2f} s to run and {wait_s:.2f} s to wait'
    if REFUSAL_TIME_SHARE * run_s > remaining_s:
        return build_not_run_answer(Reason.DEADLINE_UNREACHABLE, detail)
    return build_not_run_answer(
        Reason.DEADLINE_UNREACHABLE, detail, retry_after_s=wait_s
    )


class FailedJob(NamedTuple):
    """Failed submissions of one job.

    Attributes:
        submissions: Identifiers of the submissions that failed.
        backends: Names of the back ends on which they failed.
        last_failure_s: Core time of the last failure, in seconds.
    """

    submissions: frozenset[str]
    backends: frozenset[str]
    last_failure_s: float


class PoisonJobs:
    """Detects jobs whose submissions fail repeatedly on several back ends.

    Submissions count as the same job if their digests are equal.  Failures on
    a single back end don't count, as the back end may be at fault.
    """

    def __init__(self) -> None:
        """Creates a detector without recorded failures."""
        self._failed_by_digest: OrderedDict[str, FailedJob] = OrderedDict()

    def record_failure(
        self,
        digest: str,
        submission_id: str,
        backend: str,
        now: float,
    ) -> None:
        """Records that a task of a job failed or was lost."""
        failed_job = self._failed_by_digest.pop(digest, None)
        if (
            failed_job is None
            or failed_job.last_failure_s + POISON_EXPIRY_S < now
        ):
            failed_job = FailedJob(frozenset(), frozenset(), now)
        self._failed_by_digest[digest] = FailedJob(
            failed_job.submissions | {submission_id},
            failed_job.backends | {backend},
            now,
        )
        while len(self._failed_by_digest) > MAX_POISON_JOBS:
            self._failed_by_digest.popitem(last=False)

    def refuse(self, job: Job, now: float) -> Answer | None:
        """Refuses a job that failed too often.

        Returns:
            The refusal, or ``None`` if the job may be queued.
        """
        failed_job = self._failed_by_digest.get(job.digest)
        if (
            failed_job is None
            or failed_job.last_failure_s + POISON_EXPIRY_S < now
        ):
            return None
        failed = len(failed_job.submissions)
        if failed < MAX_FAILED_SUBMISSIONS or len(failed_job.backends) < 2:
            return None
        return build_not_run_answer(
            Reason.JOB_KEEPS_FAILING,
            f'{failed} submissions failed at {len(failed_job.backends)} back ends',
            retry_after_s=failed_job.last_failure_s + POISON_EXPIRY_S - now,
        )


def refuse_job(
    job: Job,
    manifest: Manifest,
    now: float,
) -> Answer | None:
    """Refuses a job that the manifest or its deadline doesn't allow.

    Args:
        job: Job that the caller submitted.
        manifest: Manifest in force; empty before the first one.
        now: Core time in seconds.

    Returns:
        The refusal, or ``None`` if the job may be queued.
    """
    if not manifest.digest:
        return build_not_run_answer(
            Reason.NO_MANIFEST, retry_after_s=NO_MANIFEST_RETRY_S
        )
    if job.service not in manifest.services_by_name:
        return build_not_run_answer(Reason.UNKNOWN_SERVICE, job.service)
    if job.team not in manifest.teams_by_name:
        return build_not_run_answer(Reason.UNKNOWN_TEAM, job.team)
    if job.deadline_s <= now:
        return build_not_run_answer(Reason.DEADLINE_PASSED)
    return None
