"""Lending of free slots between the entry VMs of an availability zone.

A VM with waiting tasks sends some peers a want, the number of slots that it
could use.  A peer with free slots, whose own waiting tasks are less urgent,
lends some of them for a term of ``LOAN_TERM_S``, in which the borrower may
start tasks on them.  The borrower returns each slot that is idle.  A slot whose
task runs past the term is returned when the task has ended.  If the return
message is lost, the lender reclaims the slot after ``LOAN_TIMEOUT_S``.
"""

import math
from collections import Counter
from collections.abc import Mapping
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.connection.slot_messages import (
    SlotLoan,
    SlotReturn,
    SlotWant,
)
from camphorlink.internal.core.connection.want_budget import WantBudget
from camphorlink.internal.core.process.messages import SendPeer
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.identifiers import Home

#: Time for which a want is valid at the receiving peer, in seconds.
WANT_VALID_S = 0.5
#: Interval of repeated wants while tasks wait, in seconds.
WANT_INTERVAL_S = 0.25
#: Time in which a borrower may start tasks on a slot, in seconds.
LOAN_TERM_S = 0.05
#: Shortest interval at which loans and returns are sent, in seconds.
BATCH_INTERVAL_S = 0.02
#: Time after which the lender reclaims a slot that was not returned, in
#: seconds; longer than a task may run.
LOAN_TIMEOUT_S = 30.0
MAX_WANTED_SLOTS = 128
#: A peer's job takes precedence if it is due earlier than the jobs of this
#: VM by more than this margin, in seconds.
DUE_TIME_MARGIN_S = 0.02


class Want(NamedTuple):
    """Request for slots, of this VM or of a peer.

    Attributes:
        slots: Number of slots.
        due_s: Core time at which the most urgent waiting job is due, in
            seconds.
        min_speed: Speed that a back end must exceed to be useful.
        until_s: Core time until which a peer's want is valid, or until which
            a sent want is not repeated, in seconds; otherwise 0.
    """

    slots: int
    due_s: float
    min_speed: float
    until_s: float


NO_WANT = Want(0, math.inf, math.inf, 0.0)


def merge_wants(first: Want, second: Want) -> Want:
    """Combines the wants of two services of this VM into one.

    Its due time and its minimum speed are the lower ones of both.
    """
    return Want(
        first.slots + second.slots,
        min(first.due_s, second.due_s),
        min(first.min_speed, second.min_speed),
        0.0,
    )


class LoanKey(NamedTuple):
    """Identifies slots of a backend server that one peer lent or borrowed.

    Attributes:
        peer: Peer that lent the slots to this VM or borrowed them from it.
        backend: Name of the backend server.
    """

    peer: Home
    backend: str


