"""Messages into the entry core, and the effects that it asks for.

A shell turns what happens outside into messages, hands them over with the
time, and carries out the effects.  Both sides are plain data, so they can
be recorded, replayed and compared.
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
    """One try of one task at one backend server.

    Attributes:
        submission_id: Text form of the submission's identifier.
        position: Position of the task in its job.
        attempt: Number of the try, from 1.
        backend: Name of the backend server.
    """

    submission_id: str
    position: int
    attempt: int
    backend: str


class Submit(NamedTuple):
    """A caller, or another entry VM for it, submits a job.

    Attributes:
        submission_id: Names the home that alone may start the job.
        job: What is to be run.
        caller: Number of the request that waits for the answer, or the
            entry VM that sent the job on.
    """

    submission_id: SubmissionId
    job: Job
    caller: int | Home


class SubmitKey(NamedTuple):
    """A caller submits a job under a key of its own.

    Attributes:
        key: The caller's key.
        issued_ms: Time when the caller first used the key, epoch ms.
        submission_id: Fresh identifier of this home, to be claimed.
        job: What is to be run.
        caller: Number of the request that waits for the answer.
    """

    key: CallerKey
    issued_ms: int
    submission_id: SubmissionId
    job: Job
    caller: int


class ClaimsAppended(NamedTuple):
    """Claims were appended next to each other.

    Attributes:
        stream: Name of the stream.
        batch: Number that the append was asked for under.
        first_offset: Offset of the first one.
    """

    stream: str
    batch: int
    first_offset: int


class ClaimsNotAppended(NamedTuple):
    """An append failed.

    Attributes:
        stream: Name of the stream.
        is_uncertain: Whether the claims may be in the stream all the same.
    """

    stream: str
    is_uncertain: bool


class ClaimsRead(NamedTuple):
    """Claims were read.

    Attributes:
        stream: Name of the stream.
        records: In the order of their offsets.
        earliest_offset: First offset that is still kept.
        next_offset: Offset that the next append will get.
    """

    stream: str
    records: tuple[StoredClaim, ...]
    earliest_offset: int
    next_offset: int


class ClaimsNotRead(NamedTuple):
    """A read failed."""

    stream: str


class Leave(NamedTuple):
    """A request stopped waiting; its submission goes on."""

    submission_id: str
    caller: int


class Cancel(NamedTuple):
    """A caller gives up a submission."""

    submission_id: str


class TaskFinished(NamedTuple):
    """A backend server answered with a result."""

    ticket: Ticket
    task_result: Payload


class TaskFailed(NamedTuple):
    """A backend server ran the task and reports that it failed."""

    ticket: Ticket
    detail: str


class TaskNotStarted(NamedTuple):
    """There is proof that this try never started."""

    ticket: Ticket
    reason: Reason


class TaskLost(NamedTuple):
    """It can't be told whether this try started or finished."""

    ticket: Ticket
    reason: Reason


class VersionInForce(NamedTuple):
    """A version of the configuration has come into force."""

    version: int
    manifest: Manifest


class MembersChanged(NamedTuple):
    """The view of the entry VMs has changed."""

    view: MemberView


class PeerSaid(NamedTuple):
    """Another entry VM sent a message.

    Attributes:
        peer: The process that sent it.
        message: What it said.
    """

    peer: Home
    message: PeerMessage


class Drain(NamedTuple):
    """A planned stop begins: nothing new is admitted."""


class Seal(NamedTuple):
    """A planned stop ends: the tables are sealed and handed over."""


class Tick(NamedTuple):
    """Time has passed; timers that are due are called."""


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
        ticket: Comes back with what became of the try.
        address: IP number and port of the backend server.
        service: Service that is to run the task.
        task_id: The caller's name for the task.
        payload: What the task works on.
        timeout_s: Seconds after which the try counts as lost.
        can_look_up: Whether the backend server tells what became of a task.
    """

    ticket: Ticket
    address: str
    service: str
    task_id: str
    payload: Payload
    timeout_s: float
    can_look_up: bool = False


class Deliver(NamedTuple):
    """Give one waiting request its answer.

    Attributes:
        caller: Number of the request, as its ``Submit`` had it.
        submission_id: The submission that was asked for.
        answer: The whole answer.
    """

    caller: int
    submission_id: str
    answer: Answer


class CountReason(NamedTuple):
    """Add one to a counter of refusals or retries.

    Attributes:
        counter: Name of the counter family.
        reason: Label of the counter.
    """

    counter: str
    reason: str


class SendPeer(NamedTuple):
    """Send a message to another entry VM; it may get lost.

    Attributes:
        address: IP number and port of the peer's links.
        message: What to say.
    """

    address: str
    message: PeerMessage


class AppendClaims(NamedTuple):
    """Append claims to a stream of the log service, once.

    Attributes:
        stream: Name of the stream.
        batch: Comes back with the offset.
        records: JSON records.
    """

    stream: str
    batch: int
    records: tuple[Mapping[str, str], ...]


class ReadClaims(NamedTuple):
    """Read claims from a stream of the log service, without waiting.

    Attributes:
        stream: Name of the stream.
        from_offset: First offset of interest.
    """

    stream: str
    from_offset: int


class Explain(NamedTuple):
    """Record a decision, so that an outcome can be explained afterwards.

    Attributes:
        submission_id: The submission that the decision is about.
        event: What was decided, such as ``placed`` or ``refused``.
        facts: Why, as plain JSON values by name.
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
