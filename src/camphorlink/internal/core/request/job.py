"""Submitted jobs, the outcomes of their tasks, and the caller's answer."""

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple

from camphorlink.internal.core.request.reasons import Reason

MAX_TASKS_PER_JOB = 150

#: A JSON value from the caller, passed through without interpretation.
Payload = Any


class Outcome(enum.Enum):
    """Outcome of a submission, as guaranteed to the caller.

    ``COMPLETE``: every task finished.  ``NOT_RUN``: no task was started and
    none will be.  ``FAILED``: at least one task did not succeed, so the job is
    not complete.  ``UNKNOWN``: no task is known to have failed, but the
    outcome of at least one task can't be determined.
    """

    COMPLETE = 'complete'
    FAILED = 'failed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class TaskOutcome(enum.Enum):
    """Last known state of one task."""

    NOT_STARTED = 'not-started'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class TaskSpec(NamedTuple):
    """One task as described by the caller.

    Attributes:
        task_id: The caller's name for the task, unique in its job.
        payload: Input of the task for the back end.
        task_class: Class of tasks that share one run time estimate.
        declared_ms: Run time that the caller expects, in ms, or ``None``.
    """

    task_id: str
    payload: Payload
    task_class: str = 'default'
    declared_ms: float | None = None


class Job(NamedTuple):
    """Up to 150 tasks that are submitted and answered together.

    Attributes:
        service: Service of the manifest that runs the tasks.
        team: Team whose quota is charged.
        tasks: The tasks, in the caller's order.
        deadline_s: Core time (monotonic seconds) after which the caller no
            longer waits.
        idempotent: Whether the caller allows a task to run more than once.
        digest: SHA-256 of the job as submitted, hex; distinguishes a
            resubmission from another job with the same identifier.
    """

    service: str
    team: str
    tasks: tuple[TaskSpec, ...]
    deadline_s: float
    idempotent: bool
    digest: str


class Answer(NamedTuple):
    """The answer to a submission, which covers all tasks of the job.

    Attributes:
        outcome: Outcome of the submission.
        results_by_task: Result of every task when complete, else empty.
        reason: Reason why the job is not complete, else ``None``.
        outcomes_by_task: Outcome of each task when not complete, else empty.
        detail: Human-readable explanation in one sentence, may be empty.
        retry_after_s: Delay before the caller retries, in seconds, or
            ``None``.
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
    """Builds a refusal, which guarantees that no task runs now or later."""
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
    """Builds the answer for a job whose outcome can't be determined here."""
    return Answer(
        Outcome.UNKNOWN,
        {},
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )
