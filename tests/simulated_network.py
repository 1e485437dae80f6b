"""A simulated network between entry VMs that loses, holds or delivers frames.

``SimulatedMesh`` takes the place of ``Mesh``.  It transmits the encoded frames
of the real one and decodes them with the same method.
"""

import asyncio
import collections
import contextvars
import enum

from camphorlink.internal.shell.connection.mesh import (
    FAST_RETRY_S,
    FIRST_RETRY_DELAY_S,
    OPEN_TIMEOUT_S,
    RETRY_DELAY_S,
    Mesh,
    encode_frame,
)

LATENCY_S = 0.001
#: Opening a channel takes two round trips, of TCP and of the websocket.
OPEN_DURATION_S = 4 * LATENCY_S
#: Time from a loss to its retransmission, in seconds; TCP doubles it each time.
FIRST_RETRANSMISSION_S = 0.2


class Rule(enum.Enum):
    """What happens to the packets from one VM to another.

    ``HOLD`` delivers them when the rule of the link is ``DELIVER`` again.
    After ``DROP``, a channel that is still open retransmits like TCP.
    """

    DELIVER = enum.auto()
    DROP = enum.auto()
    HOLD = enum.auto()


def encode_greeting(mesh):
    """Returns the first frame of a channel."""
    return encode_frame(mesh.listener.build_greeting())


def receive_frame(mesh, frame, channel):
    """Decodes a frame as the real mesh does, and passes it on."""
    Mesh._handle_frame(mesh, frame, channel)


class SimulatedNetwork:
    """Links between VMs, with one rule for each ordered pair of VMs."""

    def __init__(self):
        self._rule_by_link = {}
        self._held_by_link = collections.defaultdict(list)
        self._mesh_by_address = {}
        self._silent_vms = set()

    def build_mesh(self, listen, listener, log):
        """Creates a mesh; has the signature of ``Mesh``."""
        return SimulatedMesh(self, listen, listener, log)

    def add(self, mesh):
        self._silent_vms.discard(mesh.vm)
        self._mesh_by_address[mesh.address] = mesh

    def remove(self, mesh):
        """Makes the address of a mesh refuse connections."""
        if self._mesh_by_address.get(mesh.address) is mesh:
            self._mesh_by_address.pop(mesh.address)

    def silence(self, vm):
        """Makes a VM answer nothing, as after a loss of power."""
        self._silent_vms.add(vm)

    def find(self, address):
        return self._mesh_by_address.get(address)

    def set_rule(self, sender, receiver, rule):
        """Sets the rule of a link; one that delivers releases what it held."""
        self._rule_by_link[sender, receiver] = rule
        if rule is Rule.DELIVER:
            for packet in self._held_by_link.pop((sender, receiver), ()):
                packet()

    def delivers(self, sender, receiver):
        rule = self._rule_by_link.get((sender, receiver), Rule.DELIVER)
        return rule is Rule.DELIVER and not self._silent_vms & {
            sender,
            receiver,
        }

    def transmit(self, sender, receiver, packet):
        """Calls ``packet`` now, later or never, by the rule of the link.

        Returns:
            Whether it was or will be called.
        """
        is_held = self._rule_by_link.get((sender, receiver)) is Rule.HOLD
        if self.delivers(sender, receiver):
            packet()
        elif is_held:
            self._held_by_link[sender, receiver].append(packet)
        else:
            return False
        return True


class _ChannelEnd:
    """One VM's end of a channel.

    Attributes:
        mesh: Mesh of the VM.
        number: Number of the channel on that VM.
        other: End of the peer.
        is_open: Whether the VM considers the channel open.
        closed: Set when the end is closed.
    """

    def __init__(self, mesh):
        self.mesh = mesh
        self.number = mesh.next_channel()
        self.other = None
        self.is_open = False
        self.closed = asyncio.Event()
        self._arriving = collections.deque()
        self._unsent = collections.deque()

    def open(self):
        if not self.mesh.is_running:
            self.reset_other()
            return
        self.is_open = True
        self.mesh.end_by_channel[self.number] = self
        self.send(encode_greeting(self.mesh))

    def send(self, frame):
        # What follows a lost frame waits for its retransmission.
        if self._unsent or not self._transmit(frame):
            self._unsent.append(frame)
            if len(self._unsent) == 1:
                self._retransmit_after(FIRST_RETRANSMISSION_S)

    def _transmit(self, frame):
        other = self.other
        return self.mesh.network.transmit(
            self.mesh.vm, other.mesh.vm, lambda: other.schedule_frame(frame)
        )

    def _retransmit_after(self, delay_s):
        self.mesh.loop.call_later(delay_s, self._retransmit, delay_s)

    def _retransmit(self, delay_s):
        while self.is_open and self._unsent:
            if not self._transmit(self._unsent[0]):
                self._retransmit_after(2 * delay_s)
                return
            self._unsent.popleft()

    def schedule_frame(self, frame):
        # Timers of the same time may fire in any order, unlike the frames.
        self._arriving.append(frame)
        self.call_later(self._receive_next)

    def call_later(self, action):
        self.mesh.loop.call_later(LATENCY_S, action, context=self.mesh.context)

    def _receive_next(self):
        frame = self._arriving.popleft()
        if self.is_open:
            receive_frame(self.mesh, frame, self.number)
        else:
            self.reset_other()

    def reset_other(self):
        """Resets the peer's end if the link delivers at this moment."""
        other = self.other
        if self.mesh.network.delivers(self.mesh.vm, other.mesh.vm):
            other.call_later(other.close)

    def close(self):
        if self.is_open:
            self.is_open = False
            self.mesh.end_by_channel.pop(self.number)
            self.closed.set()
            if self.mesh.is_running:
                self.mesh.listener.handle_closed_channel(self.number)


