"""One-way messages between entry VMs in CBOR over websockets.

Each VM opens a channel to each known peer and sends heartbeats on it.  No
message requires a reply.  A lost message is compensated by the next one or by
a read of the store.
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

#: Largest number of messages queued for a slow peer.  Further messages are
#: dropped, because peers read the store for what they miss.
OUTBOX_MESSAGES = 500
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Shortest interval of pings on a channel, regardless of the number of peers,
#: in seconds.
PING_INTERVAL_S = 1.0
#: Time without an answer to a ping after which a channel is reopened, in
#: seconds; detects channels that no longer transmit data.
PING_TIMEOUT_S = 1.0
#: Shortest interval of pings per peer, in seconds.  With 29 VMs and the same
#: interval for all, VMs without a cell received more pings and answers to pings
#: than other frames.
PING_INTERVAL_PER_PEER_S = 0.1
OPEN_TIMEOUT_S = 1.0
#: Delay before the first attempts to reopen a channel, in seconds: a channel
#: that was reset is restored at once.
FIRST_RETRY_DELAY_S = 0.02
#: Delay before later attempts, in seconds; limits the attempts to reach a VM
#: that is unavailable.
RETRY_DELAY_S = 0.25
#: Frames sent within this time before a channel broke, in seconds, are sent
#: again on the next channel.  They may have been lost, and all messages are
#: idempotent.
RESEND_WINDOW_S = 0.3


class Address(NamedTuple):
    """Address at which a VM listens for its peers."""

    ip: str
    port: int


class MeshListener(Protocol):
    """Receiver of the messages and connection events of a mesh."""

    def handle_message(self, message: NodeMessage, channel: int) -> None:
        """Handles a message received on the channel with a number."""

    def handle_closed_channel(self, channel: int) -> None:
        """Handles the loss of a channel that a peer had opened."""

    def handle_refused_connection(self, address: Address) -> None:
        """Handles a refused connection: no process listens at the address."""

    def build_greeting(self) -> NodeMessage:
        """Returns the first message that is sent on each channel."""


class Mesh:
    """Sends and receives messages on channels to all other entry VMs."""

    def __init__(
        self,
        listen: Address,
        listener: MeshListener,
        log: PartLog,
    ) -> None:
        """Creates a mesh that listens once its context is entered.

        Args:
            listen: Address to listen on; port 0 selects a free port.
            listener: Receiver of messages and connection events.
            log: Log of this part.
        """
        self._listen = listen
        self._listener = listener
        self._channel_numbers = itertools.count(1)
        self._log = log
        self._server: Server | None = None
        self._sender_by_address: dict[Address, _Sender] = {}

    async def __aenter__(self) -> Self:
        """Starts to listen for peers."""
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
        """TCP port on which the mesh listens."""
        if self._server is None:
            return self._listen.port
        return int(next(iter(self._server.sockets)).getsockname()[1])

    def set_peers(self, addresses: set[Address]) -> None:
        """Opens channels to new peers and closes those to removed peers."""
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
        """Sends a message to all reachable peers."""
        if not self._sender_by_address:
            return
        frame = cbor2.dumps(encode_message(message))
        for sender in self._sender_by_address.values():
            sender.put(frame)

    def send(self, address: Address, message: NodeMessage) -> bool:
        """Sends a message to a peer; returns whether the message was queued."""
        sender = self._sender_by_address.get(address)
        return sender is not None and sender.put(
            cbor2.dumps(encode_message(message))
        )

    async def _receive(self, connection: ServerConnection) -> None:
        channel = next(self._channel_numbers)
        with contextlib.suppress(WebSocketException, OSError):
            while True:
                self._handle_frame(await connection.recv(decode=False), channel)
        self._listener.handle_closed_channel(channel)

    def _handle_frame(self, frame: bytes, channel: int) -> None:
        try:
            message = decode_message(cbor2.loads(frame))
        except (cbor2.CBORError, PeerMessageError, TypeError) as exc:
            self._log.warning(
                'ignored an unreadable frame', extra={'error': repr(exc)}
            )
            return
        self._listener.handle_message(message, channel)


class _Sender:
    """Outgoing channel to one peer, which is reopened after each failure."""

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
        """Queues a frame; drops it if the queue is full or the channel is down.

        Returns:
            Whether the frame was queued.
        """
        is_unavailable = (
            self._loop.time() - self._disconnected_s > RESEND_WINDOW_S
        )
        if (is_unavailable and not self._is_open) or self._outbox.full():
            return False
        self._outbox.put_nowait(frame)
        return True

    def close(self) -> None:
        """Closes the channel permanently."""
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
            greeting = self._listener.build_greeting()
            await connection.send(cbor2.dumps(encode_message(greeting)))
            await self._resend_recent_frames(connection)
            self._is_open = True
            while True:
                frame = await self._outbox.get()
                self._recent_frames.append((self._loop.time(), frame))
                await connection.send(frame)

    async def _resend_recent_frames(self, connection: ClientConnection) -> None:
        """Sends the frames again that the last channel may have lost."""
        for sent_s, frame in list(self._recent_frames):
            if self._disconnected_s - sent_s < RESEND_WINDOW_S:
                await connection.send(frame)
        self._recent_frames.clear()

    def _record_failure(self, exc: Exception) -> None:
        if self._is_open:
            self._disconnected_s = self._loop.time()
            self._log.info(
                'lost the channel to a peer',
                extra={'peer': self._address.ip, 'error': repr(exc)},
            )
        elif self._loop.time() - self._disconnected_s > RESEND_WINDOW_S:
            self._recent_frames.clear()
            while not self._outbox.empty():
                self._outbox.get_nowait()
        self._is_open = False
