"""What callers may ask about durable jobs, whatever the protocol."""

import asyncio
import enum
import math
from http import HTTPStatus
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Step,
    check_job,
)
from camphorlink.internal.core.request.job_planner import Admission
from camphorlink.internal.core.request.job_records import Accepted, Cancelled
from camphorlink.internal.core.request.task_placement import MS_PER_S
from camphorlink.internal.core.request.transient_jobs import JobOver, JobRefused
from camphorlink.internal.shell.ports import Queue
from camphorlink.internal.shell.process.job_node import JobNode
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms
from camphorlink.store_errors import JobNotStoredError

#: Age of the last full read of the log within which "no such job" is said
#: without asking the store, in seconds: under the bound for a job's visibility.
FRESH_S = 0.05
#: How long a read waits for a job that has not ended, in seconds: an end is
#: stored within 0.02 s, and a caller who asks too early asks again much later.
READ_WAIT_S = 0.1
#: Retry-After while the store or the log is away, in seconds: its outages
#: last for seconds.
STORE_AWAY_RETRY_S = 2.0


class Verdict(enum.Enum):
    """Answer to a caller."""

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no-such-job'


#: HTTP status of each answer: 503 always means *not run*, 504 that nobody can
#: tell yet.
STATUS_BY_VERDICT = {
    Verdict.DONE: HTTPStatus.OK,
    Verdict.REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
    Verdict.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    Verdict.NO_SUCH_JOB: HTTPStatus.GONE,
}


class DeskAnswer(NamedTuple):
    """Answer to a caller.

    Attributes:
        verdict: What was done.
        state: State of the job, where it was asked for.
        reason: Why it was refused.
        retry_after_s: When to come back after a refusal, in seconds.
    """

    verdict: Verdict
    state: JobState | None = None
    reason: str = ''
    retry_after_s: float = 0


DONE = DeskAnswer(Verdict.DONE)
STORE_AWAY = DeskAnswer(
    Verdict.REFUSED,
    reason='store-away',
    retry_after_s=STORE_AWAY_RETRY_S,
)
#: No back end that is listed can run it; others may be added.
NO_BACKEND = DeskAnswer(
    Verdict.REFUSED,
    reason='no-back-end',
    retry_after_s=STORE_AWAY_RETRY_S,
)
#: This VM stops; another channel leads to another VM.
LEAVING = DeskAnswer(
    Verdict.REFUSED,
    reason='vm-leaving',
    retry_after_s=1.0,
)


def build_job(
    queue: Queue,
    job_id: str,
    spec: str,
    steps: tuple[Step, ...],
) -> DurableJob:
    """Builds a job for a queue, as it is accepted now, and checks it.

    Raises:
        JobError: With every fault found.
    """
    return check_job(
        DurableJob(
            job_id=job_id,
            queue=queue.name,
            service=queue.service,
            spec=spec,
            steps=steps,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            slack_factor=queue.slack_factor,
            target_ms=queue.target_ms,
            accepted_ms=wall_ms(),
        ),
    )