class SimulatedMesh(Mesh):
    """Sends and receives messages over a simulated network."""

    def __init__(self, network, listen, listener, log):
        super().__init__(listen, listener, log)
        self.network = network
        self.listener = listener
        self.vm = listen.ip
        self.is_running = False
        self.end_by_channel = {}

    async def __aenter__(self):
        self.loop = asyncio.get_running_loop()
        self.context = contextvars.copy_context()
        self.is_running = True
        self.network.add(self)
        return self

    async def __aexit__(self, *exc_info):
        self.kill(is_silent=False)

    def kill(self, is_silent):
        """Ends the process, or the whole VM, which then resets nothing."""
        if self.is_running:
            self.is_running = False
            if is_silent:
                self.network.silence(self.vm)
            self.set_peers(set())
            for channel in list(self.end_by_channel):
                self.abort(channel)
            self.network.remove(self)

    @property
    def port(self):
        return self._listen.port

    def set_peers(self, addresses):
        if not self.is_running:
            addresses = set()
        for address in sorted(set(self._opener_by_address) - addresses):
            self._opener_by_address.pop(address).close()
        for address in sorted(addresses - set(self._opener_by_address)):
            self._opener_by_address[address] = _ChannelOpener(self, address)

    def broadcast(self, channels, frame):
        open_channels = [
            channel for channel in channels if channel in self.end_by_channel
        ]
        for channel in open_channels:
            self.end_by_channel[channel].send(frame)
        return open_channels

    def abort(self, channel):
        end = self.end_by_channel.get(channel)
        if end is not None:
            end.reset_other()
            self.loop.call_soon(end.close, context=self.context)


class _ChannelOpener:
    """Keeps a channel to one address open.

    Attributes:
        channel: Number of the latest channel, 0 before the first.
    """

    def __init__(self, mesh, address):
        self.channel = 0
        self._mesh = mesh
        self._address = address
        self._task = mesh.loop.create_task(self._run())

    def close(self):
        self._task.cancel()
        self._mesh.abort(self.channel)

    async def _run(self):
        lost_s = float('-inf')
        while True:
            if await self._open():
                lost_s = self._mesh.loop.time()
            is_recent = self._mesh.loop.time() - lost_s < FAST_RETRY_S
            await asyncio.sleep(
                FIRST_RETRY_DELAY_S if is_recent else RETRY_DELAY_S
            )

    async def _open(self):
        """Returns whether a channel was open, after its loss."""
        mesh, network = self._mesh, self._mesh.network
        if not self._is_link_open():
            await asyncio.sleep(OPEN_TIMEOUT_S)
            return False
        await asyncio.sleep(OPEN_DURATION_S)
        peer = network.find(self._address)
        if peer is None:
            mesh.listener.handle_refused_connection(self._address)
            return False
        if not self._is_link_open():
            await asyncio.sleep(OPEN_TIMEOUT_S - OPEN_DURATION_S)
            return False
        own, other = _ChannelEnd(mesh), _ChannelEnd(peer)
        own.other, other.other = other, own
        self.channel = own.number
        mesh.loop.call_soon(other.open, context=peer.context)
        own.open()
        await own.closed.wait()
        return True

    def _is_link_open(self):
        own_vm, peer_vm = self._mesh.vm, self._address.ip
        delivers = self._mesh.network.delivers
        return delivers(own_vm, peer_vm) and delivers(peer_vm, own_vm)
