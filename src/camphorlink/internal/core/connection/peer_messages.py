"""Messages between entry VMs.

Each is a named tuple of plain values.  Kinds are added, never changed: VMs of
two releases talk to each other during a rolling replacement, and a kind that
a VM does not know is counted and passed over.
"""

from typing import NamedTuple


class Hello(NamedTuple):
    """First message on a link: who speaks.

    Attributes:
        zone: Availability zone of the sender.
        vm: Name of the sender's VM.
        incarnation: Random number of the sender's process start.
    """

    zone: str
    vm: str
    incarnation: str


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


PeerMessage = Hello | Heartbeat

PEER_MESSAGE_BY_KIND: dict[str, type[PeerMessage]] = {
    'hello': Hello,
    'heartbeat': Heartbeat,
}