class SlotLending:
    """Lends slots to the peers of a zone and borrows slots from them."""

    def __init__(
        self,
        timers: Timers,
        load_by_backend: Mapping[str, BackendLoad],
        address_by_peer: Mapping[Home, str],
    ) -> None:
        """Creates the state without any loan or want.

        Args:
            timers: Timer service of the core.
            load_by_backend: The back ends of the zone; the caller updates this
                mapping.
            address_by_peer: The addresses of the other entry VMs of the
                zone; the caller updates this mapping.
        """
        self._timers = timers
        self._load_by_backend = load_by_backend
        self._address_by_peer = address_by_peer
        self._want_by_peer: dict[Home, Want] = {}
        self._borrowed_by_key: Counter[LoanKey] = Counter()
        self._term_end_s_by_peer: dict[Home, float] = {}
        self._pending_returns: Counter[LoanKey] = Counter()
        self._lent_by_key: Counter[LoanKey] = Counter()
        self._reclaim_s_by_loan: dict[LoanKey, float] = {}
        self._want_sent = NO_WANT
        self._budget = WantBudget()
        self._next_batch_s = 0.0
        self._is_batch_due = False
        self._effects: list[SendPeer] = []

    def take_effects(self) -> list[SendPeer]:
        """Returns and removes the messages collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    @singledispatchmethod
    def handle_message(
        self, message: PeerMessage, peer: Home, now: float
    ) -> None:
        """Handles a want, loan or return of a peer; ignores other messages."""

    @handle_message.register
    def _handle_want(self, message: SlotWant, peer: Home, now: float) -> None:
        self._want_by_peer[peer] = Want(
            message.slots,
            now + message.slack_s,
            message.min_speed,
            now + WANT_VALID_S,
        )

    @handle_message.register
    def _handle_loan(self, message: SlotLoan, peer: Home, now: float) -> None:
        self._term_end_s_by_peer[peer] = now + message.term_s
        for backend, slots in message.slots_by_backend.items():
            load = self._load_by_backend.get(backend)
            if load is not None and slots > 0:
                self._borrowed_by_key[LoanKey(peer, backend)] += slots
                load.borrowed += slots
        received_slots = sum(message.slots_by_backend.values())
        sent = self._want_sent
        self._want_sent = sent._replace(
            slots=max(sent.slots - received_slots, 0)
        )

    @handle_message.register
    def _handle_return(
        self, message: SlotReturn, peer: Home, now: float
    ) -> None:
        for backend, slots in message.slots_by_backend.items():
            self._record_return(LoanKey(peer, backend), slots)

    def release_expired_slots(self, now: float) -> None:
        """Queues idle borrowed slots for return if their term has ended.

        This is called before each scheduling pass.
        """
        for key in tuple(self._borrowed_by_key):
            if self._term_end_s_by_peer.get(key.peer, 0) < now:
                self._queue_return(key)

    def exchange_slots(self, want: Want, now: float) -> None:
        """Sends the wants, loans and returns that are due.

        This is called after each scheduling pass.

        Args:
            want: Slots that the waiting tasks of this VM still need.
            now: Core time in seconds.
        """
        if not self._address_by_peer:
            return
        if want.slots:
            self._send_want(
                want._replace(slots=min(want.slots, MAX_WANTED_SLOTS)), now
            )
        if self._borrowed_by_key or self._pending_returns or self._want_by_peer:
            self._process_batch(want, now)

    def broadcast(self, message: PeerMessage) -> None:
        """Sends a message to every peer of the zone."""
        for address in self._address_by_peer.values():
            self._effects.append(SendPeer(address, message))

    def _send_want(self, want: Want, now: float) -> None:
        sent = self._want_sent
        is_covered_by_sent = (
            want.slots <= 2 * sent.slots
            and want.due_s >= sent.due_s
            and want.min_speed >= sent.min_speed
        )
        if now < sent.until_s and is_covered_by_sent:
            return
        addresses = self._budget.choose_peers(
            self._address_by_peer.values(), now
        )
        if not addresses:
            return
        self._want_sent = want._replace(until_s=now + WANT_INTERVAL_S)
        message = SlotWant(want.slots, want.due_s - now, want.min_speed)
        self._effects.extend(
            SendPeer(address, message) for address in addresses
        )

    def _process_batch(self, want: Want, now: float) -> None:
        if now >= self._next_batch_s:
            self._next_batch_s = now + BATCH_INTERVAL_S
            self._send_returns(now)
            self._lend_slots(want, now)
        elif not self._is_batch_due:
            self._is_batch_due = True
            self._timers.call_at(self._next_batch_s, self._handle_batch_timer)

    def _handle_batch_timer(self, now: float) -> None:
        # The scheduling pass after this event calls ``exchange_slots``, which
        # sends the batch.  Only overdue loans are reclaimed here.
        self._is_batch_due = False
        for key, reclaim_s in list(self._reclaim_s_by_loan.items()):
            if reclaim_s < now:
                self._record_return(key, self._lent_by_key[key])
                self._reclaim_s_by_loan.pop(key)

    def _send_returns(self, now: float) -> None:
        for loan_key in tuple(self._borrowed_by_key):
            self._queue_return(loan_key)
        returns_by_peer: dict[Home, dict[str, int]] = {}
        for key, slots in self._pending_returns.items():
            returns_by_peer.setdefault(key.peer, {})[key.backend] = slots
        self._pending_returns.clear()
        for peer, slots_by_backend in returns_by_peer.items():
            self._send(peer, SlotReturn(slots_by_backend))

    def _queue_return(self, key: LoanKey) -> None:
        load = self._load_by_backend[key.backend]
        idle = min(self._borrowed_by_key[key], load.free)
        if idle <= 0:
            return
        load.borrowed -= idle
        self._pending_returns[key] += idle
        self._borrowed_by_key[key] -= idle
        if not self._borrowed_by_key[key]:
            self._borrowed_by_key.pop(key)

    def _lend_slots(self, own_want: Want, now: float) -> None:
        wants = sorted(
            self._want_by_peer.items(),
            key=lambda peer_and_want: peer_and_want[1].due_s,
        )
        for peer, want in wants:
            if want.until_s < now or peer not in self._address_by_peer:
                self._want_by_peer.pop(peer)
            elif want.due_s + DUE_TIME_MARGIN_S < own_want.due_s:
                self._lend_slots_to(peer, want, now)

    def _lend_slots_to(self, peer: Home, want: Want, now: float) -> None:
        loan = self._create_loan(peer, want, now)
        if not loan:
            return
        remaining_slots = want.slots - sum(loan.values())
        self._want_by_peer[peer] = want._replace(slots=remaining_slots)
        if remaining_slots <= 0:
            self._want_by_peer.pop(peer)
        self._send(peer, SlotLoan(loan, LOAN_TERM_S))

    def _create_loan(
        self, peer: Home, want: Want, now: float
    ) -> dict[str, int]:
        loan: dict[str, int] = {}
        wanted_slots = want.slots
        loads = sorted(self._load_by_backend.values(), key=_negative_speed)
        for load in loads:
            unused = load.allotted - load.lent - load.in_flight
            slots = min(unused, load.free, wanted_slots)
            if slots <= 0 or load.speed <= want.min_speed:
                continue
            key = LoanKey(peer, load.backend.name)
            self._lent_by_key[key] += slots
            self._reclaim_s_by_loan[key] = now + LOAN_TIMEOUT_S
            load.lent += slots
            loan[load.backend.name] = slots
            wanted_slots -= slots
        return loan

    def _record_return(self, key: LoanKey, slots: int) -> None:
        slots = min(slots, self._lent_by_key[key])
        load = self._load_by_backend.get(key.backend)
        if load is not None:
            load.lent -= slots
        self._lent_by_key[key] -= slots

    def _send(self, peer: Home, message: PeerMessage) -> None:
        address = self._address_by_peer.get(peer)
        if address is not None:
            self._effects.append(SendPeer(address, message))


def _negative_speed(load: BackendLoad) -> float:
    return -load.speed
