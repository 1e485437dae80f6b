"""Timer service: parts subscribe to points in time instead of reading clocks.

The owner advances the service with the time that it was given, so the same
parts run on the loop's clock in a daemon and on a virtual clock in a test.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[float], None]


class TimerKey(NamedTuple):
    """Handle of one subscription.

    Attributes:
        due_s: Core time at which the callback is due, in seconds.
        number: Order of subscription, which breaks ties.
    """

    due_s: float
    number: int


class Timers:
    """Calls subscribers back when the time that they asked for has come."""

    def __init__(self) -> None:
        """Starts with no subscription."""
        self._heap: list[TimerKey] = []
        self._callback_by_key: dict[TimerKey, Callback] = {}
        self._numbers = itertools.count()

    def call_at(self, due_s: float, callback: Callback) -> TimerKey:
        """Subscribes to one point in time.

        Args:
            due_s: Core time in seconds.
            callback: Gets the time at which it is called.

        Returns:
            The key that ``cancel`` takes.
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
        """Subscribes to ``now + period_s`` and each period after that."""
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
        """Drops a subscription; one that is gone already is no error."""
        self._callback_by_key.pop(key, None)

    def next_due_s(self) -> float | None:
        """Tells when ``advance`` is needed next, or ``None`` for never."""
        while self._heap and self._heap[0] not in self._callback_by_key:
            heapq.heappop(self._heap)
        return self._heap[0].due_s if self._heap else None

    def advance(self, now: float) -> None:
        """Calls everyone who is due at ``now``, in order of due time."""
        while self._heap and self._heap[0].due_s <= now:
            key = heapq.heappop(self._heap)
            callback = self._callback_by_key.pop(key, None)
            if callback is not None:
                callback(now)
