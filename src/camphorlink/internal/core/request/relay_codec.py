"""Jobs and answers as they travel between entry VMs."""

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

#: Clocks of two entry VMs are expected to agree within this, in seconds.
CLOCK_TOLERANCE_S = 2.0
#: Memory of the largest answer that is sent between entry VMs, in bytes.
#: A link takes 8 MiB; wide characters take half as much again there.
MAX_ANSWER_BYTES = 5 * 1024 * 1024


class HomeStatus(enum.Enum):
    """What a process says of a submission that it has no answer for."""

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
    """Writes a job with what is left of its deadline."""
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
    """Reads a job; time that it lay on the way is taken off its deadline.

    A process that was paused finds old messages when it wakes up.  What the
    clocks say beyond their tolerance counts as time on the way; a clock that
    is off makes the deadline shorter, never longer.
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
    """Writes a whole answer."""
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
    """Returns what can be sent of an answer: a link would break on more."""
    if answer_bytes(answer) <= MAX_ANSWER_BYTES:
        return answer
    detail = f'it ended as {answer.outcome.value}'
    return build_unknown_answer(Reason.ANSWER_TOO_LARGE, detail)


def decode_relay_answer(message: RelayAnswer) -> Answer:
    """Reads a whole answer.

    Raises:
        ValueError: The outcome or a fate is none that is known here.
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
    """Reads a reason; one of a later release is shown as a lost task."""
    if text is None:
        return None
    try:
        return Reason(text)
    except ValueError:
        return Reason.TASK_LOST
