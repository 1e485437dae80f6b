"""Jobs, the fates of their tasks, and the whole answer to a submission."""

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple

from camphorlink.internal.core.request.reasons import Reason

MAX_TASKS_PER_JOB = 150

#: A JSON value of the caller's, passed through unread.
Payload = Any


class Outcome(enum.Enum):
    """What a caller may conclude about a submission.

    ``NOT_RUN``: no task was started and none ever will be.  ``FAILED``: some
    task certainly did not succeed, so the job is not complete.  ``UNKNOWN``:
    nothing is known to have failed, but the fate of a task can't be told.
    """

    COMPLETE = 'complete'
    FAILED = 'failed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class TaskOutcome(enum.Enum):
    """What is known of one task."""

    NOT_STARTED = 'not-started'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class TaskSpec(NamedTuple):
    """One task as its caller described it.

    Attributes:
        task_id: The caller's name for the task, unique in its job.
        payload: What the back end is to work on.
        task_class: Class whose run times are learned together.
        declared_ms: Run time that the caller expects, or ``None``.
    """

    task_id: str
    payload: Payload
    task_class: str = 'default'
    declared_ms: float | None = None


class Job(NamedTuple):
    """Up to 150 tasks that are answered together.

    Attributes:
        service: Service of the manifest that is to run the tasks.
        team: Team whose quota is charged.
        tasks: The tasks, in the caller's order.
        deadline_s: Core time (monotonic seconds) after which nobody waits.
        idempotent: Whether the caller allows a task to run more than once.
        digest: SHA-256 of the job as submitted, hex; tells a resubmission
            from another job under a used identifier.
    """

    service: str
    team: str
    tasks: tuple[TaskSpec, ...]
    deadline_s: float
    idempotent: bool
    digest: str


class Answer(NamedTuple):
    """The whole answer to a submission.

    Attributes:
        outcome: What the caller may conclude.
        results_by_task: Result of every task when complete, else empty.
        reason: Why the outcome is not complete, else ``None``.
        outcomes_by_task: Fate of each task when not complete, else empty.
        detail: One sentence for a person, may be empty.
        retry_after_s: When to come back, in seconds, or ``None``.
    """

    outcome: Outcome
    results_by_task: Mapping[str, Payload]
    reason: Reason | None = None
    outcomes_by_task: Mapping[str, TaskOutcome] = {}
    detail: str = ''
    retry_after_s: float | None = None


def build_not_run_answer(
    reason: Reason,
    detail: str = '',
    retry_after_s: float | None = None,
) -> Answer:
    """Builds the refusal that promises that no task starts, now or later."""
    return Answer(
        Outcome.NOT_RUN,
        {},
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def build_unknown_answer(
    reason: Reason,
    detail: str = '',
    retry_after_s: float | None = None,
) -> Answer:
    """Builds the answer for a job whose fate can't be told from here."""
    return Answer(
        Outcome.UNKNOWN,
        {},
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )
