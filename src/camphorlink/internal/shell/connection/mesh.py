"""One-way messages between entry VMs in CBOR over websockets.

A channel carries messages in both directions.  A VM opens channels to the VMs
that own cells; these answer on the channels that others opened.  The number of
channels thus grows with the number of VMs times that of owners, not with the
square of the number of VMs.  No message requires a reply.  A lost message is
compensated by the next one or by a read of the store.
"""

import asyncio
import itertools
import math
from collections.abc import Iterable
from types import TracebackType
from typing import NamedTuple, Protocol, Self

import cbor2
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection, broadcast
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException
from websockets.protocol import State

from camphorlink.errors import PeerMessageError
from camphorlink.internal.core.connection.node_message_codec import (
    decode_stamped,
    encode_stamped,
)
from camphorlink.internal.core.connection.node_messages import (
    NodeMessage,
    Stamp,
)
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s

#: Largest number of unsent bytes on a channel.  Further messages are dropped,
#: because peers read the store for what they miss, and silent channels are
#: closed by their user.
MAX_UNSENT_BYTES = 512 * 1024
MAX_FRAME_BYTES = 4 * 1024 * 1024
OPEN_TIMEOUT_S = 1.0
#: Delay before the first attempts to reopen a channel, in seconds: a channel
#: that was reset is restored at once.
FIRST_RETRY_DELAY_S = 0.02
#: Delay before later attempts, in seconds; limits the attempts to reach a VM
#: that is unavailable.
RETRY_DELAY_S = 0.25
#: Time after the loss of a channel with short delays between attempts, in
#: seconds.
FAST_RETRY_S = 0.3


class Address(NamedTuple):
    """Address at which a VM listens for its peers."""

    ip: str
    port: int


class MeshListener(Protocol):
    """Receiver of the messages and connection events of a mesh."""

    def handle_message(
        self, message: NodeMessage, stamp: Stamp, channel: int
    ) -> None:
        """Handles a message received on the channel with a number."""

    def handle_closed_channel(self, channel: int) -> None:
        """Handles the loss of a channel, whoever opened it."""

    def handle_refused_connection(self, address: Address) -> None:
        """Handles a refused connection: no process listens at the address."""

    def build_greeting(self) -> NodeMessage:
        """Returns the first message that is sent on each channel."""


def encode_frame(message: NodeMessage, echo_s: float | None = None) -> bytes:
    """Returns the frame that carries a message and is sent now.

    Args:
        message: The message.
        echo_s: Newest send time received from the only recipient, in seconds,
            or ``None``.
    """
    return cbor2.dumps(encode_stamped(message, Stamp(now_s(), echo_s)))


def decode_frame(frame: bytes) -> tuple[NodeMessage, Stamp]:
    """Returns the message and the times that a frame carries.

    Raises:
        PeerMessageError: If the frame can't be decoded.
    """
    try:
        return decode_stamped(cbor2.loads(frame))
    except (cbor2.CBORError, RecursionError, TypeError) as exc:
        raise PeerMessageError(f'cannot decode the frame: {exc!r}') from exc


