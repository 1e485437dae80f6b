"""Detects the failure of other entry VMs and sends them messages.

A VM keeps channels to the VMs that own cells, since it coordinates jobs that
run there.  Owners answer on these channels.  VMs that own no cell exchange
nothing with each other.
"""

import asyncio
import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple, Self

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    NodeMessage,
    Stamp,
)
from camphorlink.internal.core.process.cell_ownership import (
    ListedMember,
    PeerView,
)
from camphorlink.internal.core.process.coordinator_leases import (
    CoordinatorLeases,
)
from camphorlink.internal.shell.connection.mesh import (
    Address,
    Mesh,
    encode_frame,
)
from camphorlink.internal.shell.ports import LogPort
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.member_directory import (
    MemberDirectory,
)
from camphorlink.internal.shell.process.outbox import Outbox
from camphorlink.internal.shell.process.owner_links import OwnerLinks
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms

#: Time without a message after which a peer is considered lost and the tasks
#: that it coordinates are stopped, in seconds: its callers send a job again
#: 1.3 s after they lost their connection to it.
PEER_TIMEOUT_S = 0.9
#: Time within which a peer reopens a channel that was reset, in seconds.
REOPEN_TIMEOUT_S = 0.25
#: Time since the last message to a peer after which it gets a heartbeat, in
#: seconds: slightly less than the period of the checks.
HEARTBEAT_AFTER_S = 0.15
#: The same since its last heartbeat, whatever else was sent, in seconds:
#: heartbeats also tell whether the store is in reach.
MAX_HEARTBEAT_INTERVAL_S = 0.55


