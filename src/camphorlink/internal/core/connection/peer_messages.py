"""Messages between entry VMs.

Each is a named tuple of plain values.  Kinds are added, never changed: VMs of
two releases talk to each other during a rolling replacement, and a kind that
a VM does not know is counted and passed over.
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
    """First message on a link: who speaks.

    Attributes:
        zone: Availability zone of the sender.
        vm: Name of the sender's VM.
        incarnation: Random number of the sender's process start.
        address: IP number and port that the sender's peers reach it at.
        weight: Size of the sender's VM relative to others, a pure number.
    """

    zone: str
    vm: str
    incarnation: str
    address: str = ''
    weight: float = 1.0


class Heartbeat(NamedTuple):
    """Sign of life.

    Attributes:
        sequence: Rises by one with each heartbeat of the sender.
        version: Configuration version in force at the sender.
        state: The sender's own state, a value of ``MemberState``.
    """

    sequence: int
    version: int
    state: str


class ZoneRow(NamedTuple):
    """One entry VM as a report shows it.

    Attributes:
        vm: Name of the VM.
        incarnation: Random number of its process start.
        address: IP number and port for messages of other entry VMs.
        state: What the reporter thinks of it, a value of ``MemberState``.
        weight: Its size relative to others, a pure number.
    """

    vm: str
    incarnation: str
    address: str
    state: str
    weight: float


class ZoneReport(NamedTuple):
    """What the sender knows of one zone at first hand, or heard from there.

    Attributes:
        zone: The zone that the rows are about.
        rows: Its entry VMs; none when the sender hears nobody there.
    """

    zone: str
    rows: tuple[ZoneRow, ...]


class ConfigRequest(NamedTuple):
    """Asks for the configuration state, which the sender heard is newer.

    Attributes:
        version: Version in force at the sender.
    """

    version: int


class ConfigReply(NamedTuple):
    """Gives a configuration state to one who asked.

    Attributes:
        version: Version of the state.
        body: The state as a snapshot record, JSON compressed by zlib.
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

#: Kinds that the membership takes in; the entry core never sees them.
MEMBERSHIP_KINDS = (Hello, Heartbeat, ZoneReport)
#: Kinds by which VMs give each other the configuration.
CONFIG_KINDS = (ConfigRequest, ConfigReply)

PEER_MESSAGE_BY_KIND: dict[str, type[PeerMessage]] = {
    'hello': Hello,
    'heartbeat': Heartbeat,
    **SLOT_MESSAGE_BY_KIND,
    'zone-report': ZoneReport,
    'config-ask': ConfigRequest,
    'config-give': ConfigReply,
    **SUBMISSION_MESSAGE_BY_KIND,
}
