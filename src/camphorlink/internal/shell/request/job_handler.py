"""Submits, reads and cancels durable jobs, independent of the protocol."""

import asyncio
import enum
import math
from http import HTTPStatus
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.calibration import (
    FAILED,
    IN_TIME,
    LATE,
    NOT_ENDED,
    Prediction,
)
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Step,
    check_job,
)
from camphorlink.internal.core.request.job_planner import Admission
from camphorlink.internal.core.request.job_records import (
    JobAccepted,
    JobCancelled,
)
from camphorlink.internal.core.request.returned_tasks import ReturnReason
from camphorlink.internal.core.request.task_placement import MS_PER_S
from camphorlink.internal.core.request.transient_jobs import (
    JobRefused,
    TransientJobEnded,
)
from camphorlink.internal.shell.ports import Queue
from camphorlink.internal.shell.process.job_node import JobNode
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms
from camphorlink.store_errors import JobNotStoredError

#: Longest age of the last full read of the log for which a job that is not known
#: is read as "no such job" without reading the log again, in seconds: below the
#: bound for the visibility of a job.
LOG_READ_FRESH_S = 0.05
#: Number of jobs that were cancelled without being known, and are remembered, from
#: which on further ones are refused: they would fill the snapshots.
MAX_WITHDRAWN_JOBS = 5000
#: How long a read waits for the completion of a job, in seconds: completions
#: are stored within 0.02 s, and callers that read too early poll again much
#: later.
READ_WAIT_S = 0.1
#: Retry-After while the store or the log is unavailable, in seconds: outages
#: last for seconds.
STORE_RETRY_AFTER_S = 2.0


class Verdict(enum.Enum):
    """Kinds of answers to a request for a durable job."""

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no-such-job'


#: HTTP status of each kind of answer: 503 always means *not run*, 504 that the
#: result is not known yet.
STATUS_BY_VERDICT = {
    Verdict.DONE: HTTPStatus.OK,
    Verdict.REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
    Verdict.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    Verdict.NO_SUCH_JOB: HTTPStatus.GONE,
}


class JobAnswer(NamedTuple):
    """Answer to a request for a durable job.

    Attributes:
        verdict: Kind of the answer.
        state: State of the job, or ``None`` for requests that return none.
        reason: Reason of a refusal or of an unknown result.
        retry_after_s: Delay before the request may be repeated, in seconds.
    """

    verdict: Verdict
    state: JobState | None = None
    reason: str = ''
    retry_after_s: float = 0


