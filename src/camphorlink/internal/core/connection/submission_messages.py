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


class EndingGroup(NamedTuple):
    """Submissions that ended alike and whose answers are not handed over.

    Attributes:
        outcome: Value of ``Outcome``.
        reason: Value of ``Reason``, or ``None``.
        keys: Number forms of the identifiers, 16 bytes each, one after the
            other.
    """

    outcome: str
    reason: str | None
    keys: bytes


class TableChunk(NamedTuple):
    """Part of a sealed table, for its successor.

    The last part is sent when all others were acknowledged.  Whoever holds
    all parts owns the table.

    Attributes:
        table: Text form of the home whose table it is.
        generation: Rises by one with each hand-over of this table.
        number: Number of the part, from 0.
        total: Number of parts.
        floor_ms: Issue time below which nothing may start.
        ran_floor_ms: Issue time below which something may have run.
        answers: Whole answers.
        endings: Outcomes without answers.
        successor: Text form of the process that it is meant for.  Another
            one that has started at the same address passes it over.
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
    """What became of a part of a table.

    Attributes:
        table: Text form of the home whose table it is.
        generation: Generation of the part.
        number: Number of the part.
        is_accepted: Whether it was taken; if not, none will be.
    """

    table: str
    generation: int
    number: int
    is_accepted: bool


class SuccessionNotice(NamedTuple):
    """A table has been handed over.

    Attributes:
        table: Text form of the home whose table it is.
        owner: Text form of the home of the process that owns it now.
        generation: Generation of the hand-over.
    """

    table: str
    owner: str
    generation: int


class KeyClaim(NamedTuple):
    """Asks for a caller's key to be claimed in the log service.

    Attributes:
        service: Service that the key belongs to.
        key: The caller's own name.
        submission_id: Text form of the identifier it is to stand for.
        issued_ms: Time when the caller first used the key, epoch ms.
        remaining_ms: How long the sender waits, in ms.
    """

    service: str
    key: str
    submission_id: str
    issued_ms: int
    remaining_ms: float


class KeyWinner(NamedTuple):
    """Says which submission a caller's key stands for.

    Attributes:
        service: Service that the key belongs to.
        key: The caller's own name.
        submission_id: Identifier that was to be claimed.
        winner: Identifier that the key stands for, or ``None``.
        reason: Value of ``Reason`` when there is no winner, else ``None``.
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