class Mesh:
    """Sends and receives messages on channels to other entry VMs."""

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
        self._opener_by_address: dict[Address, _ChannelOpener] = {}
        self._connection_by_channel: dict[int, Connection] = {}

    async def __aenter__(self) -> Self:
        """Starts to listen for peers."""
        self._server = await serve(
            self._accept,
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
        self.set_peers(set())
        if self._server is not None:
            self._server.close()

    @property
    def port(self) -> int:
        """TCP port on which the mesh listens."""
        if self._server is None:
            return self._listen.port
        return int(next(iter(self._server.sockets)).getsockname()[1])

    @property
    def address(self) -> Address:
        """Address at which the mesh listens."""
        return Address(self._listen.ip, self.port)

    def set_peers(self, addresses: set[Address]) -> None:
        """Opens channels to new peers and closes those to removed peers."""
        for address in set(self._opener_by_address) - addresses:
            self._opener_by_address.pop(address).close()
        for address in addresses - set(self._opener_by_address):
            self._opener_by_address[address] = _ChannelOpener(
                address, self, self._listener, self._log
            )

    def send(self, address: Address, message: NodeMessage) -> bool:
        """Sends a message on the channel that this VM opened to a peer.

        Returns:
            Whether the channel is open and took the message.
        """
        opener = self._opener_by_address.get(address)
        return opener is not None and self.send_frame(
            opener.channel, encode_frame(message)
        )

    def send_frame(self, channel: int, frame: bytes) -> bool:
        """Sends a frame on a channel; returns whether the channel took it."""
        return bool(self.broadcast((channel,), frame))

    def broadcast(self, channels: Iterable[int], frame: bytes) -> list[int]:
        """Sends a frame on several channels.

        Returns:
            The channels that took it; a channel that is closed or has too
            many unsent bytes does not.
        """
        connection_by_channel = {
            channel: self._connection_by_channel[channel]
            for channel in channels
            if self._can_send(channel)
        }
        broadcast(connection_by_channel.values(), frame)
        return list(connection_by_channel)

    def abort(self, channel: int) -> None:
        """Closes a channel at once; one that this VM opened is opened again."""
        connection = self._connection_by_channel.get(channel)
        if connection is not None:
            connection.transport.abort()

    async def receive(self, connection: Connection, channel: int) -> None:
        """Registers a channel and receives its messages until it is closed.

        Args:
            connection: An open connection.
            channel: Number of the channel.
        """
        self._connection_by_channel[channel] = connection
        try:
            self.send_frame(
                channel, encode_frame(self._listener.build_greeting())
            )
            while True:
                self._handle_frame(await connection.recv(decode=False), channel)
        finally:
            self._connection_by_channel.pop(channel)
            self._listener.handle_closed_channel(channel)

    def next_channel(self) -> int:
        """Returns a new channel number."""
        return next(self._channel_numbers)

    def _can_send(self, channel: int) -> bool:
        connection = self._connection_by_channel.get(channel)
        return (
            connection is not None
            and connection.state is State.OPEN
            and connection.transport.get_write_buffer_size() < MAX_UNSENT_BYTES
        )

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            await self.receive(connection, self.next_channel())
        except (WebSocketException, OSError) as exc:
            self._log.debug('channel closed', extra={'error': repr(exc)})

    def _handle_frame(self, frame: bytes, channel: int) -> None:
        try:
            message, stamp = decode_frame(frame)
        except PeerMessageError as exc:
            self._log.warning(
                'ignored an unreadable frame', extra={'error': repr(exc)}
            )
            return
        try:
            self._listener.handle_message(message, stamp, channel)
        except Exception:
            # A peer's message must not end the channel, or the task that keeps
            # it open.
            self._log.exception(
                'a message could not be handled',
                extra={'kind': type(message).__name__},
            )


class _ChannelOpener:
    """Keeps a channel to one peer open.

    Attributes:
        channel: Number of the latest channel, 0 before the first.
    """

    def __init__(
        self,
        address: Address,
        mesh: Mesh,
        listener: MeshListener,
        log: PartLog,
    ) -> None:
        self.channel = 0
        self._address = address
        self._mesh = mesh
        self._listener = listener
        self._log = log
        self._is_open = False
        self._lost_s = -math.inf
        self._loop = asyncio.get_running_loop()
        self._task = self._loop.create_task(self._run())

    def close(self) -> None:
        """Closes the channel permanently."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._open()
            except ConnectionRefusedError:
                self._listener.handle_refused_connection(self._address)
            except (OSError, WebSocketException, TimeoutError) as exc:
                self._record_failure(exc)
            except Exception as exc:
                self._log.exception('channel failed unexpectedly')
                self._record_failure(exc)
            is_recent = self._loop.time() - self._lost_s < FAST_RETRY_S
            await asyncio.sleep(
                FIRST_RETRY_DELAY_S if is_recent else RETRY_DELAY_S
            )

    async def _open(self) -> None:
        async with connect(
            f'ws://{self._address.ip}:{self._address.port}',
            compression=None,
            proxy=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=OPEN_TIMEOUT_S,
            ping_interval=None,
        ) as connection:
            self._is_open = True
            self.channel = self._mesh.next_channel()
            await self._mesh.receive(connection, self.channel)

    def _record_failure(self, exc: Exception) -> None:
        if self._is_open:
            self._lost_s = self._loop.time()
            self._log.info(
                'lost the channel to a peer',
                extra={'peer': self._address.ip, 'error': repr(exc)},
            )
        self._is_open = False
