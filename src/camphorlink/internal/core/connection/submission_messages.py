"""Messages between entry VMs about submissions: sent on, asked for, cancelled.

The rules of ``peer_messages`` hold: kinds are added, never changed.
"""

from typing import Any, NamedTuple

from camphorlink.internal.core.request.job import TaskSpec


class RelayJob(NamedTuple):
    """A job for its home, sent on by the entry VM that a caller talks to.

    Attributes:
        submission_id: Text form of the identifier.
        digest: SHA-256 of the job as submitted, hex.
        service: Service that is to run the tasks.
        team: Team whose quota is charged.
        idempotent: Whether a task may run more than once.
        tasks: The tasks, in the caller's order.
        remaining_ms: What is left of the deadline at the time of sending.
        sent_ms: Wall-clock time of sending, ms since the epoch.
    """

    submission_id: str
    digest: str
    service: str
    team: str
    idempotent: bool
    tasks: tuple[TaskSpec, ...]
    remaining_ms: float
    sent_ms: int


class RelayAnswer(NamedTuple):
    """The whole answer of a home to a job that was sent on to it.

    Attributes:
        submission_id: Text form of the identifier.
        digest: Digest of the job that is answered.
        outcome: Value of ``Outcome``.
        reason: Value of ``Reason``, or ``None``.
        results: Result of every task by its id, when complete.
        fates: Value of ``Fate`` of every task by its id, when not.
        detail: One sentence for a person, may be empty.
        retry_after_s: When to come back, in seconds, or ``None``.
    """

    submission_id: str
    digest: str
    outcome: str
    reason: str | None
    results: dict[str, Any]
    fates: dict[str, str]
    detail: str
    retry_after_s: float | None


class RelayProbe(NamedTuple):
    """Asks a home what it knows of a submission, without the job."""

    submission_id: str
    digest: str


class RelayStatus(NamedTuple):
    """Says what a process knows of a submission that has no answer yet.

    Attributes:
        submission_id: Text form of the identifier.
        digest: Digest of the job that was asked for.
        status: Value of ``HomeStatus``.
    """

    submission_id: str
    digest: str
    status: str


class RelayCancel(NamedTuple):
    """A caller of the sender gives up a submission."""

    submission_id: str


SubmissionMessage = (
    RelayJob | RelayAnswer | RelayProbe | RelayStatus | RelayCancel
)

SUBMISSION_MESSAGE_BY_KIND: dict[str, type[SubmissionMessage]] = {
    'relay-job': RelayJob,
    'relay-answer': RelayAnswer,
    'relay-probe': RelayProbe,
    'relay-status': RelayStatus,
    'relay-cancel': RelayCancel,
}
