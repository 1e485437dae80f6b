"""Messages between entry VMs that relay, query, cancel and hand over submissions.

As in ``peer_messages``, kinds are added, never changed.
"""

from typing import Any, NamedTuple

from camphorlink.internal.core.request.job import TaskSpec


class RelayJob(NamedTuple):
    """Relays a job from the entry VM that received it to its home.

    Attributes:
        submission_id: Text form of the identifier.
        digest: SHA-256 of the submitted job, in hexadecimal.
        service: Service that runs the tasks.
        team: Team whose quota is charged.
        idempotent: Whether the caller allows a task to run more than once.
        tasks: The tasks, in the caller's order.
        remaining_ms: Time until the deadline at the time of sending, in ms.
        sent_ms: Wall-clock time of sending, in ms since the epoch.
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
    """Final answer of a home to a job that was relayed to it.

    Attributes:
        submission_id: Text form of the identifier.
        digest: Digest of the answered job.
        outcome: Value of ``Outcome``.
        reason: Value of ``Reason``, or ``None``.
        results: Result of each task by its id if the job is complete,
            otherwise empty.
        fates: Value of ``TaskOutcome`` of each task by its id if the job is
            not complete, otherwise empty.
        detail: Explanation for operators and callers; may be empty.
        retry_after_s: Time to wait before a retry, in seconds, or ``None``.
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
    """Queries the state of a submission at its home.

    Unlike ``RelayJob`` it does not contain the job.  The home replies with a
    ``RelayAnswer`` or a ``RelayStatus``.
    """

    submission_id: str
    digest: str


class RelayStatus(NamedTuple):
    """Reports the state of a submission that has no answer yet.

    Attributes:
        submission_id: Text form of the identifier.
        digest: Digest of the queried job.
        status: Value of ``HomeStatus``.
    """

    submission_id: str
    digest: str
    status: str


class RelayCancel(NamedTuple):
    """Cancels a submission on behalf of a caller of the sender."""

    submission_id: str


class EndingGroup(NamedTuple):
    """Submissions with the same outcome whose answers are not handed over.

    Attributes:
        outcome: Value of ``Outcome``.
        reason: Value of ``Reason``, or ``None``.
        keys: Identifiers of the submissions in binary form, 16 bytes each,
            concatenated.
    """

    outcome: str
    reason: str | None
    keys: bytes


class TableChunk(NamedTuple):
    """Part of a sealed submission table that is handed over to a successor.

    The last part is sent after all others were acknowledged.  The process that
    has received all parts owns the table.

    Attributes:
        table: Text form of the home whose submissions are in the table.
        generation: Number that increases by one with each hand-over of this
            table.
        number: Number of the part, from 0.
        total: Number of parts.
        floor_ms: Submissions whose identifiers were issued before this time
            must not be started, in ms since the epoch.
        ran_floor_ms: Submissions that are no longer stored may have run if
            their identifiers were issued before this time, in ms since the
            epoch.
        answers: Answers that are handed over.
        endings: Outcomes of submissions whose answers are not handed over.
        successor: Text form of the receiving process.  A process that was
            started later at the same address ignores the message.
    """

    table: str
    generation: int
    number: int
    total: int
    floor_ms: int
    ran_floor_ms: int
    answers: tuple[RelayAnswer, ...]
    endings: tuple[EndingGroup, ...]
    successor: str = ''


class ChunkReply(NamedTuple):
    """Acknowledges or refuses a part of a table.

    Attributes:
        table: Text form of the home of the table.
        generation: Generation of the part.
        number: Number of the part.
        is_accepted: Whether the part was accepted; if not, the whole table is
            refused.
    """

    table: str
    generation: int
    number: int
    is_accepted: bool


class SuccessionNotice(NamedTuple):
    """Announces that a table has been handed over.

    Attributes:
        table: Text form of the home of the table.
        owner: Text form of the home of the new owner.
        generation: Generation of the hand-over.
    """

    table: str
    owner: str
    generation: int


class KeyClaim(NamedTuple):
    """Requests that the receiver claims a caller's key in the log service.

    Attributes:
        service: Service that the key belongs to.
        key: Key chosen by the caller.
        submission_id: Text form of the identifier to bind to the key.
        issued_ms: Time when the caller first used the key, in ms since the
            epoch.
        remaining_ms: Time for which the sender waits for the result, in ms.
    """

    service: str
    key: str
    submission_id: str
    issued_ms: int
    remaining_ms: float


class KeyWinner(NamedTuple):
    """Reports the submission to which a caller's key is bound.

    Attributes:
        service: Service that the key belongs to.
        key: Key chosen by the caller.
        submission_id: Identifier in the ``KeyClaim``.
        winner: Identifier that is bound to the key, which may be that of an
            earlier claim; ``None`` if the claim failed.
        reason: Value of ``Reason`` if the claim failed, otherwise ``None``.
    """

    service: str
    key: str
    submission_id: str
    winner: str | None
    reason: str | None


SubmissionMessage = (
    RelayJob
    | RelayAnswer
    | RelayProbe
    | RelayStatus
    | RelayCancel
    | TableChunk
    | ChunkReply
    | SuccessionNotice
    | KeyClaim
    | KeyWinner
)

SUBMISSION_MESSAGE_BY_KIND: dict[str, type[SubmissionMessage]] = {
    'relay-job': RelayJob,
    'relay-answer': RelayAnswer,
    'relay-probe': RelayProbe,
    'relay-status': RelayStatus,
    'relay-cancel': RelayCancel,
    'table-chunk': TableChunk,
    'chunk-reply': ChunkReply,
    'succession': SuccessionNotice,
    'key-claim': KeyClaim,
    'key-winner': KeyWinner,
}
