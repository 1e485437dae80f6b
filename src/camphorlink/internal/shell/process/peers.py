"""Discovers the other entry VMs, detects their failure and sends them messages.

Each VM registers its address in the store under its name.  Heartbeats and all
other messages are sent over the mesh.
"""

import asyncio
import collections
from collections.abc import Callable, Collection
from typing import NamedTuple, Self

import cbor2

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    NodeMessage,
)
from camphorlink.internal.core.process.cell_ownership import PeerView
from camphorlink.internal.shell.connection.mesh import Address, Mesh
from camphorlink.internal.shell.ports import KeyedRecord, LogPort
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms
from camphorlink.store_errors import StoreError

MEMBERS_TOPIC = 'keyed.camphorlink-members'
#: Time without a heartbeat after which a peer is considered lost and the tasks
#: that it coordinates are stopped, in seconds: its callers send a job again
#: 1.3 s after they lost their connection to it.
PEER_TIMEOUT_S = 0.9
#: The same between VMs of which neither owns a cell, in seconds: neither runs
#: tasks for the other, and they send each other fewer heartbeats.
DISTANT_PEER_TIMEOUT_S = 2.0
#: Time within which a peer reopens a channel that was reset, in seconds.
REOPEN_TIMEOUT_S = 0.25
#: Longest time that one read of the members waits for a change, in seconds.
MEMBERS_WAIT_S = 5.0
STORE_TIMEOUT_S = 1.5
STORE_RETRY_DELAY_S = 0.3
#: Timeout of the withdrawal of a stopping VM, in seconds: its grace period is
#: short.
WITHDRAW_TIMEOUT_S = 0.4