class NodeSettings(NamedTuple):
    """Settings of an entry VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        zones: All availability zones.
        mesh: Address on which it listens for its peers.
        cores: Processor capacity of the VM, in cores.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    mesh: Address
    cores: float = 1.0


class _Link:
    """What is known about a live peer.

    Attributes:
        beat: Its latest heartbeat.
        channel: Channel on which it gets messages.
        heard_s: Time of its latest message, in seconds.
        echo_s: Newest send time of its messages, on its clock, in seconds.
        sent_s: Time of the latest message to it, in seconds.
        granted_s: Time of the latest message to it with an echo, in seconds.
        beat_sent_s: Time of the latest heartbeat to it, in seconds.
    """

    __slots__ = ('beat', 'beat_sent_s', 'channel', 'echo_s',
                 'granted_s', 'heard_s', 'sent_s')  # fmt: skip

    def __init__(
        self, beat: Beat, channel: int, echo_s: float, now: float
    ) -> None:
        self.beat = beat
        self.channel = channel
        self.heard_s = now
        self.echo_s = echo_s
        self.sent_s = -math.inf
        self.granted_s = -math.inf
        self.beat_sent_s = -math.inf

    def needs_heartbeat(self, now: float, is_owner: bool) -> bool:
        """Returns whether the peer must get a heartbeat now.

        The owner of a cell also needs grants for the tasks that it runs.
        """
        last_s = self.granted_s if is_owner else self.sent_s
        return (
            now - last_s > HEARTBEAT_AFTER_S
            or now - self.beat_sent_s > MAX_HEARTBEAT_INTERVAL_S
        )


class Peers(StackOwner):
    """Tracks the linked entry VMs and exchanges messages with them.

    Attributes:
        member: Name of this process.
        counts: Number of messages that could not be sent, by kind.
        leases: Leases that the peers have granted to this VM.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log: LogPort,
        on_message: Callable[[NodeMessage, Stamp], None],
        on_linked: Callable[[str], None],
        on_lost: Callable[[str, float], None],
    ) -> None:
        """Creates the tracker; it listens once the context is entered.

        Args:
            settings: Settings of this VM.
            log: The store.
            on_message: Called with each message of a peer and its times.
            on_linked: Called with each member to which messages now go on a
                new channel.
            on_lost: Called with each lost member and the time since its last
                message, in seconds.
        """
        super().__init__()
        self.member = f'{settings.name}#{wall_ms():x}'
        self.counts: collections.Counter[str] = collections.Counter()
        self._settings = settings
        self.leases = CoordinatorLeases(self.member)
        self._on_message = on_message
        self._on_linked = on_linked
        self._on_lost = on_lost
        self._link_by_member: dict[str, _Link] = {}
        self._member_by_channel: dict[int, str] = {}
        self._outbox = Outbox()
        self._log = PartLog('peers')
        self._mesh = Mesh(settings.mesh, self, PartLog('mesh'))
        self._last_beat = self._build_beat(PEER_TIMEOUT_S, False, {}, 0)
        self._links = OwnerLinks(self._mesh.set_peers)
        self._directory = MemberDirectory(
            settings.name,
            ListedMember(self.member, settings.zone, settings.cores),
            self._mesh,
            log,
            self._links.update_entries,
        )

    async def __aenter__(self) -> Self:
        """Starts to listen, to register and to read the list of members."""
        await self._stack.enter_async_context(self._mesh)
        await self._stack.enter_async_context(self._directory)
        return self

    @property
    def views(self) -> list[PeerView]:
        """State of each linked peer."""
        now = now_s()
        return [
            PeerView(
                member,
                link.beat.zone,
                now - link.heard_s,
                link.beat.store_age_s,
                link.beat.is_leaving,
            )
            for member, link in self._link_by_member.items()
        ]

    @property
    def listed(self) -> list[ListedMember]:
        """Process, zone and size of each registered VM but this one."""
        return self._directory.listed

    @property
    def known_count(self) -> int:
        """Number of linked peers."""
        return len(self._link_by_member)

    def link_owners(self, owners: Iterable[str]) -> None:
        """Opens channels to the owners of cells."""
        self._links.link(set(owners) - {self.member})

    def broadcast(self, message: NodeMessage) -> None:
        """Sends a message to all linked peers."""
        now = now_s()
        frame = encode_frame(message)
        link_by_channel = {
            link.channel: link for link in self._link_by_member.values()
        }
        for channel in self._mesh.broadcast(link_by_channel, frame):
            link_by_channel[channel].sent_s = now

    def send(self, member: str, message: NodeMessage) -> None:
        """Sends a message to one peer, with the lease that it extends.

        If the channel does not take it, the message is counted and the channel
        is closed, since a new one starts with the state that the peer lacks.
        """
        now = now_s()
        link = self._link_by_member.get(member)
        if link is not None:
            frame = encode_frame(message, link.echo_s)
            self._outbox.add(member, frame, now)
            if self._mesh.send_frame(link.channel, frame):
                link.sent_s = now
                link.granted_s = now
                return
            if self._outbox.may_resend(member, now):
                return
            self.restart_channel(member)
        kind = type(message).__name__
        self.counts[kind] += 1
        self._log.info(
            'message not sent',
            extra={'peer': member, 'kind': kind},
        )

    def send_heartbeats(
        self,
        store_age_s: float,
        is_leaving: bool,
        waiting_by_cell: dict[str, dict[str, int]],
        next_offset: int,
    ) -> None:
        """Sends heartbeats that are due, and removes peers that timed out.

        Args:
            store_age_s: Time since the last answer of the store, in seconds.
            is_leaving: Whether this VM is stopping.
            waiting_by_cell: Waiting jobs by queue, for each cell owned.
            next_offset: Offset of the next record of the job log to apply.
        """
        has_news = is_leaving and not self._last_beat.is_leaving
        self._last_beat = self._build_beat(
            store_age_s, is_leaving, waiting_by_cell, next_offset
        )
        now = now_s()
        owners = self._links.targets
        due_links = {
            member: link
            for member, link in self._link_by_member.items()
            if has_news or link.needs_heartbeat(now, member in owners)
        }
        for member in sorted(due_links.keys() & owners):
            link = due_links.pop(member)
            frame = encode_frame(self._last_beat, link.echo_s)
            if self._mesh.send_frame(link.channel, frame):
                link.sent_s = now
                link.beat_sent_s = now
                link.granted_s = now
        link_by_channel = {link.channel: link for link in due_links.values()}
        frame = encode_frame(self._last_beat)
        for channel in self._mesh.broadcast(link_by_channel, frame):
            link_by_channel[channel].sent_s = now
            link_by_channel[channel].beat_sent_s = now
        for member, link in list(self._link_by_member.items()):
            if now - link.heard_s > PEER_TIMEOUT_S:
                self._remove_peer(member, 'silent')
                # The channels may transmit nothing any more; a new one may.
                self.restart_channel(member)

    def restart_channel(self, member: str) -> None:
        """Closes the channels to a member; a new one starts a new session.

        Two owners have a channel each, and may send on different ones.
        """
        for channel, other in list(self._member_by_channel.items()):
            if other == member:
                self._mesh.abort(channel)

    async def withdraw(self) -> None:
        """Removes this VM from the list of members if the store accepts it."""
        await self._directory.withdraw()

    # Events of the mesh.

    def build_greeting(self) -> NodeMessage:
        """Returns the first message of each channel; it identifies this VM."""
        return self._last_beat

    def handle_message(
        self, message: NodeMessage, stamp: Stamp, channel: int
    ) -> None:
        """Processes a message of a peer."""
        now = now_s()
        if isinstance(message, Beat):
            self._record_beat(message, stamp, channel, now)
        member = self._member_by_channel.get(channel, '')
        link = self._link_by_member.get(member)
        if link is not None:
            link.heard_s = now
            link.echo_s = max(link.echo_s, stamp.sent_s)
            if stamp.echo_s is not None:
                self.leases.renew(member, stamp.echo_s, now)
        self._on_message(message, stamp)

    def handle_closed_channel(self, channel: int) -> None:
        """Schedules a check whether the peer of a closed channel is back.

        The peer is removed unless it has another channel or opens one in
        time.
        """
        member = self._member_by_channel.pop(channel, None)
        link = self._link_by_member.get(member or '')
        if member is None or link is None or link.channel != channel:
            return
        now = now_s()
        other_channels = [
            number
            for number, other in self._member_by_channel.items()
            if other == member
        ]
        self._outbox.record_loss(member, now)
        if other_channels:
            self._use_channel(member, link, other_channels[0], now)
        else:
            asyncio.get_running_loop().call_later(
                REOPEN_TIMEOUT_S, self._check_reopened, member, channel
            )

    def handle_refused_connection(self, address: Address) -> None:
        """Removes a peer at once, because no process listens at its address."""
        for member, link in list(self._link_by_member.items()):
            if Address(link.beat.ip, link.beat.port) == address:
                self._remove_peer(member, 'refused')

    def _record_beat(
        self, beat: Beat, stamp: Stamp, channel: int, now: float
    ) -> None:
        self._member_by_channel[channel] = beat.member
        link = self._link_by_member.get(beat.member)
        if link is None:
            link = _Link(beat, channel, stamp.sent_s, now)
            self._link_by_member[beat.member] = link
            self._use_channel(beat.member, link, channel, now)
        elif link.channel not in self._member_by_channel:
            self._use_channel(beat.member, link, channel, now)
        link.beat = beat

    def _use_channel(
        self, member: str, link: _Link, channel: int, now: float
    ) -> None:
        """Sends later messages, and those that may be lost, on a channel."""
        link.channel = channel
        for frame in self._outbox.pop_lost(member):
            self._mesh.send_frame(channel, frame)
        self._log.debug(
            'peer linked', extra={'peer': member, 'age_s': now - link.heard_s}
        )
        self._on_linked(member)

    def _check_reopened(self, member: str, channel: int) -> None:
        link = self._link_by_member.get(member)
        if link is not None and link.channel == channel:
            self._remove_peer(member, 'closed')

    def _remove_peer(self, member: str, reason: str) -> None:
        self._log.info(
            'peer considered lost', extra={'peer': member, 'why': reason}
        )
        link = self._link_by_member.pop(member)
        self._outbox.forget(member)
        try:
            self._on_lost(member, now_s() - link.heard_s)
        finally:
            self.leases.forget(member)

    def _build_beat(
        self,
        store_age_s: float,
        is_leaving: bool,
        waiting_by_cell: dict[str, dict[str, int]],
        next_offset: int,
    ) -> Beat:
        return Beat(
            self.member,
            self._settings.mesh.ip,
            self._mesh.port,
            self._settings.zone,
            store_age_s,
            is_leaving,
            waiting_by_cell,
            next_offset,
        )