DONE = JobAnswer(Verdict.DONE)
STORE_UNAVAILABLE = JobAnswer(
    Verdict.REFUSED,
    reason='store-away',
    retry_after_s=STORE_RETRY_AFTER_S,
)
#: Callers cancel too many jobs that don't exist.
TOO_MANY_CANCELLED = JobAnswer(
    Verdict.REFUSED,
    reason='too-many-unknown-jobs-cancelled',
    retry_after_s=STORE_RETRY_AFTER_S,
)
#: No listed back end can run the job; one may be added later.
NO_BACKEND = JobAnswer(
    Verdict.REFUSED,
    reason='no-back-end',
    retry_after_s=STORE_RETRY_AFTER_S,
)
#: Only back ends of drained zones can run the job.  Drains last for minutes, and
#: a cancellation is not foreseen; 8 s is the longest delay that callers are told
#: to wait.
ZONE_DRAINED = JobAnswer(
    Verdict.REFUSED,
    reason=ReturnReason.ZONE_DRAINED.value,
    retry_after_s=8.0,
)
#: This VM stops; a new connection leads to another VM.
VM_LEAVING = JobAnswer(
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
    """Builds a job for a queue with the current time and checks it.

    Raises:
        JobError: The job is invalid; the error lists all faults.
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


def _outcome_of(
    completion: TransientJobEnded | JobRefused | None, took_s: float
) -> str:
    """Returns the outcome of an admitted job for the calibration.

    The completion is ``None`` when the caller has left.
    """
    if not isinstance(completion, TransientJobEnded):
        return NOT_ENDED
    if completion.state in {None, JobState.CANCELLED}:
        return NOT_ENDED
    if completion.state is JobState.FAILED:
        return FAILED
    if took_s <= completion.objective_s:
        return IN_TIME
    return LATE


def _prediction_fields(prediction: Prediction | None) -> dict[str, int]:
    """Returns the fields of a log line that explain a prediction."""
    if prediction is None:
        return {}
    return {
        'expected_ms': round(prediction.expected_s * MS_PER_S),
        'latest_ms': round(prediction.latest_s * MS_PER_S),
        'wait_ms': round(prediction.wait_s * MS_PER_S),
        'work_ms': round(prediction.work_s * MS_PER_S),
        'cells': prediction.cells,
        'load_age_ms': round(prediction.report_age_s * MS_PER_S),
    }


class JobHandler:
    """Handles requests for durable and transient jobs on one entry VM."""

    def __init__(self, node: JobNode) -> None:
        """Initializes the handler.

        Args:
            node: The entry VM, with its job log and cells.
        """
        self._node = node
        self._log = PartLog('jobs')
        self._cancelling_by_id: dict[str, asyncio.Task[JobAnswer]] = {}

    async def submit(self, job: DurableJob, wait_s: float) -> JobAnswer:
        """Stores a durable job, or refuses it so that it never runs.

        Args:
            job: The job.
            wait_s: Timeout for the store's answer, in seconds.
        """
        if self._is_known(job.job_id):
            return DONE
        if self._node.is_closed:
            return self._refuse(VM_LEAVING)
        if self._node.coordinator.fits_only_drained(job):
            return self._refuse_drained(job)
        if not self._is_store_available():
            return self._refuse(STORE_UNAVAILABLE)
        planner = self._node.coordinator.planner
        admission = planner.admit(job, now_s())
        # The end of a durable job is not awaited here.
        planner.calibration.take_prediction(job.job_id)
        if admission.plan is None:
            return self._refuse_admission(job, admission)
        cells = self._node.choose_cells(job, admission.plan)
        if cells is None:
            return self._refuse(NO_BACKEND)
        return await self._store(JobAccepted(job, cells), wait_s)

    async def _store(self, record: JobAccepted, wait_s: float) -> JobAnswer:
        """Stores an accepted job, or refuses it if it is not stored."""
        stored = self._node.job_log.append(record, is_durable=False)
        try:
            await asyncio.wait_for(asyncio.shield(stored), wait_s)
        except JobNotStoredError:
            return self._refuse(STORE_UNAVAILABLE)
        except TimeoutError:
            return JobAnswer(Verdict.UNKNOWN, reason='store-unanswered')
        return DONE

    async def run(self, job: DurableJob, wait_s: float) -> JobAnswer:
        """Runs a transient job and returns its final state.

        Args:
            job: The job.
            wait_s: Timeout for the completion of the job, in seconds.
        """
        if self._node.is_closed:
            return self._refuse(VM_LEAVING)
        table = self._node.table
        if job.job_id in table.withdrawn_by_id:
            return JobAnswer(Verdict.DONE, JobState.CANCELLED)
        given_up = table.crashes.find_given_up(job.job_id)
        if given_up is not None:
            self._log.info(
                'job failed: back ends crash under its task',
                extra={'job': job.job_id, 'task': list(given_up)},
            )
            return JobAnswer(Verdict.DONE, JobState.FAILED)
        if self._node.coordinator.fits_only_drained(job):
            return self._refuse_drained(job)
        started_s = now_s()
        completion: TransientJobEnded | JobRefused | None = None
        counts = self._node.coordinator.planner.calibration
        try:
            completion = await self._node.coordinator.run(job, wait_s)
        finally:
            prediction = counts.take_prediction(job.job_id)
            if prediction is not None:
                outcome = _outcome_of(completion, now_s() - started_s)
                counts.record_end(job.queue, outcome)
        if isinstance(completion, JobRefused):
            if completion.return_reason is ReturnReason.ZONE_DRAINED:
                return self._refuse_drained(job, completion.admission)
            return self._refuse_admission(
                job, completion.admission, prediction, now_s() - started_s
            )
        self._log_unsuccessful_job(
            job, completion, now_s() - started_s, prediction
        )
        if completion.state is None:
            return JobAnswer(Verdict.UNKNOWN, reason='not-ended-in-time')
        return JobAnswer(Verdict.DONE, completion.state)

    def _log_unsuccessful_job(
        self,
        job: DurableJob,
        completion: TransientJobEnded,
        took_s: float,
        prediction: Prediction | None,
    ) -> None:
        """Logs a job that failed, was abandoned or missed its objective."""
        if (
            completion.state is JobState.COMPLETED
            and took_s <= completion.objective_s
        ):
            return
        event = 'job ended late'
        if completion.state is None:
            event = 'job abandoned'
        elif completion.state is JobState.FAILED:
            event = 'job failed'
        elif completion.state is JobState.CANCELLED:
            event = 'job cancelled'
        self._log.info(
            event,
            extra={
                'job': job.job_id,
                'queue': job.queue,
                'took_ms': round(took_s * MS_PER_S),
                'goal_ms': round(completion.objective_s * MS_PER_S),
                **_prediction_fields(prediction),
            },
        )

    async def read(self, job_id: str) -> JobAnswer:
        """Returns the state of a job."""
        if not await self._ensure_current(job_id):
            return self._refuse(STORE_UNAVAILABLE)
        if job_id in self._node.table.live_by_id:
            # The completion of its last task may not be stored yet.
            await self._node.completion_waiters.wait(job_id, READ_WAIT_S)
        state = self._state_of(job_id)
        if state is None:
            return JobAnswer(Verdict.NO_SUCH_JOB)
        return JobAnswer(Verdict.DONE, state)

    async def cancel(self, job_id: str, wait_s: float) -> JobAnswer:
        """Cancels a job; a job that has ended keeps its state.

        A job that is not known may be stored later, by a VM that has lost the
        store, or run as a transient one.  Its cancellation is stored, too, so
        that the answer that there is no such job stays true.

        Args:
            job_id: Identifier of the job.
            wait_s: Timeout for the store's answer, in seconds.
        """
        table = self._node.table
        if job_id in table.ended_by_id:
            return DONE
        if job_id in table.withdrawn_by_id:
            return JobAnswer(Verdict.NO_SUCH_JOB)
        cancelling = self._cancelling_by_id
        is_known = job_id in table.live_by_id or job_id in cancelling
        if not is_known and not self._is_store_available():
            return self._refuse(STORE_UNAVAILABLE)
        if not is_known and len(table.withdrawn_by_id) >= MAX_WITHDRAWN_JOBS:
            return self._refuse(TOO_MANY_CANCELLED)
        if job_id not in cancelling:
            cancelling[job_id] = asyncio.create_task(
                self._store_cancelled(job_id)
            )
        stored = asyncio.shield(cancelling[job_id])
        try:
            return await asyncio.wait_for(stored, wait_s)
        except TimeoutError:
            return JobAnswer(Verdict.UNKNOWN, reason='store-unanswered')

    async def _store_cancelled(self, job_id: str) -> JobAnswer:
        """Stores the cancellation of a job, and applies the log up to it."""
        job_log = self._node.job_log
        table = self._node.table
        is_known = job_id in table.live_by_id
        try:
            offset = await job_log.append(JobCancelled(job_id), is_known)
            if table.next_offset <= offset:
                await job_log.catch_up()
        except JobNotStoredError:
            return self._refuse(STORE_UNAVAILABLE)
        finally:
            self._cancelling_by_id.pop(job_id)
        if job_id in table.withdrawn_by_id:
            return JobAnswer(Verdict.NO_SUCH_JOB)
        return DONE

    def _is_known(self, job_id: str) -> bool:
        table = self._node.table
        return job_id in table.live_by_id or job_id in table.ended_by_id

    def _is_store_available(self) -> bool:
        job_log = self._node.job_log
        return job_log.is_caught_up and not job_log.appender.is_stalled

    async def _ensure_current(self, job_id: str) -> bool:
        """Reads the log to its end if a job is unknown.

        Returns:
            Whether the local state of the job is current.
        """
        job_log = self._node.job_log
        if self._is_known(job_id):
            return True
        if now_s() - job_log.confirmed_s < LOG_READ_FRESH_S:
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

    def _refuse_admission(
        self,
        job: DurableJob,
        admission: Admission,
        earlier: Prediction | None = None,
        held_s: float = 0,
    ) -> JobAnswer:
        """Refuses a job that was not admitted, or withdrawn before it ran.

        Args:
            job: The job.
            admission: The refusal.
            earlier: Prediction with which the job was admitted.
            held_s: Time since its submission, in seconds.
        """
        has_cell = admission.expected_s < math.inf
        was_admitted = earlier is not None
        self._log.info(
            'job refused',
            extra={
                'job': job.job_id,
                'queue': job.queue,
                'expected_ms': (
                    round(admission.expected_s * MS_PER_S) if has_cell else None
                ),
                'latest_ms': round(admission.latest_s * MS_PER_S),
                'held_ms': round(held_s * MS_PER_S),
                'retry_after_s': round(admission.retry_after_s, 1),
                **_prediction_fields(admission.prediction or earlier),
            },
        )
        refusal = JobAnswer(
            Verdict.REFUSED,
            reason=(
                'no-room-in-time'
                if has_cell or was_admitted
                else 'no-cell-in-reach'
            ),
            retry_after_s=admission.retry_after_s,
        )
        return self._refuse(refusal)

    def _refuse_drained(
        self, job: DurableJob, admission: Admission | None = None
    ) -> JobAnswer:
        """Refuses a job because of a zone drain.

        Args:
            job: The job.
            admission: Decision about a job whose tasks were returned.  It tells
                when to retry if an undrained zone can run the job.
        """
        refusal = ZONE_DRAINED
        only_drained = self._node.coordinator.fits_only_drained(job)
        if admission is not None and not only_drained:
            refusal = refusal._replace(retry_after_s=admission.retry_after_s)
        self._log.info(
            'job refused: zone drained',
            extra={
                'job': job.job_id,
                'queue': job.queue,
                'retry_after_s': round(refusal.retry_after_s, 1),
            },
        )
        return self._refuse(refusal)

    def _refuse(self, answer: JobAnswer) -> JobAnswer:
        self._node.count_refusal(answer.reason)
        return answer