class NodeSettings(NamedTuple):
    """Settings of an entry VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        zones: All availability zones.
        mesh: Address on which it listens for its peers.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    mesh: Address


class Peers(StackOwner):
    """Tracks the other entry VMs and exchanges messages with them.

    Attributes:
        member: Name of this process.
        counts: Number of messages that could not be sent, by kind.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log: LogPort,
        on_message: Callable[[NodeMessage], None],
        on_lost: Callable[[str, float], None],
    ) -> None:
        """Creates the tracker; it listens once the context is entered.

        Args:
            settings: Settings of this VM.
            log: The store.
            on_message: Called with each message of a peer.
            on_lost: Called with each lost member and the time since its last
                heartbeat, in seconds.
        """
        super().__init__()
        self.member = f'{settings.name}#{wall_ms():x}'
        self.counts: collections.Counter[str] = collections.Counter()
        self._settings = settings
        self._store = log
        self._on_message = on_message
        self._on_lost = on_lost
        self._beat_by_member: dict[str, Beat] = {}
        self._last_heartbeat_s_by_member: dict[str, float] = {}
        self._member_by_channel: dict[int, str] = {}
        self._log = PartLog('peers')
        self._last_beat = Beat(
            self.member,
            settings.mesh.ip,
            settings.mesh.port,
            settings.zone,
            PEER_TIMEOUT_S,
            False,
            {},
        )
        self._mesh = Mesh(
            settings.mesh,
            self,
            PartLog('mesh'),
        )

    async def __aenter__(self) -> Self:
        """Starts to listen, to register and to read the list of members."""
        await self._stack.enter_async_context(self._mesh)
        follow = asyncio.get_running_loop().create_task(self._follow_members())
        self._stack.callback(follow.cancel)
        return self

    @property
    def views(self) -> list[PeerView]:
        """State of each live peer."""
        now = now_s()
        return [
            PeerView(
                member,
                heartbeat.zone,
                now - self._last_heartbeat_s_by_member[member],
                heartbeat.store_age_s,
                heartbeat.is_leaving,
            )
            for member, heartbeat in self._beat_by_member.items()
        ]

    @property
    def known_count(self) -> int:
        """Number of live peers."""
        return len(self._beat_by_member)

    def is_known(self, member: str) -> bool:
        """Returns whether a member is a live peer."""
        return member in self._beat_by_member

    def broadcast(self, message: NodeMessage) -> None:
        """Sends a message to all reachable peers."""
        self._mesh.broadcast(message)

    def send(self, member: str, message: NodeMessage) -> None:
        """Sends a message to one peer; counts it if the peer is unreachable."""
        heartbeat = self._beat_by_member.get(member)
        if heartbeat is None or not self._mesh.send(
            Address(heartbeat.ip, heartbeat.port),
            message,
        ):
            kind = type(message).__name__
            self.counts[kind] += 1
            self._log.info(
                'message not sent',
                extra={'peer': member, 'kind': kind},
            )

    def send_heartbeat(
        self,
        store_age_s: float,
        is_leaving: bool,
        waiting_by_cell: dict[str, dict[str, int]],
        near_members: Collection[str] | None,
        to_all: bool,
    ) -> None:
        """Sends a heartbeat to peers, and removes peers that timed out.

        Args:
            store_age_s: Time since the last answer of the store, in seconds.
            is_leaving: Whether this VM is stopping.
            waiting_by_cell: Waiting jobs by queue, for each cell owned.
            near_members: Members that exchange tasks with this VM; ``None``
                for all.
            to_all: Whether the heartbeat also goes to all other peers.
        """
        self._last_beat = Beat(
            self.member,
            self._settings.mesh.ip,
            self._mesh.port,
            self._settings.zone,
            store_age_s,
            is_leaving,
            waiting_by_cell,
        )
        if to_all or near_members is None:
            self._mesh.broadcast(self._last_beat)
        else:
            for member in self._beat_by_member.keys() & near_members:
                self.send(member, self._last_beat)
        now = now_s()
        for member, last_heartbeat_s in list(
            self._last_heartbeat_s_by_member.items()
        ):
            is_near = near_members is None or member in near_members
            limit_s = PEER_TIMEOUT_S if is_near else DISTANT_PEER_TIMEOUT_S
            if now - last_heartbeat_s > limit_s:
                self._remove_peer(member, 'silent')

    def build_greeting(self) -> NodeMessage:
        """Returns the first message of each channel; it identifies this VM."""
        return self._last_beat

    def handle_message(self, message: NodeMessage, channel: int) -> None:
        """Processes a message of a peer."""
        if isinstance(message, Beat):
            self._member_by_channel[channel] = message.member
            self._beat_by_member[message.member] = message
            self._last_heartbeat_s_by_member[message.member] = now_s()
        self._on_message(message)

    def handle_closed_channel(self, channel: int) -> None:
        """Schedules a check whether the peer of a closed channel is back.

        The peer is removed unless it reopens a channel in time.
        """
        member = self._member_by_channel.pop(channel, None)
        if member is None or member in self._member_by_channel.values():
            return
        if member in self._beat_by_member:
            loop = asyncio.get_running_loop()
            loop.call_later(
                REOPEN_TIMEOUT_S, self._check_reopened, member, now_s()
            )

    def _check_reopened(self, member: str, closed_s: float) -> None:
        last_heartbeat_s = self._last_heartbeat_s_by_member.get(member)
        if last_heartbeat_s is not None and last_heartbeat_s < closed_s:
            self._remove_peer(member, 'closed')

    def handle_refused_connection(self, address: Address) -> None:
        """Removes a peer at once, because no process listens at its address."""
        for member, heartbeat in list(self._beat_by_member.items()):
            if Address(heartbeat.ip, heartbeat.port) == address:
                self._remove_peer(member, 'refused')

    def _remove_peer(self, member: str, reason: str) -> None:
        self._log.info(
            'peer considered lost', extra={'peer': member, 'why': reason}
        )
        self._beat_by_member.pop(member)
        silent_s = now_s() - self._last_heartbeat_s_by_member.pop(member)
        self._on_lost(member, silent_s)

    async def _follow_members(self) -> None:
        while True:
            try:
                await self._register()
                await self._read_members()
            except StoreError as exc:
                self._log.info(
                    'registering or reading the members failed',
                    extra={'error': str(exc)},
                )
                await asyncio.sleep(STORE_RETRY_DELAY_S)

    async def _register(self) -> None:
        mesh = self._settings.mesh
        entry = cbor2.dumps([self.member, mesh.ip, self._mesh.port])
        await self._store.append(
            MEMBERS_TOPIC,
            [self._store.encode_keyed(self._settings.name, entry)],
            STORE_TIMEOUT_S,
        )

    async def withdraw(self) -> None:
        """Removes this VM from the list of members if the store accepts it."""
        try:
            await self._store.append(
                MEMBERS_TOPIC,
                [self._store.encode_keyed(self._settings.name, b'')],
                WITHDRAW_TIMEOUT_S,
            )
        except StoreError as exc:
            self._log.info(
                'could not be removed from the list of members',
                extra={'error': str(exc)},
            )

    async def _read_members(self) -> None:
        while True:
            items, offset = await self._store.read_newest(
                MEMBERS_TOPIC,
                STORE_TIMEOUT_S,
            )
            self._mesh.set_peers(self._decode_addresses(items))
            page = None
            while page is None or not page.records:
                page = await self._store.read(
                    MEMBERS_TOPIC,
                    offset,
                    STORE_TIMEOUT_S + MEMBERS_WAIT_S,
                    MEMBERS_WAIT_S,
                )

    def _decode_addresses(self, items: list[KeyedRecord]) -> set[Address]:
        addresses = set()
        for entry in items:
            if entry.key == self._settings.name or not entry.content:
                continue
            try:
                _, ip, port = cbor2.loads(entry.content)
            except (cbor2.CBORError, TypeError, ValueError) as exc:
                self._log.warning(
                    'invalid member entry skipped', extra={'error': repr(exc)}
                )
            else:
                addresses.add(Address(ip, port))
        return addresses