class JobDesk:
    """Submits, reads and cancels durable jobs on one VM."""

    def __init__(self, node: JobNode) -> None:
        """Serves with one VM's log and cells."""
        self._node = node
        self._log = PartLog('jobs')

    async def submit(self, job: DurableJob, wait_s: float) -> DeskAnswer:
        """Accepts a job once it is stored, or says that it never runs.

        Args:
            job: The job.
            wait_s: How long the caller waits.
        """
        if self._is_known(job.job_id):
            return DONE
        if self._node.is_closed:
            return self._refuse(LEAVING)
        if not self._is_up():
            return self._refuse(STORE_AWAY)
        admission = self._node.coordinator.planner.admit(job)
        if admission.plan is None:
            return self._refuse_for_load(job, admission)
        cells = self._node.choose_cells(job, admission.plan)
        if cells is None:
            return self._refuse(NO_BACKEND)
        stored = self._node.job_log.append(
            Accepted(job, cells),
            is_durable=False,
        )
        try:
            await asyncio.wait_for(asyncio.shield(stored), wait_s)
        except JobNotStoredError:
            return self._refuse(STORE_AWAY)
        except TimeoutError:
            return DeskAnswer(Verdict.UNKNOWN, reason='store-unanswered')
        return DONE

    async def run(self, job: DurableJob, wait_s: float) -> DeskAnswer:
        """Runs a transient job and answers with its end.

        Args:
            job: The job.
            wait_s: How long the caller waits.
        """
        if self._node.is_closed:
            return self._refuse(LEAVING)
        started_s = now_s()
        over = await self._node.coordinator.run(job, wait_s)
        if isinstance(over, JobRefused):
            return self._refuse_for_load(job, over.admission)
        self._log_end(job, over, now_s() - started_s)
        if over.state is None:
            return DeskAnswer(Verdict.UNKNOWN, reason='not-ended-in-time')
        return DeskAnswer(Verdict.DONE, over.state)

    def _log_end(self, job: DurableJob, over: JobOver, took_s: float) -> None:
        """Logs each job that did not end well and in time."""
        if over.state is JobState.COMPLETED and took_s <= over.objective_s:
            return
        event = 'job ended late'
        if over.state is None:
            event = 'job given up'
        elif over.state is JobState.FAILED:
            event = 'job failed'
        self._log.info(
            event,
            extra={
                'job': job.job_id,
                'queue': job.queue,
                'took_ms': round(took_s * MS_PER_S),
                'goal_ms': round(over.objective_s * MS_PER_S),
            },
        )

    async def read(self, job_id: str) -> DeskAnswer:
        """Tells the state of a job."""
        if not await self._is_sure_of(job_id):
            return self._refuse(STORE_AWAY)
        if job_id in self._node.table.live_by_id:
            # Its last end may be on its way to the store.
            await self._node.end_waiters.wait(job_id, READ_WAIT_S)
        state = self._state_of(job_id)
        if state is None:
            return DeskAnswer(Verdict.NO_SUCH_JOB)
        return DeskAnswer(Verdict.DONE, state)

    async def cancel(self, job_id: str, wait_s: float) -> DeskAnswer:
        """Cancels a job; one that has ended stays as it is."""
        if not await self._is_sure_of(job_id):
            return self._refuse(STORE_AWAY)
        table = self._node.table
        if job_id in table.ended_by_id:
            return DONE
        if job_id not in table.live_by_id:
            return DeskAnswer(Verdict.NO_SUCH_JOB)
        stored = self._node.job_log.append(Cancelled(job_id))
        try:
            await asyncio.wait_for(asyncio.shield(stored), wait_s)
        except TimeoutError:
            return DeskAnswer(Verdict.UNKNOWN, reason='store-unanswered')
        return DONE

    def _is_known(self, job_id: str) -> bool:
        table = self._node.table
        return job_id in table.live_by_id or job_id in table.ended_by_id

    def _is_up(self) -> bool:
        job_log = self._node.job_log
        return job_log.is_caught_up and not job_log.appender.is_stalled

    async def _is_sure_of(self, job_id: str) -> bool:
        """Makes sure of a job that is not known by reading the log's end."""
        job_log = self._node.job_log
        if self._is_known(job_id):
            return True
        if now_s() - job_log.confirmed_s < FRESH_S:
            return True
        return await job_log.catch_up()

    def _state_of(self, job_id: str) -> JobState | None:
        table = self._node.table
        ended = table.ended_by_id.get(job_id)
        if ended is not None:
            return ended.state
        live = table.live_by_id.get(job_id)
        if live is None:
            return None
        return JobState.IN_PROGRESS if live.has_begun else JobState.QUEUED

    def _refuse_for_load(
        self,
        job: DurableJob,
        admission: Admission,
    ) -> DeskAnswer:
        has_cell = admission.expected_s < math.inf
        self._log.info(
            'job refused',
            extra={
                'job': job.job_id,
                'queue': job.queue,
                'expected_ms': (
                    round(admission.expected_s * MS_PER_S) if has_cell else None
                ),
                'latest_ms': round(admission.latest_s * MS_PER_S),
                'retry_after_s': round(admission.retry_after_s, 1),
            },
        )
        refusal = DeskAnswer(
            Verdict.REFUSED,
            reason='no-room-in-time' if has_cell else 'no-cell-in-reach',
            retry_after_s=admission.retry_after_s,
        )
        return self._refuse(refusal)

    def _refuse(self, answer: DeskAnswer) -> DeskAnswer:
        self._node.count_refusal(answer.reason)
        return answer
