"""A fleet on virtual time over which one change of configuration spreads.

Messages take about a millisecond, the log hands a record to one reader after
the other, and heartbeats carry versions, as in the daemons.  Heartbeats that
would be sent anyway are not counted; announcements are.
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
#: When a zone that was cut off is connected again.
HEALED_AT_S = 10.0
VMS_PER_ZONE = 8

#: Bytes with TCP, IP and websocket headers and the acknowledgement.
OVERHEAD_BYTES = 92
HEARTBEAT_BYTES = 25 + OVERHEAD_BYTES
REQUEST_BYTES = 15 + OVERHEAD_BYTES
#: A long poll over HTTP, its headers both ways, without the records.
POLL_BYTES = 600


class Sizes(NamedTuple):
    """Bytes of what spreads.

    Attributes:
        record: The proposal as a patch and its approval.
        state: The whole state as peers give it, compressed.
    """

    record: int
    state: int


class Fault(NamedTuple):
    """What is wrong while the change spreads.

    Attributes:
        name: For the report.
        is_inner_vm_dead: Whether a VM that others rely on is dead.
        is_log_unreachable: Whether the last zone does not reach the log.
        is_zone_partitioned: Whether it reaches nobody, until it heals.
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
    """VMs, what they know, and the traffic so far."""

    def __init__(
        self, size: int, fault: Fault, sizes: Sizes, seed: int
    ) -> None:
        """Builds the fleet; nothing happens before ``run``."""
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
        """Subscribes to VMs that learn of the change."""
        self._listeners.append(on_received)

    def call_at(self, due_s: float, action: Action) -> None:
        """Plans an event."""
        heapq.heappush(
            self._events,
            _Event(due_s, next(self._numbers), action),
        )

    def receive_change(self, key: VmKey) -> None:
        """Lets a VM have the change, if it has not."""
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
        """Sends a message, which is counted and may get lost."""
        self.messages += 1
        self.sent_bytes += size
        if target in self.dead or not self._is_connected(origin, target):
            return
        delay_s = LINK_DELAY_S * self.rng.uniform(0.5, 1.5)
        self.call_at(self.now + delay_s, action)

    def can_reach_log(self, key: VmKey) -> bool:
        """Says whether a VM reaches the log now."""
        if key.zone != self.keys[-1].zone:
            return True
        if self._fault.is_zone_partitioned:
            return self.now >= HEALED_AT_S
        return not self._fault.is_log_unreachable

    def run(self) -> None:
        """Plays all events of a run."""
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
    """Every VM, or one alone, waits at the log for the next record."""

    def __init__(self, fleet: BroadcastFleet, readers: list[VmKey]) -> None:
        """Lets the record be appended at time 0."""
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
    """Heartbeats announce versions; who is behind asks a peer."""

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
            # This heartbeat is due anyway.
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
