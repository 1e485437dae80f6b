"""One-way messages between entry VMs: websockets with CBOR.

Each VM opens a channel to every other that it knows of and sends heartbeats
on it.  Messages are news, never questions: one that is lost is made good by
the next, or by reading the store.
"""

import asyncio
import collections
import contextlib
import itertools
import math
from types import TracebackType
from typing import NamedTuple, Protocol, Self

import cbor2
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from camphorlink.errors import PeerMessageError
from camphorlink.internal.core.connection.node_message_codec import (
    decode_message,
    encode_message,
)
from camphorlink.internal.core.connection.node_messages import NodeMessage
from camphorlink.internal.shell.process.logs import PartLog

#: Messages that wait for a slow peer; the rest is dropped, since peers read
#: the store for what they miss.
OUTBOX_MESSAGES = 500
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: A channel that carries nothing back for this long is opened anew: finds
#: channels that went silent for good, in seconds.
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 1.0
#: Interval for each peer, in seconds: pings and their answers on all channels
#: of 29 VMs were more frames than all else that those without a cell got.
PING_INTERVAL_PER_PEER_S = 0.1
OPEN_TIMEOUT_S = 1.0
#: Pauses before a channel is opened again, in seconds: one that was reset is
#: back at once, a VM that is away is not asked all the time.
FIRST_RETRY_DELAY_S = 0.02
RETRY_DELAY_S = 0.25
#: Frames sent so shortly before a channel broke, in seconds, are sent again
#: on the next one: they may have been lost, and all take a repetition well.
RESEND_WINDOW_S = 0.3


class Address(NamedTuple):
    """Where a VM listens for its peers."""

    ip: str
    port: int


class MeshListener(Protocol):
    """Who gets the news of the mesh."""

    def handle_message(self, message: NodeMessage, channel: int) -> None:
        """Takes a message, and the number of the channel that it came on."""

    def handle_closed_channel(self, channel: int) -> None:
        """Takes that a peer's channel was closed."""

    def handle_refused_connection(self, address: Address) -> None:
        """Takes that no process listens at a peer's address."""

    def build_greeting(self) -> NodeMessage:
        """Returns the first message of each channel."""


class Mesh:
    """Channels to all other entry VMs."""

    def __init__(
        self,
        listen: Address,
        listener: MeshListener,
        log: PartLog,
    ) -> None:
        """Takes the address to listen on and who gets the news."""
        self._listen = listen
        self._listener = listener
        self._channels = itertools.count(1)
        self._log = log
        self._server: Server | None = None
        self._sender_by_address: dict[Address, _Sender] = {}

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        self._server = await serve(
            self._receive,
            self._listen.ip,
            self._listen.port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all channels."""
        for sender in self._sender_by_address.values():
            sender.close()
        if self._server is not None:
            self._server.close()

    @property
    def port(self) -> int:
        """TCP port that is listened on."""
        if self._server is None:
            return self._listen.port
        return int(next(iter(self._server.sockets)).getsockname()[1])

    def set_peers(self, addresses: set[Address]) -> None:
        """Opens channels to new peers and closes those to former ones."""
        for address in set(self._sender_by_address) - addresses:
            self._sender_by_address.pop(address).close()
        scaled_interval_s = PING_INTERVAL_PER_PEER_S * len(addresses)
        for address in addresses - set(self._sender_by_address):
            self._sender_by_address[address] = _Sender(
                address,
                self._listener,
                self._log,
                max(PING_INTERVAL_S, scaled_interval_s),
            )

    def broadcast(self, message: NodeMessage) -> None:
        """Sends a message to all peers that can be reached."""
        if not self._sender_by_address:
            return
        frame = cbor2.dumps(encode_message(message))
        for sender in self._sender_by_address.values():
            sender.put(frame)

    def send(self, address: Address, message: NodeMessage) -> bool:
        """Sends a message to one peer; tells whether its channel is open."""
        sender = self._sender_by_address.get(address)
        return sender is not None and sender.put(
            cbor2.dumps(encode_message(message))
        )

    async def _receive(self, connection: ServerConnection) -> None:
        channel = next(self._channels)
        with contextlib.suppress(WebSocketException, OSError):
            while True:
                self._handle_frame(await connection.recv(decode=False), channel)
        self._listener.handle_closed_channel(channel)

    def _handle_frame(self, frame: bytes, channel: int) -> None:
        try:
            message = decode_message(cbor2.loads(frame))
        except (cbor2.CBORError, PeerMessageError, TypeError) as exc:
            self._log.warning('unreadable frame', extra={'error': repr(exc)})
            return
        self._listener.handle_message(message, channel)


class _Sender:
    """The channel to one peer, opened again whenever it breaks."""

    def __init__(
        self,
        address: Address,
        listener: MeshListener,
        log: PartLog,
        ping_interval_s: float,
    ) -> None:
        self._address = address
        self._ping_interval_s = ping_interval_s
        self._listener = listener
        self._log = log
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(OUTBOX_MESSAGES)
        self._recent_frames: collections.deque[tuple[float, bytes]] = (
            collections.deque(maxlen=OUTBOX_MESSAGES)
        )
        self._is_open = False
        self._disconnected_s = -math.inf
        self._loop = asyncio.get_running_loop()
        self._task = self._loop.create_task(self._run())

    def put(self, frame: bytes) -> bool:
        """Queues a frame, or drops it when the channel has been away."""
        is_unavailable = (
            self._loop.time() - self._disconnected_s > RESEND_WINDOW_S
        )
        if (is_unavailable and not self._is_open) or self._outbox.full():
            return False
        self._outbox.put_nowait(frame)
        return True

    def close(self) -> None:
        """Ends the channel."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._send_all()
            except ConnectionRefusedError:
                self._listener.handle_refused_connection(self._address)
            except (OSError, WebSocketException, TimeoutError) as exc:
                self._record_failure(exc)
            is_recent = (
                self._loop.time() - self._disconnected_s < RESEND_WINDOW_S
            )
            await asyncio.sleep(
                FIRST_RETRY_DELAY_S if is_recent else RETRY_DELAY_S
            )

    async def _send_all(self) -> None:
        async with connect(
            f'ws://{self._address.ip}:{self._address.port}',
            compression=None,
            proxy=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=OPEN_TIMEOUT_S,
            ping_interval=self._ping_interval_s,
            ping_timeout=PING_TIMEOUT_S,
        ) as connection:
            build_greeting = self._listener.build_greeting()
            await connection.send(cbor2.dumps(encode_message(build_greeting)))
            await self._resend_recent_frames(connection)
            self._is_open = True
            while True:
                frame = await self._outbox.get()
                self._recent_frames.append((self._loop.time(), frame))
                await connection.send(frame)

    async def _resend_recent_frames(self, connection: ClientConnection) -> None:
        """Sends what the last channel may have lost."""
        for sent_s, frame in list(self._recent_frames):
            if self._disconnected_s - sent_s < RESEND_WINDOW_S:
                await connection.send(frame)
        self._recent_frames.clear()

    def _record_failure(self, exc: Exception) -> None:
        if self._is_open:
            self._disconnected_s = self._loop.time()
            self._log.info(
                'channel to peer lost',
                extra={'peer': self._address.ip, 'error': repr(exc)},
            )
        elif self._loop.time() - self._disconnected_s > RESEND_WINDOW_S:
            self._recent_frames.clear()
            while not self._outbox.empty():
                self._outbox.get_nowait()
        self._is_open = False
