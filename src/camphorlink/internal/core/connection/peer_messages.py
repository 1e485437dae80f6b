"""Messages between entry VMs.

Each message is a named tuple of plain values.  Kinds are added, never changed:
during a rolling replacement VMs of two releases exchange messages, and a VM
counts and ignores messages of a kind that it does not know.
"""

from typing import NamedTuple

from camphorlink.internal.core.connection.slot_messages import (
    SLOT_MESSAGE_BY_KIND,
    SlotMessage,
)
from camphorlink.internal.core.connection.submission_messages import (
    SUBMISSION_MESSAGE_BY_KIND,
    SubmissionMessage,
)


class Hello(NamedTuple):
    """First message on a link, which identifies the sender.

    Attributes:
        zone: Availability zone of the sender.
        vm: Name of the sender's VM.
        incarnation: Random number that identifies the process of the sender;
            each start of the VM's process draws a new one.
        address: IP number and port at which the sender listens for peers.
        weight: Size of the sender's VM relative to other VMs, without a unit.
    """

    zone: str
    vm: str
    incarnation: str
    address: str = ''
    weight: float = 1.0


class Heartbeat(NamedTuple):
    """Periodic message that shows that the sender is alive.

    Attributes:
        sequence: Number that increases by one with each heartbeat.
        version: Configuration version in force at the sender.
        state: State of the sender, a value of ``MemberState``.
    """

    sequence: int
    version: int
    state: str


class ReportedMember(NamedTuple):
    """State of one entry VM in a zone report.

    Attributes:
        vm: Name of the VM.
        incarnation: Random number that identifies its process.
        address: IP number and port at which it listens for peers.
        state: Its state as seen by the reporter, a value of
            ``MemberState``.
        weight: Its size relative to other VMs, without a unit.
    """

    vm: str
    incarnation: str
    address: str
    state: str
    weight: float


class ZoneReport(NamedTuple):
    """Members of the sender's zone, or of another zone as reported by it.

    Attributes:
        zone: Name of the reported zone.
        rows: Its entry VMs; empty when the sender receives no messages from
            the zone.
    """

    zone: str
    rows: tuple[ReportedMember, ...]


class ConfigRequest(NamedTuple):
    """Requests the configuration state of a peer whose version is newer.

    Attributes:
        version: Version in force at the sender.
    """

    version: int


class ConfigReply(NamedTuple):
    """Sends a configuration state in reply to a ``ConfigRequest``.

    Attributes:
        version: Version of the state.
        body: The state as a snapshot record in JSON, compressed by zlib.
    """

    version: int
    body: bytes


ConfigMessage = ConfigRequest | ConfigReply
PeerMessage = (
    Hello
    | Heartbeat
    | ZoneReport
    | ConfigMessage
    | SlotMessage
    | SubmissionMessage
)

#: Types of the messages that the membership handles.  They are not passed on
#: to the entry core.
MEMBERSHIP_MESSAGE_TYPES = (Hello, Heartbeat, ZoneReport)
#: Types of the messages in which VMs exchange the configuration.
CONFIG_MESSAGE_TYPES = (ConfigRequest, ConfigReply)

PEER_MESSAGE_BY_KIND: dict[str, type[PeerMessage]] = {
    'hello': Hello,
    'heartbeat': Heartbeat,
    **SLOT_MESSAGE_BY_KIND,
    'zone-report': ZoneReport,
    'config-ask': ConfigRequest,
    'config-give': ConfigReply,
    **SUBMISSION_MESSAGE_BY_KIND,
}
