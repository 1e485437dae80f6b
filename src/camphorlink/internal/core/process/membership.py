"""Detects the live entry VMs by heartbeats and by reports between zones.

Within a zone every VM exchanges heartbeats with every other.  Two zones
are connected by a few links, and a VM forwards the zone reports that it
receives over such a link to its own zone.  Changes seen in messages are
forwarded only with the next periodic heartbeat, so that a change can't
trigger a message storm.
"""

import random
from collections.abc import Iterable
from functools import singledispatchmethod

from camphorlink.internal.core.connection.peer_messages import (
    Heartbeat,
    Hello,
    PeerMessage,
    ZoneReport,
)
from camphorlink.internal.core.process.members import (
    Member,
    MemberState,
    MemberView,
    build_view,
)
from camphorlink.internal.core.process.messages import SendPeer
from camphorlink.internal.core.process.peer_table import (
    KnownPeer,
    ListedVm,
    PeerTable,
    key_of,
)
from camphorlink.internal.core.process.report_handler import ReportHandler
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.process.zone_links import LinkSelector, VmKey
from camphorlink.internal.core.process.zone_reports import (
    ZoneReports,
    build_report,
    decode_state,
)
from camphorlink.internal.core.request.identifiers import Home

HEARTBEAT_S = 1.0
#: A longer time between two heartbeats shows that this process was paused.
MAX_BEAT_INTERVAL_S = 2.5

_SILENT_STATES = frozenset((MemberState.SUSPECT, MemberState.GONE))


