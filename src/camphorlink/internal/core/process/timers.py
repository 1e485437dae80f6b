"""Timer service that is advanced explicitly instead of reading a clock.

The owner passes the time to ``advance``, so the same code runs on the event
loop's clock in a daemon and on a virtual clock in tests.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[float], None]


class TimerKey(NamedTuple):
    """Handle of one scheduled callback.

    Attributes:
        due_s: Core time at which the callback is due, in seconds.
        number: Sequence number, which orders callbacks of the same time.
    """

    due_s: float
    number: int


class Timers:
    """Schedules callbacks and calls them in the order of their due times."""

    def __init__(self) -> None:
        """Creates a service without scheduled callbacks."""
        self._heap: list[TimerKey] = []
        self._callback_by_key: dict[TimerKey, Callback] = {}
        self._numbers = itertools.count()

    def call_at(self, due_s: float, callback: Callback) -> TimerKey:
        """Schedules a callback.

        Args:
            due_s: Core time in seconds.
            callback: Function that receives the time of the call.

        Returns:
            The key that cancels the callback.
        """
        key = TimerKey(due_s, next(self._numbers))
        self._callback_by_key[key] = callback
        heapq.heappush(self._heap, key)
        return key

    def call_every(
        self,
        now: float,
        period_s: float,
        callback: Callback,
    ) -> None:
        """Schedules a callback at ``now + period_s`` and then periodically.

        Each further call is scheduled one period after the previous call.
        """
        self.call_at(
            now + period_s,
            lambda called_s: self._repeat(called_s, period_s, callback),
        )

    def _repeat(
        self,
        now: float,
        period_s: float,
        callback: Callback,
    ) -> None:
        callback(now)
        self.call_every(now, period_s, callback)

    def cancel(self, key: TimerKey) -> None:
        """Cancels a callback; does nothing if it was called or cancelled."""
        self._callback_by_key.pop(key, None)

    def next_due_s(self) -> float | None:
        """Returns the due time of the next callback, or ``None``."""
        while self._heap and self._heap[0] not in self._callback_by_key:
            heapq.heappop(self._heap)
        return self._heap[0].due_s if self._heap else None

    def advance(self, now: float) -> None:
        """Calls all callbacks that are due at ``now``, by due time."""
        while self._heap and self._heap[0].due_s <= now:
            key = heapq.heappop(self._heap)
            callback = self._callback_by_key.pop(key, None)
            if callback is not None:
                callback(now)
