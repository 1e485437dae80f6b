"""Tracks peers by their own messages and by the platform's list of VMs.

The list lags and heartbeats can be missing for many reasons, so neither
source is sufficient.  A process counts as gone in three cases: another
incarnation sends messages from its VM; it announced that it leaves and then
sent no more messages; or it is silent and the platform's list no longer
contains its VM.
"""

from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.process.members import Member, MemberState
from camphorlink.internal.core.process.zone_links import VmKey
from camphorlink.internal.core.request.identifiers import Home

#: Time without messages after which a peer is suspect, in seconds: longer than
#: a usual pause of a process.
SUSPECT_S = 3.5
#: Time without messages after which an unlisted suspect counts as gone, in
#: seconds.
GONE_S = 30.0
#: Time without messages after which later messages of a gone process are
#: ignored, in seconds.
RETIRE_AFTER_S = 600.0
MAX_RETIRED = 1000


class ListedVm(NamedTuple):
    """An entry of the platform's list of entry VMs.

    Attributes:
        key: Zone and name of the VM.
        address: IP address and port for messages of other entry VMs.
        is_leaving: Whether the platform is about to remove the VM.
    """

    key: VmKey
    address: str
    is_leaving: bool = False


class KnownPeer:
    """A process that has sent a message to this one.

    Attributes:
        home: Identity of the process.
        address: Address that it announced, empty before its ``Hello``.
        weight: Size relative to other VMs, without a unit.
        reported_state: State in its latest heartbeat.
        version: Configuration version in its latest heartbeat.
        last_message_s: Time of its latest message, in seconds.
        is_gone: Whether it was gone at the latest assessment.
    """

    def __init__(self, home: Home, now: float) -> None:
        """Records the first message of the process ``home``."""
        self.home = home
        self.address = ''
        self.weight = 1.0
        self.reported_state = MemberState.LIVE
        self.version = 0
        self.last_message_s = now
        self.is_gone = False

    def is_silent(self, now: float) -> bool:
        """Returns whether no message arrived for ``SUSPECT_S``."""
        return now - self.last_message_s > SUSPECT_S


class PeerTable:
    """Stores the latest incarnation of each peer VM and assesses its state.

    Attributes:
        peer_by_key: Latest incarnation that sent a message, by VM.
        retired: Processes whose messages are ignored, by home.
        listed_by_key: The platform's list by VM, without this VM.
    """

    def __init__(self, me: Home) -> None:
        """Creates an empty table of the process ``me``."""
        self.peer_by_key: dict[VmKey, KnownPeer] = {}
        self.retired: dict[Home, Member] = {}
        self.listed_by_key: dict[VmKey, ListedVm] = {}
        self._key = key_of(me)

    def take_list(self, listed: Iterable[ListedVm]) -> None:
        """Replaces the platform's list."""
        self.listed_by_key = {
            entry.key: entry for entry in listed if entry.key != self._key
        }

    def record_contact(self, home: Home, now: float) -> KnownPeer | None:
        """Records a message; a new incarnation retires the previous one.

        Returns:
            The peer, or ``None`` for a retired process and for this VM.
        """
        key = key_of(home)
        if key == self._key or home in self.retired:
            return None
        peer = self.peer_by_key.get(key)
        if peer is not None and peer.home != home:
            self.retire(peer)
            peer = None
        if peer is None:
            peer = KnownPeer(home, now)
            self.peer_by_key[key] = peer
        peer.last_message_s = now
        return peer

    def retire(self, peer: KnownPeer) -> None:
        """Marks a process as gone and ignores its later messages."""
        self.retired[peer.home] = Member(
            peer.home,
            peer.address,
            MemberState.GONE,
            peer.weight,
        )
        while len(self.retired) > MAX_RETIRED:
            self.retired.pop(next(iter(self.retired)))

    def reset_silence(self, since_s: float) -> None:
        """Counts the silence of peers that are not gone from ``since_s``."""
        for peer in self.peer_by_key.values():
            if not peer.is_gone:
                peer.last_message_s = max(peer.last_message_s, since_s)

    def prune(self, now: float) -> None:
        """Retires processes that are gone and silent for RETIRE_AFTER_S."""
        for key, peer in list(self.peer_by_key.items()):
            if peer.is_gone and now - peer.last_message_s > RETIRE_AFTER_S:
                self.peer_by_key.pop(key)
                self.retire(peer)

    def members(self, now: float) -> dict[Home, Member]:
        """Assesses all peers and returns them with the retired processes."""
        members = dict(self.retired)
        for key, peer in self.peer_by_key.items():
            state = self.assess(peer, now)
            peer.is_gone = state is MemberState.GONE
            members[peer.home] = Member(
                peer.home,
                self.address_of(key),
                state,
                peer.weight,
            )
        return members

    def address_of(self, key: VmKey) -> str:
        """Returns the address of a VM for peers, empty if unknown."""
        peer = self.peer_by_key.get(key)
        if peer is not None and peer.address:
            return peer.address
        listed = self.listed_by_key.get(key)
        return '' if listed is None else listed.address

    def assess(self, peer: KnownPeer, now: float) -> MemberState:
        """Returns the state of a peer by its silence, heartbeat and listing."""
        listed = self.listed_by_key.get(key_of(peer.home))
        if not peer.is_silent(now):
            if (
                peer.reported_state is MemberState.LIVE
                and listed
                and listed.is_leaving
            ):
                return MemberState.LEAVING
            return peer.reported_state
        if peer.reported_state in {MemberState.LEAVING, MemberState.SEALED}:
            return MemberState.GONE
        if listed is None and now - peer.last_message_s > GONE_S:
            return MemberState.GONE
        return MemberState.SUSPECT


def key_of(home: Home) -> VmKey:
    """Returns the key of the VM on which a process runs."""
    return VmKey(home.zone, home.vm)
