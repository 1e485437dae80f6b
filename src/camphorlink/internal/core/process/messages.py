"""Input messages of the entry core, and the effects that it returns.

A shell converts external events into messages, passes them to the core with
the time, and executes the effects.  Messages and effects are plain data, so
they can be recorded, replayed and compared.
"""

from collections.abc import Mapping
from typing import NamedTuple

from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process.members import MemberView
from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    StoredClaim,
)
from camphorlink.internal.core.request.identifiers import (
    Home,
    SubmissionId,
)
from camphorlink.internal.core.request.job import Answer, Job, Payload
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.version.manifest import Manifest


class Ticket(NamedTuple):
    """Identifies one attempt to run a task on a backend server.

    Attributes:
        submission_id: Text form of the submission's identifier.
        position: Position of the task in its job.
        attempt: Number of the attempt, from 1.
        backend: Name of the backend server.
    """

    submission_id: str
    position: int
    attempt: int
    backend: str


class Submit(NamedTuple):
    """A job is submitted by a caller or relayed by another entry VM.

    Attributes:
        submission_id: Identifier that contains the home. Only the home may
            start the job.
        job: Job to run.
        caller: Number of the request that waits for the answer, or the
            entry VM that relayed the job.
    """

    submission_id: SubmissionId
    job: Job
    caller: int | Home


class SubmitKey(NamedTuple):
    """A caller submits a job under its own idempotency key.

    Attributes:
        key: The caller's key.
        issued_ms: Time when the caller first used the key, epoch ms.
        submission_id: New identifier of this home, proposed in the claim.
        job: Job to run.
        caller: Number of the request that waits for the answer.
    """

    key: CallerKey
    issued_ms: int
    submission_id: SubmissionId
    job: Job
    caller: int


class ClaimsAppended(NamedTuple):
    """A batch of claims was appended at consecutive offsets.

    Attributes:
        stream: Name of the stream.
        batch: Batch number of the ``AppendClaims`` effect.
        first_offset: Offset of the first claim.
    """

    stream: str
    batch: int
    first_offset: int


class ClaimsNotAppended(NamedTuple):
    """An append of claims failed or got no answer.

    Attributes:
        stream: Name of the stream.
        is_uncertain: Whether the claims may be stored nevertheless.
    """

    stream: str
    is_uncertain: bool


class ClaimsRead(NamedTuple):
    """A page of claims was read from a stream.

    Attributes:
        stream: Name of the stream.
        records: Claims in the order of their offsets.
        earliest_offset: First offset that is still stored.
        next_offset: Offset of the next append.
    """

    stream: str
    records: tuple[StoredClaim, ...]
    earliest_offset: int
    next_offset: int


class ClaimsNotRead(NamedTuple):
    """A read of claims failed."""

    stream: str


class Leave(NamedTuple):
    """A request stopped waiting; its submission continues."""

    submission_id: str
    caller: int


class Cancel(NamedTuple):
    """A caller cancels a submission."""

    submission_id: str


class TaskFinished(NamedTuple):
    """A backend server returned the result of a task."""

    ticket: Ticket
    task_result: Payload


class TaskFailed(NamedTuple):
    """A backend server ran a task and reported a failure."""

    ticket: Ticket
    detail: str


class TaskNotStarted(NamedTuple):
    """An attempt has provably not started, so a retry is safe."""

    ticket: Ticket
    reason: Reason


class TaskLost(NamedTuple):
    """It is unknown whether an attempt started or finished."""

    ticket: Ticket
    reason: Reason


class VersionInForce(NamedTuple):
    """A new version of the configuration took effect."""

    version: int
    manifest: Manifest


class MembersChanged(NamedTuple):
    """The view of the entry VMs changed."""

    view: MemberView


class PeerSaid(NamedTuple):
    """A message of another entry VM arrived.

    Attributes:
        peer: Process that sent the message.
        message: Decoded message.
    """

    peer: Home
    message: PeerMessage


class Drain(NamedTuple):
    """A planned stop begins: new submissions are refused."""


class Seal(NamedTuple):
    """The last phase of a planned stop: tables are sealed and handed over."""


class Tick(NamedTuple):
    """Time has passed: due timers are called."""


ClaimEvent = ClaimsAppended | ClaimsNotAppended | ClaimsRead | ClaimsNotRead
AttemptResult = TaskFinished | TaskFailed | TaskNotStarted | TaskLost

Message = (
    Submit
    | SubmitKey
    | ClaimsAppended
    | ClaimsNotAppended
    | ClaimsRead
    | ClaimsNotRead
    | Leave
    | Cancel
    | TaskFinished
    | TaskFailed
    | TaskNotStarted
    | TaskLost
    | VersionInForce
    | MembersChanged
    | PeerSaid
    | Drain
    | Seal
    | Tick
)


class StartTask(NamedTuple):
    """Send a task to a backend server, once.

    Attributes:
        ticket: Identifies the attempt in the message with its result.
        address: IP address and port of the backend server.
        service: Service that runs the task.
        task_id: The caller's name for the task.
        payload: Input of the task.
        timeout_s: Time after which the attempt counts as lost, in seconds.
        can_look_up: Whether the backend server supports outcome look-ups by
            task reference.
    """

    ticket: Ticket
    address: str
    service: str
    task_id: str
    payload: Payload
    timeout_s: float
    can_look_up: bool = False


class Deliver(NamedTuple):
    """Send the answer of a submission to one waiting request.

    Attributes:
        caller: Number of the request, from its ``Submit``.
        submission_id: Identifier of the submission.
        answer: The complete answer.
    """

    caller: int
    submission_id: str
    answer: Answer


class CountReason(NamedTuple):
    """Increment a counter of refusals, failures or retries.

    Attributes:
        counter: Name of the counter family.
        reason: Value of the counter's reason label.
    """

    counter: str
    reason: str


class SendPeer(NamedTuple):
    """Send a message to another entry VM, without a delivery guarantee.

    Attributes:
        address: IP address and port on which the peer accepts links.
        message: Message to send.
    """

    address: str
    message: PeerMessage


class AppendClaims(NamedTuple):
    """Append claims to a stream of the log service, once.

    Attributes:
        stream: Name of the stream.
        batch: Batch number, returned in ``ClaimsAppended``.
        records: JSON records.
    """

    stream: str
    batch: int
    records: tuple[Mapping[str, str], ...]


class ReadClaims(NamedTuple):
    """Read claims from a stream of the log service, without waiting.

    Attributes:
        stream: Name of the stream.
        from_offset: Offset of the first record to read.
    """

    stream: str
    from_offset: int


class Explain(NamedTuple):
    """Record a decision, so that an outcome can be explained later.

    Attributes:
        submission_id: Submission that the decision concerns.
        event: Type of the decision, such as ``placed`` or ``refused``.
        facts: Reasons for the decision, plain JSON values by name.
    """

    submission_id: str
    event: str
    facts: Mapping[str, str | float | None]


Effect = (
    StartTask
    | Deliver
    | CountReason
    | SendPeer
    | AppendClaims
    | ReadClaims
    | Explain
)
