"""One-way links between entry VMs that carry CBOR over websockets.

A VM opens a link to a peer when it first sends it a message; replies arrive on
the peer's own link.  Links do not retry: a sender that needs a reply repeats
its request with the same identifier.
"""

import asyncio
import collections
import contextlib
import random
from collections.abc import Callable
from types import TracebackType

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from camphorlink.errors import CamphorlinkError, PeerMessageError
from camphorlink.internal.core.connection.peer_messages import (
    Hello,
    PeerMessage,
)
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.shell.connection.peer_codec import (
    decode_message,
    encode_message,
)
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.settings import Listen

OUTBOX_MESSAGES = 2000
MAX_FRAME_BYTES = 8 * 1024 * 1024
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 2.0
OPEN_TIMEOUT_S = 1.0
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 3.0

OnMessage = Callable[[Home, PeerMessage], None]


class LinkLostError(CamphorlinkError):
    """Raised when an open link breaks; its queued messages are dropped."""


class PeerLinks:
    """Receives messages of all peers and sends messages to any address."""

    def __init__(
        self,
        home: Home,
        listen: Listen,
        on_message: OnMessage,
        log: PartLog,
    ) -> None:
        """Creates links that listen once the context is entered.

        Args:
            home: Identity of this process.
            listen: Address to listen on.
            on_message: Called with the sender and each of its messages.
            log: Log of this part.
        """
        self.counts: collections.Counter[str] = collections.Counter()
        self._home = home
        self._listen = listen
        self._on_message = on_message
        self._log = log
        self._sender_by_address: dict[str, PeerLink] = {}
        self._server: Server | None = None
        self._rng = random.Random(home.incarnation)

    @property
    def port(self) -> int:
        """TCP port on which this VM listens for peers."""
        if self._server is None:
            return self._listen.port
        return int(next(iter(self._server.sockets)).getsockname()[1])

    @property
    def address(self) -> str:
        """IP number and port at which this VM listens for peers."""
        return f'{self._listen.ip}:{self.port}'

    async def __aenter__(self) -> 'PeerLinks':
        """Starts to listen for peers."""
        self._server = await serve(
            self._receive,
            self._listen.ip,
            self._listen.port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            # The VM that opened the link sends pings; pings from both ends
            # would double the cost.
            ping_interval=None,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all links."""
        for sender in self._sender_by_address.values():
            sender.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def send(self, address: str, message: PeerMessage) -> bool:
        """Queues a message for a peer.

        Returns:
            Whether the message was queued; it is dropped if the queue is
            full.
        """
        sender = self._sender_by_address.get(address)
        if sender is None:
            hello = Hello(*self._home, address=self.address)
            sender = PeerLink(hello, address, self.counts, self._rng)
            self._sender_by_address[address] = sender
        return sender.put(message)

    def close_link(self, address: str) -> None:
        """Closes the link to a removed peer."""
        sender = self._sender_by_address.pop(address, None)
        if sender is not None:
            sender.close()

    async def _receive(self, connection: ServerConnection) -> None:
        peer: Home | None = None
        with contextlib.suppress(WebSocketException, OSError):
            async for frame in connection:
                self.counts['received'] += 1
                try:
                    message = decode_message(_as_bytes(frame))
                except PeerMessageError:
                    self.counts['unreadable'] += 1
                    continue
                if isinstance(message, Hello):
                    peer = Home(message.zone, message.vm, message.incarnation)
                if peer is not None:
                    self._on_message(peer, message)


class PeerLink:
    """Outgoing link to one address, opened for the first queued message."""

    def __init__(
        self,
        hello: Hello,
        address: str,
        counts: collections.Counter[str],
        rng: random.Random,
    ) -> None:
        """Creates the link and starts its sending task.

        Args:
            hello: First message on each connection.
            address: IP number and port of the peer.
            counts: Counters of events, shared by all links.
            rng: Source of the jitter of the retry delays.
        """
        self._hello = encode_message(hello)
        self._rng = rng
        self._address = address
        self._counts = counts
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(OUTBOX_MESSAGES)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def put(self, message: PeerMessage) -> bool:
        """Queues a message; returns whether the queue had space for it."""
        try:
            self._outbox.put_nowait(encode_message(message))
        except asyncio.QueueFull:
            self._counts['outbox-full'] += 1
            return False
        return True

    def close(self) -> None:
        """Closes the link and drops its queued messages."""
        self._task.cancel()

    async def _run(self) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await self._send_all()
            except LinkLostError:
                delay_s = MIN_RETRY_DELAY_S
            except (WebSocketException, OSError, TimeoutError):
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
            self._counts['link-lost'] += 1
            self._drop_queued()
            # Jitter prevents that all links reopen at once after a network
            # partition.
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1))

    async def _send_all(self) -> None:
        frame = await self._outbox.get()
        link = connect(
            f'ws://{self._address}',
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            proxy=None,
        )
        async with link as connection:
            try:
                await self._send_frames(connection, frame)
            except (WebSocketException, OSError) as exc:
                raise LinkLostError(f'link to {self._address} lost') from exc

    async def _send_frames(self, link: ClientConnection, frame: bytes) -> None:
        await link.send(self._hello)
        while True:
            await link.send(frame)
            self._counts['sent'] += 1
            self._counts['sent-bytes'] += len(frame)
            frame = await self._outbox.get()

    def _drop_queued(self) -> None:
        # Messages queued for a lost link are stale; their senders retry.
        while not self._outbox.empty():
            self._outbox.get_nowait()
            self._counts['dropped'] += 1


def _as_bytes(frame: str | bytes) -> bytes:
    return frame.encode() if isinstance(frame, str) else frame
