"""Links between entry VMs: websockets with CBOR, one way each.

A VM opens a link to each peer that it has something to say to; answers come
back on the peer's own link.  Nothing is sent again here: who needs an answer
asks again under the same identifier.
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
    """An open link to another entry VM broke; what was queued is dropped."""


class PeerLinks:
    """Receives from all peers, and sends to any address."""

    def __init__(
        self,
        home: Home,
        listen: Listen,
        on_message: OnMessage,
        log: PartLog,
    ) -> None:
        """Takes the address to listen on and who gets the messages."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._home = home
        self._listen = listen
        self._on_message = on_message
        self._log = log
        self._sender_by_address: dict[str, PeerSender] = {}
        self._server: Server | None = None
        self._rng = random.Random(home.incarnation)

    @property
    def port(self) -> int:
        """TCP port that is listened on."""
        if self._server is None:
            return self._listen.port
        return int(next(iter(self._server.sockets)).getsockname()[1])

    @property
    def address(self) -> str:
        """IP number and port that peers reach this VM at."""
        return f'{self._listen.ip}:{self.port}'

    async def __aenter__(self) -> 'PeerLinks':
        """Starts to listen."""
        self._server = await serve(
            self._receive,
            self._listen.ip,
            self._listen.port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            # The opener of a link pings; both ends doing so costs twice.
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
            Whether there was room; without room the message is dropped.
        """
        sender = self._sender_by_address.get(address)
        if sender is None:
            hello = Hello(*self._home, address=self.address)
            sender = PeerSender(hello, address, self.counts, self._rng)
            self._sender_by_address[address] = sender
        return sender.put(message)

    def forget(self, address: str) -> None:
        """Closes the link to a peer that is gone."""
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


class PeerSender:
    """Outgoing link to one address, opened when there is something to send."""

    def __init__(
        self,
        hello: Hello,
        address: str,
        counts: collections.Counter[str],
        rng: random.Random,
    ) -> None:
        """Starts the task that sends."""
        self._hello = encode_message(hello)
        self._rng = rng
        self._address = address
        self._counts = counts
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(OUTBOX_MESSAGES)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def put(self, message: PeerMessage) -> bool:
        """Queues a message; says whether there was room."""
        try:
            self._outbox.put_nowait(encode_message(message))
        except asyncio.QueueFull:
            self._counts['outbox-full'] += 1
            return False
        return True

    def close(self) -> None:
        """Drops the link and what is queued."""
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
            # Jitter: after a cut has healed, not all links open at once.
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
        # What waited for a lost link is stale; its senders ask again.
        while not self._outbox.empty():
            self._outbox.get_nowait()
            self._counts['dropped'] += 1


def _as_bytes(frame: str | bytes) -> bytes:
    return frame.encode() if isinstance(frame, str) else frame
