"""Whether a job may be admitted under the configuration in force."""

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
#: A team may fill this share of a queue alone before it is held to its part.
UNRESTRICTED_QUEUE_SHARE = 0.5
#: A job is refused when this share of its expected time is too long already;
#: estimates are rough, and a refusal in error costs more than a late answer.
REFUSAL_TIME_SHARE = 0.6
#: Submissions of one job, failed at several back ends, that are let run.
MAX_FAILED_SUBMISSIONS = 3
POISON_EXPIRY_S = 60.0
MAX_POISON_JOBS = 1024


class Backlog(NamedTuple):
    """What stands between a new job and its end.

    Attributes:
        max_queued: Tasks that may wait for the service at this VM.
        waiting: Tasks that do.
        team_waiting_tasks: Those of the job's team.
        teams: Teams that have tasks waiting, the job's own included.
        backlog_s: Seconds until all that waits has started.
    """

    max_queued: int
    waiting_tasks: int
    team_waiting_tasks: int
    team_count: int
    backlog_s: float


def refuse_for_queue(job: Job, backlog: Backlog) -> Answer | None:
    """Says why the queue has no room for a job, at the cost of a few sums.

    Up to half of the queue is open to whoever comes first; beyond that a
    team gets no more than its part, so that one flooding team is refused
    while the others still are not.
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
    """Says why a job can't meet its deadline.

    Args:
        job: What the caller submitted.
        run_s: Expected time from its first start to its end, in seconds.
        wait_s: Expected time until it starts, in seconds.
        now: Core time in seconds.
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
    """A job by its digest, and what became of its submissions."""

    submissions: frozenset[str]
    backends: frozenset[str]
    last_failure_s: float


class PoisonJobs:
    """Jobs that failed under several identifiers at several back ends."""

    def __init__(self) -> None:
        """Starts with none."""
        self._failed_by_digest: OrderedDict[str, FailedJob] = OrderedDict()

    def note_failure(
        self,
        digest: str,
        submission_id: str,
        backend: str,
        now: float,
    ) -> None:
        """Learns that a task of a job failed or was lost."""
        known = self._failed_by_digest.pop(digest, None)
        if known is None or known.last_failure_s + POISON_EXPIRY_S < now:
            known = FailedJob(frozenset(), frozenset(), now)
        self._failed_by_digest[digest] = FailedJob(
            known.submissions | {submission_id},
            known.backends | {backend},
            now,
        )
        while len(self._failed_by_digest) > MAX_POISON_JOBS:
            self._failed_by_digest.popitem(last=False)

    def refuse(self, job: Job, now: float) -> Answer | None:
        """Refuses a job that failed too often, for a while."""
        known = self._failed_by_digest.get(job.digest)
        if known is None or known.last_failure_s + POISON_EXPIRY_S < now:
            return None
        failed = len(known.submissions)
        if failed < MAX_FAILED_SUBMISSIONS or len(known.backends) < 2:
            return None
        return build_not_run_answer(
            Reason.JOB_KEEPS_FAILING,
            f'{failed} submissions failed at {len(known.backends)} back ends',
            retry_after_s=known.last_failure_s + POISON_EXPIRY_S - now,
        )


def refuse_job(
    job: Job,
    manifest: Manifest,
    now: float,
) -> Answer | None:
    """Says why a job can't be run at all.

    Args:
        job: What the caller submitted.
        manifest: The manifest in force, empty before the first one.
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
