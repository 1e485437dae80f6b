"""Which entry VMs there are: heartbeats, reports between zones, one view.

Within a zone every VM hears every other.  Zones know each other by a few
links; what a VM hears over such a link it passes on to its own zone.  All
messages leave with the beat, so a change can't start a storm.
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
#: A beat that comes this late shows that this process itself was stopped.
OWN_PAUSE_S = 2.5

_SILENT_STATES = frozenset((MemberState.SUSPECT, MemberState.GONE))


class Membership:
    """Keeps the view of the entry VMs, and says whom to send what.

    Give it what peers say and what the platform lists, advance its timers,
    and carry out what ``take_effects`` returns.
    """

    def __init__(
        self,
        me: Member,
        timers: Timers,
        rng: random.Random,
        now: float,
    ) -> None:
        """Starts alone; the first beat comes at a random part of a period."""
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
        """Hands over the messages to send since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def set_state(self, state: MemberState, now: float) -> None:
        """Tells all peers at once that this VM is leaving, or has sealed."""
        self.me = self.me._replace(state=state)
        self._send_heartbeats(now)
        self._refresh(now)

    def announce_version(self, version: int, now: float) -> None:
        """Announces a new version at once, so that nobody waits a beat."""
        self.version = version
        self._send_heartbeats(now)

    def update_list(self, listed: Iterable[ListedVm], now: float) -> None:
        """Takes the platform's newest list."""
        self._peers.update_list(listed)
        self._refresh(now)

    def hear(self, home: Home, message: PeerMessage, now: float) -> None:
        """Takes a message of a peer, whatever it says, as a sign of life."""
        peer = self._peers.hear(home, now)
        if peer is None:
            return
        self._apply(message, peer, now)
        # Most messages are heartbeats that change nothing.
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
        """Anything else is no more than a sign of life."""

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
        if now - self._last_beat_s > OWN_PAUSE_S:
            # Nobody was heard because nobody was listened to.
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
            # A link whose far end is silent gets a substitute, and is tried
            # on: that is how a zone that was cut off is found again.
            chosen |= self._link_selector.choose(usable - silent)
        return chosen | (set(peer_by_key) - silent)

    def _known_vms(self) -> set[VmKey]:
        """Everyone whom it makes sense to talk to."""
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
        first_hand_reports = self._reports.first_hand()
        for key, peer in sorted(self._peers.peer_by_key.items()):
            address = self._address_of(key)
            if address and not peer.is_silent(now):
                due_reports = first_hand_reports if key.zone == zone else own
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
