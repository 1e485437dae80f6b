"""What is known of each peer at first hand, joined with the platform's list.

The list lags and a heartbeat can be missing for many reasons, so neither
decides alone.  A process is believed to be gone when another incarnation
speaks for its VM, when it said that it would leave and then fell silent, or
when it is silent and the platform has taken it off its list.
"""

from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.process.members import Member, MemberState
from camphorlink.internal.core.process.zone_links import VmKey
from camphorlink.internal.core.request.identifiers import Home

#: Silence after which a peer is suspected; longer than a usual pause.
SUSPECT_S = 3.5
#: Silence after which a suspect that is off the list is gone.
GONE_S = 30.0
#: Silence after which a process that is gone will not be taken back.
RETIRE_AFTER_S = 600.0
MAX_RETIRED = 1000


class ListedVm(NamedTuple):
    """An entry VM on the platform's list.

    Attributes:
        key: Zone and name.
        address: IP number and port for messages of other entry VMs.
        is_leaving: Whether the platform is about to take it away.
    """

    key: VmKey
    address: str
    is_leaving: bool = False


class KnownPeer:
    """One process that has spoken to this one."""

    def __init__(self, home: Home, now: float) -> None:
        """Starts with the first word from it."""
        self.home = home
        self.address = ''
        self.weight = 1.0
        self.reported_state = MemberState.LIVE
        self.version = 0
        self.last_message_s = now
        self.is_gone = False

    def is_silent(self, now: float) -> bool:
        """Says whether it has not been heard for longer than a pause."""
        return now - self.last_message_s > SUSPECT_S


class PeerTable:
    """All peers by VM; at most one incarnation of a VM is not gone."""

    def __init__(self, me: Home) -> None:
        """Starts without peers."""
        self.peer_by_key: dict[VmKey, KnownPeer] = {}
        self.retired: dict[Home, Member] = {}
        self.listed_by_key: dict[VmKey, ListedVm] = {}
        self._key = key_of(me)

    def update_list(self, listed: Iterable[ListedVm]) -> None:
        """Replaces the platform's list."""
        self.listed_by_key = {
            entry.key: entry for entry in listed if entry.key != self._key
        }

    def hear(self, home: Home, now: float) -> KnownPeer | None:
        """Notes a sign of life; a new incarnation retires the one before.

        Returns:
            The peer, or ``None`` for a process that is gone for good.
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
        """Holds a process to be gone, whatever it may still say."""
        self.retired[peer.home] = Member(
            peer.home,
            peer.address,
            MemberState.GONE,
            peer.weight,
        )
        while len(self.retired) > MAX_RETIRED:
            self.retired.pop(next(iter(self.retired)))

    def reset_silence(self, since_s: float) -> None:
        """Counts everybody who is not gone as heard at ``since_s``."""
        for peer in self.peer_by_key.values():
            if not peer.is_gone:
                peer.last_message_s = max(peer.last_message_s, since_s)

    def prune(self, now: float) -> None:
        """Retires who has been gone for long."""
        for key, peer in list(self.peer_by_key.items()):
            if peer.is_gone and now - peer.last_message_s > RETIRE_AFTER_S:
                self.peer_by_key.pop(key)
                self.retire(peer)

    def members(self, now: float) -> dict[Home, Member]:
        """Judges every peer."""
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
        """Returns the peers' address of a VM, empty when unknown."""
        peer = self.peer_by_key.get(key)
        if peer is not None and peer.address:
            return peer.address
        listed = self.listed_by_key.get(key)
        return '' if listed is None else listed.address

    def assess(self, peer: KnownPeer, now: float) -> MemberState:
        """Says what is to be thought of a peer."""
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
    """Names the VM on which a process runs."""
    return VmKey(home.zone, home.vm)
