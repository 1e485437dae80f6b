"""Writes configuration snapshots to the log and exchanges states with peers."""

import asyncio
import random
import time
import zlib
from functools import singledispatchmethod
from types import TracebackType
from typing import NamedTuple

import orjson

from camphorlink.errors import LogServiceError
from camphorlink.internal.core.connection.peer_messages import (
    ConfigMessage,
    ConfigReply,
    ConfigRequest,
    Heartbeat,
)
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.version.exchange import (
    ConfigExchange,
)
from camphorlink.internal.core.version.snapshots import snapshot_record
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.background import keep_running
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.version.config_tail import (
    CONFIG_STREAM,
    ConfigTail,
)

MS_PER_S = 1000
#: Share of the log's retention time after which a new snapshot is written.
SNAPSHOT_RETENTION_SHARE = 0.25
SNAPSHOT_CHECK_S = 5.0
#: Longest random delay before a snapshot is written, in seconds.  A VM that
#: reads another VM's snapshot in this time writes none.
SNAPSHOT_JITTER_S = 10.0
EXCHANGE_POLL_S = 0.1
MAX_STATE_BYTES = 64 * 1024 * 1024


class Retention(NamedTuple):
    """Retention of the configuration stream in the log service.

    Attributes:
        keep_s: Time for which the log service keeps a record, in seconds.
        max_records: Number of records since the last snapshot above which a
            new one is written regardless of its age.
    """

    keep_s: float
    max_records: int


class ConfigManager:
    """Writes snapshots when they are due and exchanges states with peers."""

    def __init__(
        self,
        host: CoreHost,
        tail: ConfigTail,
        log_client: LogClient,
        retention: Retention,
        rng: random.Random,
    ) -> None:
        """Creates a manager; its loops start when the context is entered.

        Args:
            host: Host of the core and of the links to peers.
            tail: Holder of the configuration state.
            log_client: Client of the log service.
            retention: Retention of the configuration stream.
            rng: Source of random delays and of the choice of peers.
        """
        self._host = host
        self._tail = tail
        self._log_client = log_client
        self.retention = retention
        self._rng = rng
        self._exchange = ConfigExchange(rng)
        self._log = PartLog('config', host.core.home.vm)

    def __enter__(self) -> 'ConfigManager':
        """Starts the loops for snapshots and for the exchange."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(keep_running(run, EXCHANGE_POLL_S, self._log))
            for run in (self._write_snapshots, self._poll_peers)
        ]
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops both loops."""
        for task in self._tasks:
            task.cancel()

    def record_peer_version(self, peer: Home, message: Heartbeat) -> None:
        """Records the configuration version in a peer's heartbeat."""
        self._exchange.record_version(peer, message.version)

    @singledispatchmethod
    def handle_message(self, message: ConfigMessage, peer: Home) -> None:
        """Replies to a request of a peer, or adopts the state in its reply."""
        raise TypeError(message)

    @handle_message.register
    def _send_state(self, message: ConfigRequest, peer: Home) -> None:
        state = self._tail.state
        member = self._host.core.view.find(peer)
        if member is None or state.version <= message.version:
            return
        body = zlib.compress(orjson.dumps(snapshot_record(state)))
        if self._host.links is not None:
            reply = ConfigReply(state.version, body)
            self._host.links.send(member.address, reply)

    @handle_message.register
    def _adopt_state(self, message: ConfigReply, peer: Home) -> None:
        if message.version <= self._tail.state.version:
            return
        try:
            record = orjson.loads(_decompress(message.body))
        except (zlib.error, orjson.JSONDecodeError) as exc:
            self._log.warning(
                'ignored an unreadable state of a peer', extra={'why': str(exc)}
            )
            return
        self._tail.adopt_peer_state(record)

    async def _poll_peers(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXCHANGE_POLL_S)
            self._exchange.keep_only(self._responsive_peers())
            version = self._tail.state.version
            peer = self._exchange.choose(version, loop.time())
            if peer is not None:
                self._send_request(peer, ConfigRequest(version))

    def _send_request(self, peer: Home, request: ConfigRequest) -> None:
        member = self._host.core.view.find(peer)
        if member is not None and self._host.links is not None:
            self._host.links.send(member.address, request)

    def _responsive_peers(self) -> set[Home]:
        unresponsive_states = {MemberState.SUSPECT, MemberState.GONE}
        return {
            member.home
            for member in self._host.core.view.members
            if member.state not in unresponsive_states
        }

    async def _write_snapshots(self) -> None:
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_S)
            if self._is_due():
                jitter_s = self._rng.uniform(0, SNAPSHOT_JITTER_S)
                await asyncio.sleep(jitter_s)
                await self.write_snapshot()

    async def write_snapshot(self) -> None:
        """Writes a snapshot if it is still due."""
        if not self._is_due():
            return
        state = self._tail.state
        try:
            await self._log_client.append(
                CONFIG_STREAM,
                [snapshot_record(state)],
            )
        except LogServiceError as exc:
            # If the snapshot was stored anyway, the tail reads it; otherwise
            # it stays due.
            self._log.warning(
                'failed to write a snapshot', extra={'why': str(exc)}
            )
            return
        self._log.info('wrote a snapshot', extra={'version': state.version})

    def _is_due(self) -> bool:
        return self._tail.fold.is_snapshot_due(
            int(time.time() * MS_PER_S),
            self.retention.keep_s * SNAPSHOT_RETENTION_SHARE * MS_PER_S,
            self.retention.max_records,
        )


def _decompress(body: bytes) -> bytes:
    """Decompresses at most ``MAX_STATE_BYTES``."""
    return zlib.decompressobj().decompress(body, MAX_STATE_BYTES)
