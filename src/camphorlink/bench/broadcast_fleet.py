"""Simulates entry VMs to which one configuration change spreads.

The simulation runs on virtual time.  A message takes about a millisecond, the
log serves its readers one after the other, and heartbeats carry the version of
the configuration, as in the daemons.  Periodic heartbeats are not counted as
traffic, because they are sent in any case; announcements are counted.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from camphorlink.internal.core.process.zone_links import LinkSelector, VmKey
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.version.exchange import (
    ConfigExchange,
)

Action = Callable[[], None]
OnReceived = Callable[[VmKey], None]

LINK_DELAY_S = 0.001
LOG_SERVICE_TIME_S = 0.0002
LOG_RETRY_S = 0.5
HEARTBEAT_S = 1.0
EXCHANGE_POLL_S = 0.1
RUN_DURATION_S = 20.0
#: Time at which a network partition of a zone heals, in seconds.
HEALED_AT_S = 10.0
VMS_PER_ZONE = 8

#: TCP, IP and websocket headers of a message and of its acknowledgement.
OVERHEAD_BYTES = 92
HEARTBEAT_BYTES = 25 + OVERHEAD_BYTES
REQUEST_BYTES = 15 + OVERHEAD_BYTES
#: HTTP headers of a long poll and of its response, without the records.
POLL_BYTES = 600


class Sizes(NamedTuple):
    """Sizes of the messages that carry the change, in bytes.

    Attributes:
        record: Proposal as a patch, and its approval.
        state: Compressed snapshot of the configuration, as sent to peers.
    """

    record: int
    state: int


class Fault(NamedTuple):
    """Fault that is present while the change spreads.

    Attributes:
        name: Name of the fault in the report.
        is_inner_vm_dead: Whether an inner VM of the spanning tree is dead.
        is_log_unreachable: Whether the last zone can't reach the log during
            the whole run.
        is_zone_partitioned: Whether the last zone can reach neither the log
            nor other zones until ``HEALED_AT_S``.
    """

    name: str
    is_inner_vm_dead: bool = False
    is_log_unreachable: bool = False
    is_zone_partitioned: bool = False


class _Event(NamedTuple):
    due_s: float
    number: int
    action: Action


class BroadcastFleet:
    """Simulated entry VMs, with their times of receipt and their traffic.

    Attributes:
        keys: All VMs, in sorted order.
        sizes: Sizes of the messages, in bytes.
        rng: Source of randomness of the run.
        received_s_by_vm: Virtual time at which each VM received the change,
            in seconds.
        dead: VMs that receive no messages.
        messages: Number of messages sent.
        sent_bytes: Number of bytes sent.
        now: Virtual time in seconds.
    """

    def __init__(
        self, size: int, fault: Fault, sizes: Sizes, seed: int
    ) -> None:
        """Creates the VMs without starting the simulation.

        Args:
            size: Number of VMs.
            fault: Fault that is present during the run.
            sizes: Sizes of the messages, in bytes.
            seed: Seed of the source of randomness.
        """
        self.keys = _name_vms(size)
        self.sizes = sizes
        self.rng = random.Random(seed)
        self.received_s_by_vm: dict[VmKey, float] = {}
        self.dead: set[VmKey] = set()
        self.messages = 0
        self.sent_bytes = 0
        self.now = 0.0
        self._fault = fault
        self._numbers = itertools.count()
        self._events: list[_Event] = []
        self._listeners: list[OnReceived] = []

    def subscribe(self, on_received: OnReceived) -> None:
        """Registers a function that is called when a VM receives the change."""
        self._listeners.append(on_received)

    def call_at(self, due_s: float, action: Action) -> None:
        """Schedules an action at a virtual time in seconds."""
        heapq.heappush(
            self._events,
            _Event(due_s, next(self._numbers), action),
        )

    def receive_change(self, key: VmKey) -> None:
        """Records the first receipt of the change by a VM that is alive."""
        if key in self.dead or key in self.received_s_by_vm:
            return
        self.received_s_by_vm[key] = self.now
        for listener in self._listeners:
            listener(key)

    def send(
        self,
        origin: VmKey,
        target: VmKey,
        size: int,
        action: Action,
    ) -> None:
        """Counts a message and delivers it, unless it is lost.

        Args:
            origin: VM that sends the message.
            target: VM that receives it.
            size: Size of the message in bytes, with headers.
            action: Called when the message arrives.
        """
        self.messages += 1
        self.sent_bytes += size
        if target in self.dead or not self._is_connected(origin, target):
            return
        delay_s = LINK_DELAY_S * self.rng.uniform(0.5, 1.5)
        self.call_at(self.now + delay_s, action)

    def can_reach_log(self, key: VmKey) -> bool:
        """Returns whether a VM can reach the log at the current time."""
        if key.zone != self.keys[-1].zone:
            return True
        if self._fault.is_zone_partitioned:
            return self.now >= HEALED_AT_S
        return not self._fault.is_log_unreachable

    def run(self) -> None:
        """Processes all events that are due within a run."""
        while self._events and self._events[0].due_s <= RUN_DURATION_S:
            event = heapq.heappop(self._events)
            self.now = event.due_s
            event.action()

    def _is_connected(self, origin: VmKey, target: VmKey) -> bool:
        faulty_zone = self.keys[-1].zone
        is_in_faulty_zone = (
            origin.zone == faulty_zone,
            target.zone == faulty_zone,
        )
        is_partitioned = (
            self._fault.is_zone_partitioned and self.now < HEALED_AT_S
        )
        return (
            not is_partitioned or is_in_faulty_zone[0] == is_in_faulty_zone[1]
        )


class LogReaders:
    """Simulates VMs that read the change from the log by long polls."""

    def __init__(self, fleet: BroadcastFleet, readers: list[VmKey]) -> None:
        """Starts the long polls; the record is appended at time 0.

        Args:
            fleet: Fleet of the readers.
            readers: VMs that read the log, in the order of their service.
        """
        for position, key in enumerate(readers):
            self._read(fleet, key, position)

    def _read(self, fleet: BroadcastFleet, key: VmKey, position: int) -> None:
        if fleet.can_reach_log(key):
            answered_s = (
                fleet.now + 2 * LINK_DELAY_S + position * LOG_SERVICE_TIME_S
            )
            fleet.messages += 1
            fleet.sent_bytes += POLL_BYTES + fleet.sizes.record
            fleet.call_at(answered_s, lambda: fleet.receive_change(key))
            return
        retry_s = fleet.now + LOG_RETRY_S * fleet.rng.uniform(0.5, 1)
        fleet.call_at(retry_s, lambda: self._read(fleet, key, 0))


class SimulatedExchange:
    """Simulates the exchange of configurations between peers.

    Heartbeats announce the version of the sender.  A VM with an older version
    requests the configuration from a peer.
    """

    def __init__(self, fleet: BroadcastFleet) -> None:
        """Starts the heartbeats and the polls of all VMs."""
        self._fleet = fleet
        self._peers = _symmetric_peers(fleet.keys)
        self._exchange_by_key = {
            key: ConfigExchange(fleet.rng) for key in fleet.keys
        }
        fleet.subscribe(self._announce)
        for key in fleet.keys:
            phase_s = fleet.rng.uniform(0, HEARTBEAT_S)
            fleet.call_at(phase_s, partial(self._send_heartbeat, key))
            phase_s = fleet.rng.uniform(0, EXCHANGE_POLL_S)
            fleet.call_at(phase_s, partial(self._poll, key))

    def _announce(self, key: VmKey) -> None:
        for peer in self._peers[key]:
            self._fleet.send(
                key,
                peer,
                HEARTBEAT_BYTES,
                partial(self._record_version, peer, key),
            )

    def _send_heartbeat(self, key: VmKey) -> None:
        if key in self._fleet.received_s_by_vm:
            self._announce(key)
            # Periodic heartbeats are sent in any case and are not counted.
            self._fleet.messages -= len(self._peers[key])
            self._fleet.sent_bytes -= len(self._peers[key]) * HEARTBEAT_BYTES
        next_s = self._fleet.now + HEARTBEAT_S
        self._fleet.call_at(next_s, lambda: self._send_heartbeat(key))

    def _record_version(self, key: VmKey, peer: VmKey) -> None:
        self._exchange_by_key[key].record_version(_home_from_key(peer), 2)

    def _poll(self, key: VmKey) -> None:
        fleet = self._fleet
        version = 2 if key in fleet.received_s_by_vm else 1
        home = self._exchange_by_key[key].choose(version, fleet.now)
        if home is not None and key not in fleet.dead:
            peer = VmKey(home.zone, home.vm)
            fleet.send(
                key, peer, REQUEST_BYTES, lambda: self._send_state(peer, key)
            )
        next_s = fleet.now + EXCHANGE_POLL_S
        fleet.call_at(next_s, lambda: self._poll(key))

    def _send_state(self, key: VmKey, peer: VmKey) -> None:
        size = self._fleet.sizes.state + OVERHEAD_BYTES
        self._fleet.send(
            key, peer, size, lambda: self._fleet.receive_change(peer)
        )


def _name_vms(size: int) -> list[VmKey]:
    zones = 3 if size <= 3 * VMS_PER_ZONE else size // VMS_PER_ZONE
    names = (
        VmKey(f'zone-{number % zones:02d}', f'entry-{number // zones}')
        for number in range(size)
    )
    return sorted(names)


def _symmetric_peers(keys: list[VmKey]) -> dict[VmKey, set[VmKey]]:
    peers = {key: set(LinkSelector(key).choose(keys)) for key in keys}
    for key in keys:
        for peer in peers[key]:
            peers[peer].add(key)
    return peers


def _home_from_key(key: VmKey) -> Home:
    return Home(key.zone, key.vm, '')