class Membership:
    """Maintains the view of the entry VMs and decides which messages to send.

    The owner passes in the messages of peers and the platform's list of VMs,
    advances the timers, and executes the effects of ``take_effects``.

    Attributes:
        me: The member entry of this process.
        version: Configuration version that the heartbeats announce.
        view: Current view of the entry VMs.
        counts: Event counters by name.
    """

    def __init__(
        self,
        me: Member,
        timers: Timers,
        rng: random.Random,
        now: float,
    ) -> None:
        """Creates a view of this VM alone and schedules the first heartbeat.

        Args:
            me: The member entry of this process.
            timers: Timer service of the owner.
            rng: Chooses the delay of the first heartbeat at random within
                one period, which spreads the heartbeats of a fleet.
            now: Time in seconds.
        """
        self.me = me
        self.version = 0
        self.view = MemberView((me,))
        self.counts = {'beats': 0, 'own-pauses': 0}
        self._key = key_of(me.home)
        self._peers = PeerTable(me.home)
        self._reports = ZoneReports()
        self._report_handler = ReportHandler()
        self._link_selector = LinkSelector(self._key)
        self._effects: list[SendPeer] = []
        self._state_by_home: dict[Home, MemberState] = {}
        self._timers = timers
        self._last_beat_s = now
        timers.call_at(now + rng.uniform(0, HEARTBEAT_S), self._beat)

    def take_effects(self) -> list[SendPeer]:
        """Returns and clears the messages to send since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def set_state(self, state: MemberState, now: float) -> None:
        """Sets the state of this VM and sends it to all peers at once."""
        self.me = self.me._replace(state=state)
        self._send_heartbeats(now)
        self._refresh(now)

    def announce_version(self, version: int, now: float) -> None:
        """Sends a new configuration version without waiting for a period."""
        self.version = version
        self._send_heartbeats(now)

    def take_list(self, listed: Iterable[ListedVm], now: float) -> None:
        """Replaces the platform's list of entry VMs."""
        self._peers.take_list(listed)
        self._refresh(now)

    def hear(self, home: Home, message: PeerMessage, now: float) -> None:
        """Processes a message of a peer; any type counts as a heartbeat."""
        peer = self._peers.record_contact(home, now)
        if peer is None:
            return
        self._apply(message, peer, now)
        # Most messages are heartbeats that don't change the view.
        state = self._peers.assess(peer, now)
        is_same = self._state_by_home.get(home) is state
        if not is_same or not isinstance(message, Heartbeat):
            self._refresh(now)

    @singledispatchmethod
    def _apply(
        self,
        message: PeerMessage,
        peer: KnownPeer,
        now: float,
    ) -> None:
        """Ignores the contents of other message types."""

    @_apply.register
    def _apply_hello(
        self,
        message: Hello,
        peer: KnownPeer,
        now: float,
    ) -> None:
        peer.address = message.address
        peer.weight = message.weight
        self._report_handler.forget(message.address)

    @_apply.register
    def _apply_heartbeat(
        self,
        message: Heartbeat,
        peer: KnownPeer,
        now: float,
    ) -> None:
        peer.version = message.version
        peer.reported_state = decode_state(message.state)

    @_apply.register
    def _apply_report(
        self,
        message: ZoneReport,
        peer: KnownPeer,
        now: float,
    ) -> None:
        if message.zone != self._key.zone:
            self._reports.put(peer.home, message, now)

    def _beat(self, now: float) -> None:
        if now - self._last_beat_s > MAX_BEAT_INTERVAL_S:
            # The peers seem silent only because this process was paused.
            self.counts['own-pauses'] += 1
            self._peers.reset_silence(now - HEARTBEAT_S)
        self._last_beat_s = now
        self._send_heartbeats(now)
        self._refresh(now)
        self._send_reports(now)
        self._peers.prune(now)
        self._reports.prune(now)
        self._timers.call_at(now + HEARTBEAT_S, self._beat)

    def _send_heartbeats(self, now: float) -> None:
        self.counts['beats'] += 1
        beat = Heartbeat(
            self.counts['beats'],
            self.version,
            self.me.state.value,
        )
        for key in sorted(self._choose_targets(now)):
            address = self._address_of(key)
            if address:
                self._effects.append(SendPeer(address, beat))

    def _choose_targets(self, now: float) -> set[VmKey]:
        peer_by_key = self._peers.peer_by_key
        usable = self._known_vms()
        silent = {key for key in peer_by_key if peer_by_key[key].is_silent(now)}
        chosen = set(self._link_selector.choose(usable))
        if not self._link_selector.is_full_mesh(usable):
            # A link with a silent far end gets a replacement.  Heartbeats on
            # the old link continue, to detect the end of a partition.
            chosen |= self._link_selector.choose(usable - silent)
        return chosen | (set(peer_by_key) - silent)

    def _known_vms(self) -> set[VmKey]:
        """Returns the VMs that are not gone, or are reported or listed."""
        peer_by_key = self._peers.peer_by_key
        known = {key for key in peer_by_key if not peer_by_key[key].is_gone}
        reported = set(map(key_of, self._reports.members_by_home))
        return known | reported | set(self._peers.listed_by_key)

    def _address_of(self, key: VmKey) -> str:
        address = self._peers.address_of(key)
        if address:
            return address
        for home, member in self._reports.members_by_home.items():
            if key_of(home) == key:
                return member.address
        return ''

    def _send_reports(self, now: float) -> None:
        if self._link_selector.is_full_mesh(self._known_vms()):
            return
        zone = self._key.zone
        own = [build_report(zone, self.view.in_zone(zone))]
        direct_reports = self._reports.list_direct_reports()
        for key, peer in sorted(self._peers.peer_by_key.items()):
            address = self._address_of(key)
            if address and not peer.is_silent(now):
                due_reports = direct_reports if key.zone == zone else own
                self._effects.extend(
                    self._report_handler.take_due(address, due_reports, now)
                )

    def _refresh(self, now: float) -> None:
        members = self._peers.members(now)
        silent = {
            home
            for home, member in members.items()
            if member.state in _SILENT_STATES
        }
        self._reports.drop(silent, now)
        self._add_reported(members)
        members[self.me.home] = self.me
        view = build_view(members.values())
        if view != self.view:
            self.view = view
            self._state_by_home = {
                member.home: member.state for member in view.members
            }
            self._report_handler.keep_only(
                {
                    member.address
                    for member in view.members
                    if member.state not in _SILENT_STATES
                },
            )

    def _add_reported(self, members: dict[Home, Member]) -> None:
        for home, member in self._reports.members_by_home.items():
            if home in self._peers.retired:
                continue
            peer = self._peers.peer_by_key.get(key_of(home))
            if peer is None or members[peer.home].state in _SILENT_STATES:
                members[home] = member
