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
OnLearned = Callable[[VmKey], None]

LINK_DELAY_S = 0.001
LOG_SERVE_S = 0.0002
LOG_RETRY_S = 0.5
HEARTBEAT_S = 1.0
EXCHANGE_POLL_S = 0.1
RUN_S = 20.0
#: When a zone that was cut off is connected again.
HEAL_S = 10.0
ZONE_VMS = 8

#: Bytes with TCP, IP and websocket headers and the acknowledgement.
OVERHEAD_BYTES = 92
BEAT_BYTES = 25 + OVERHEAD_BYTES
ASK_BYTES = 15 + OVERHEAD_BYTES
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
        is_inner_dead: Whether a VM that others rely on is dead.
        is_log_cut: Whether the last zone does not reach the log.
        is_zone_cut: Whether it reaches nobody, until it heals.
    """

    name: str
    is_inner_dead: bool = False
    is_log_cut: bool = False
    is_zone_cut: bool = False


class _Event(NamedTuple):
    due_s: float
    number: int
    action: Action


class Fleet:
    """VMs, what they know, and the traffic so far."""

    def __init__(
        self, size: int, fault: Fault, sizes: Sizes, seed: int
    ) -> None:
        """Builds the fleet; nothing happens before ``run``."""
        self.keys = _name_vms(size)
        self.sizes = sizes
        self.rng = random.Random(seed)
        self.learned_s: dict[VmKey, float] = {}
        self.dead: set[VmKey] = set()
        self.messages = 0
        self.sent_bytes = 0
        self.now = 0.0
        self._fault = fault
        self._numbers = itertools.count()
        self._events: list[_Event] = []
        self._listeners: list[OnLearned] = []

    def listen(self, on_learned: OnLearned) -> None:
        """Subscribes to VMs that learn of the change."""
        self._listeners.append(on_learned)

    def call_at(self, due_s: float, action: Action) -> None:
        """Plans an event."""
        heapq.heappush(
            self._events,
            _Event(due_s, next(self._numbers), action),
        )

    def learn(self, key: VmKey) -> None:
        """Lets a VM have the change, if it has not."""
        if key in self.dead or key in self.learned_s:
            return
        self.learned_s[key] = self.now
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
        if target in self.dead or not self._is_open(origin, target):
            return
        delay_s = LINK_DELAY_S * self.rng.uniform(0.5, 1.5)
        self.call_at(self.now + delay_s, action)

    def has_log(self, key: VmKey) -> bool:
        """Says whether a VM reaches the log now."""
        if key.zone != self.keys[-1].zone:
            return True
        if self._fault.is_zone_cut:
            return self.now >= HEAL_S
        return not self._fault.is_log_cut

    def run(self) -> None:
        """Plays all events of a run."""
        while self._events and self._events[0].due_s <= RUN_S:
            event = heapq.heappop(self._events)
            self.now = event.due_s
            event.action()

    def _is_open(self, origin: VmKey, target: VmKey) -> bool:
        cut_zone = self.keys[-1].zone
        is_inside = (origin.zone == cut_zone, target.zone == cut_zone)
        is_cut = self._fault.is_zone_cut and self.now < HEAL_S
        return not is_cut or is_inside[0] == is_inside[1]


class LogTails:
    """Every VM, or one alone, waits at the log for the next record."""

    def __init__(self, fleet: Fleet, readers: list[VmKey]) -> None:
        """Lets the record be appended at time 0."""
        for place, key in enumerate(readers):
            self._read(fleet, key, place)

    def _read(self, fleet: Fleet, key: VmKey, place: int) -> None:
        if fleet.has_log(key):
            served_s = fleet.now + 2 * LINK_DELAY_S + place * LOG_SERVE_S
            fleet.messages += 1
            fleet.sent_bytes += POLL_BYTES + fleet.sizes.record
            fleet.call_at(served_s, lambda: fleet.learn(key))
            return
        again_s = fleet.now + LOG_RETRY_S * fleet.rng.uniform(0.5, 1)
        fleet.call_at(again_s, lambda: self._read(fleet, key, 0))


class Exchange:
    """Heartbeats announce versions; who is behind asks a peer."""

    def __init__(self, fleet: Fleet) -> None:
        """Starts the heartbeats and the polls of all VMs."""
        self._fleet = fleet
        self._peers = _symmetric_peers(fleet.keys)
        self._exchange_by_key = {
            key: ConfigExchange(fleet.rng) for key in fleet.keys
        }
        fleet.listen(self._announce)
        for key in fleet.keys:
            phase_s = fleet.rng.uniform(0, HEARTBEAT_S)
            fleet.call_at(phase_s, partial(self._beat, key))
            phase_s = fleet.rng.uniform(0, EXCHANGE_POLL_S)
            fleet.call_at(phase_s, partial(self._poll, key))

    def _announce(self, key: VmKey) -> None:
        for peer in self._peers[key]:
            self._fleet.send(
                key,
                peer,
                BEAT_BYTES,
                partial(self._hear, peer, key),
            )

    def _beat(self, key: VmKey) -> None:
        if key in self._fleet.learned_s:
            self._announce(key)
            # This heartbeat is due anyway.
            self._fleet.messages -= len(self._peers[key])
            self._fleet.sent_bytes -= len(self._peers[key]) * BEAT_BYTES
        next_s = self._fleet.now + HEARTBEAT_S
        self._fleet.call_at(next_s, lambda: self._beat(key))

    def _hear(self, key: VmKey, peer: VmKey) -> None:
        self._exchange_by_key[key].record_version(_home_of(peer), 2)

    def _poll(self, key: VmKey) -> None:
        fleet = self._fleet
        version = 2 if key in fleet.learned_s else 1
        asked = self._exchange_by_key[key].choose(version, fleet.now)
        if asked is not None and key not in fleet.dead:
            peer = VmKey(asked.zone, asked.vm)
            fleet.send(key, peer, ASK_BYTES, lambda: self._give(peer, key))
        next_s = fleet.now + EXCHANGE_POLL_S
        fleet.call_at(next_s, lambda: self._poll(key))

    def _give(self, key: VmKey, peer: VmKey) -> None:
        size = self._fleet.sizes.state + OVERHEAD_BYTES
        self._fleet.send(key, peer, size, lambda: self._fleet.learn(peer))


def _name_vms(size: int) -> list[VmKey]:
    zones = 3 if size <= 3 * ZONE_VMS else size // ZONE_VMS
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


def _home_of(key: VmKey) -> Home:
    return Home(key.zone, key.vm, '')
