"""Converts jobs and answers to and from messages between entry VMs."""

import enum

from camphorlink.internal.core.connection.submission_messages import (
    RelayAnswer,
    RelayJob,
)
from camphorlink.internal.core.request.identifiers import MS_PER_S
from camphorlink.internal.core.request.job import (
    Answer,
    Job,
    Outcome,
    TaskOutcome,
    build_unknown_answer,
)
from camphorlink.internal.core.request.payload_size import answer_bytes
from camphorlink.internal.core.request.reasons import Reason

#: Expected maximum clock difference between two entry VMs.
CLOCK_TOLERANCE_S = 2.0
#: Memory of the largest answer that is sent between entry VMs.  A link accepts
#: 8 MiB, and wide characters take 50 % more there than in memory.
MAX_ANSWER_BYTES = 5 * 1024 * 1024


class HomeStatus(enum.Enum):
    """State that a process reports for a submission without an answer."""

    OPEN = 'open'
    UNSEEN = 'unseen'
    SEALED = 'sealed'
    NOT_HOME = 'not-home'


def build_relay_job(
    submission_id: str,
    job: Job,
    now: float,
    wall_s: float,
) -> RelayJob:
    """Builds the message for a job, with the time left to its deadline."""
    return RelayJob(
        submission_id=submission_id,
        digest=job.digest,
        service=job.service,
        team=job.team,
        idempotent=job.idempotent,
        tasks=job.tasks,
        remaining_ms=max(0, (job.deadline_s - now) * MS_PER_S),
        sent_ms=int(wall_s * MS_PER_S),
    )


def decode_relay_job(message: RelayJob, now: float, wall_s: float) -> Job:
    """Decodes a job and subtracts its transit time from its deadline.

    A process that was paused receives old messages when it resumes.  A clock
    difference above the tolerance counts as transit time, so a wrong clock can
    shorten the deadline but never extend it.
    """
    transit_s = wall_s - message.sent_ms / MS_PER_S
    excess_transit_s = max(0, transit_s - CLOCK_TOLERANCE_S)
    return Job(
        service=message.service,
        team=message.team,
        tasks=message.tasks,
        deadline_s=now + message.remaining_ms / MS_PER_S - excess_transit_s,
        idempotent=message.idempotent,
        digest=message.digest,
    )


def build_relay_answer(
    submission_id: str,
    digest: str,
    answer: Answer,
) -> RelayAnswer:
    """Builds the message for a whole answer."""
    return RelayAnswer(
        submission_id=submission_id,
        digest=digest,
        outcome=answer.outcome.value,
        reason=answer.reason.value if answer.reason else None,
        results=dict(answer.results_by_task),
        fates={
            task: task_outcome.value
            for task, task_outcome in answer.outcomes_by_task.items()
        },
        detail=answer.detail,
        retry_after_s=answer.retry_after_s,
    )


def limit_answer_size(answer: Answer) -> Answer:
    """Returns the answer, or a substitute if it is too large for a link."""
    if answer_bytes(answer) <= MAX_ANSWER_BYTES:
        return answer
    detail = f'it ended as {answer.outcome.value}'
    return build_unknown_answer(Reason.ANSWER_TOO_LARGE, detail)


def decode_relay_answer(message: RelayAnswer) -> Answer:
    """Decodes a whole answer.

    Raises:
        ValueError: The outcome or a task outcome is unknown.
    """
    return Answer(
        outcome=Outcome(message.outcome),
        results_by_task=message.results,
        reason=decode_reason(message.reason),
        outcomes_by_task={
            task: TaskOutcome(task_outcome)
            for task, task_outcome in message.fates.items()
        },
        detail=message.detail,
        retry_after_s=message.retry_after_s,
    )


def decode_reason(text: str | None) -> Reason | None:
    """Decodes a reason; an unknown one of a later release is a lost task."""
    if text is None:
        return None
    try:
        return Reason(text)
    except ValueError:
        return Reason.TASK_LOST
