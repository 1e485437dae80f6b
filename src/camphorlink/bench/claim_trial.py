"""Simulates the claims of callers' keys on a virtual clock.

Appends to the simulated log and reads from it take a fixed time.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    choose_claimer,
    stream_name,
)
from camphorlink.internal.core.request.claim_stream import (
    ClaimRequest,
    ClaimResult,
)
from camphorlink.internal.core.request.claim_writer import (
    DEFAULT_APPENDS_PER_S,
    ClaimWriter,
)
from camphorlink.internal.core.request.identifiers import MS_PER_S, Home

WALL_CLOCK_S = 1_800_000_000.0
APPEND_DELAY_S = 0.005
READ_DELAY_S = 0.002
CALLER_TIMEOUT_S = 10.0
HOME = Home('larissa', 'entry-0', '0' * 16)


class _Event(NamedTuple):
    due_s: float
    number: int
    action: Callable[[], None]


class ClaimTrial:
    """Simulates the claim writers of several VMs and a log service.

    Attributes:
        appends: Number of appends to the log.
        reads: Number of reads from the log.
        waits_s: Time from each request to its verdict, in seconds.
    """

    def __init__(self, vms: int) -> None:
        """Creates the claim writers of ``vms`` VMs, with empty streams."""
        self.appends = 0
        self.reads = 0
        self.waits_s: list[float] = []
        self._now = 0.0
        self._numbers = itertools.count()
        self._events: list[_Event] = []
        self._size_by_stream: dict[str, int] = {}
        self._timers_by_home: dict[Home, Timers] = {}
        self._writer_by_home: dict[Home, ClaimWriter] = {}
        for number in range(vms):
            home = HOME._replace(vm=f'entry-{number}')
            self._timers_by_home[home] = Timers()
            self._writer_by_home[home] = ClaimWriter(
                self._timers_by_home[home],
                WALL_CLOCK_S,
                DEFAULT_APPENDS_PER_S,
                self._record_verdict,
            )

    def run(self, rate: float, seconds: float) -> None:
        """Claims new keys at a constant rate and waits for all verdicts.

        Args:
            rate: Keys per second.
            seconds: Duration of the claims in virtual time.
        """
        for number in range(int(rate * seconds)):
            self._call_at(number / rate, partial(self._submit_key, number))
        while self._events or self._next_timer() is not None:
            self._step()

    def _step(self) -> None:
        timer_s = self._next_timer()
        if self._events and (timer_s is None or self._events[0][0] <= timer_s):
            event = heapq.heappop(self._events)
            self._now = event.due_s
            event.action()
        elif timer_s is not None:
            self._now = timer_s
            for timers in self._timers_by_home.values():
                timers.advance(self._now)
        for home in self._writer_by_home:
            self._execute_effects(home)

    def _next_timer(self) -> float | None:
        due_s = [
            timers.next_due_s() for timers in self._timers_by_home.values()
        ]
        return min((due for due in due_s if due is not None), default=None)

    def _submit_key(self, number: int) -> None:
        key = CallerKey('caster', f'booking-{number}')
        home = choose_claimer(stream_name(key), self._writer_by_home, HOME)
        issued_ms = int((WALL_CLOCK_S + self._now) * MS_PER_S)
        deadline_s = self._now + CALLER_TIMEOUT_S
        claim_request = ClaimRequest(
            key, f's-{number}', issued_ms, deadline_s, HOME
        )
        self._writer_by_home[home].request(claim_request, self._now)

    def _record_verdict(self, verdict: ClaimResult) -> None:
        requested_s = verdict.request.deadline_s - CALLER_TIMEOUT_S
        self.waits_s.append(self._now - requested_s)

    def _execute_effects(self, home: Home) -> None:
        writer = self._writer_by_home[home]
        for effect in writer.take_effects():
            if isinstance(effect, messages.AppendClaims):
                self._append(writer, effect)
            elif isinstance(effect, messages.ReadClaims):
                self._read(writer, effect)

    def _append(
        self,
        writer: ClaimWriter,
        effect: messages.AppendClaims,
    ) -> None:
        self.appends += 1
        first = self._size_by_stream.get(effect.stream, 0)
        self._size_by_stream[effect.stream] = first + len(effect.records)
        appended = messages.ClaimsAppended(effect.stream, effect.batch, first)
        self._call_at(
            self._now + APPEND_DELAY_S,
            lambda: writer.handle(appended, self._now),
        )

    def _read(self, writer: ClaimWriter, effect: messages.ReadClaims) -> None:
        self.reads += 1
        size = self._size_by_stream.get(effect.stream, 0)
        claims_read = messages.ClaimsRead(effect.stream, (), 0, size)
        self._call_at(
            self._now + READ_DELAY_S,
            lambda: writer.handle(claims_read, self._now),
        )

    def _call_at(self, due_s: float, action: Callable[[], None]) -> None:
        event = _Event(due_s, next(self._numbers), action)
        heapq.heappush(self._events, event)
