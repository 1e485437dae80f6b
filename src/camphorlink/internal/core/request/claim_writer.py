"""Claims callers' keys in the log service with a limited append rate."""

from functools import singledispatchmethod

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.timers import TimerKey, Timers
from camphorlink.internal.core.request.claim_records import stream_name
from camphorlink.internal.core.request.claim_stream import (
    ClaimRequest,
    ClaimStream,
    OnClaimResult,
)

DEFAULT_APPENDS_PER_S = 20.0
#: Capacity of the token bucket: appends that may be sent in one burst.
MAX_BURST = 4.0
#: Minimum delay, because rounding may leave slightly less than one token.
MIN_WAIT_S = 0.001
#: Capacity of the claim indexes of one process, over all its streams.
MAX_KEYS = 60_000


class AppendBudget:
    """Token bucket that limits the rate of appends."""

    def __init__(self, appends_per_s: float) -> None:
        """Creates a full bucket that refills at ``appends_per_s``."""
        self._appends_per_s = appends_per_s
        self._tokens = MAX_BURST
        self._updated_s = 0.0

    def try_take(self, now: float) -> bool:
        """Takes a token for one append; returns whether one was available."""
        added_tokens = (now - self._updated_s) * self._appends_per_s
        self._tokens = min(MAX_BURST, self._tokens + added_tokens)
        self._updated_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def next_append_s(self, now: float) -> float:
        """Returns the core time at which a token will be available."""
        missing_s = (1 - self._tokens) / self._appends_per_s
        return now + max(MIN_WAIT_S, missing_s)


class ClaimWriter:
    """Claims keys in all streams that this process writes.

    A stream is read from its start at the first request for one of its keys.
    Streams are served round-robin, so that none starves when the append budget
    is exhausted.
    """

    def __init__(
        self,
        timers: Timers,
        wall_offset_s: float,
        appends_per_s: float,
        on_result: OnClaimResult,
    ) -> None:
        """Creates a writer without streams.

        Args:
            timers: Timer service of the core.
            wall_offset_s: Wall-clock time minus core time, in seconds.
            appends_per_s: Appends per second that this process may make.
            on_result: Called with the result of each claim request.
        """
        self._timers = timers
        self._wall_offset_s = wall_offset_s
        self._budget = AppendBudget(appends_per_s)
        self._on_result = on_result
        self._stream_by_name: dict[str, ClaimStream] = {}
        self._effects: list[messages.Effect] = []
        self._timer: TimerKey | None = None
        self._now = 0.0

    def take_effects(self) -> list[messages.Effect]:
        """Returns and clears the reads and appends collected so far."""
        effects = self._effects
        self._effects = []
        return effects

    def request(self, request: ClaimRequest, now: float) -> None:
        """Adds a request to claim a key."""
        name = stream_name(request.key)
        if name not in self._stream_by_name:
            stream = ClaimStream(name, self._on_result)
            self._stream_by_name[name] = stream
        self._stream_by_name[name].request(request)
        self.pump(now)

    def handle(self, message: messages.ClaimEvent, now: float) -> None:
        """Handles the result of a read or an append."""
        self._now = now
        stream = self._stream_by_name.get(message.stream)
        if stream is not None:
            self._apply(message, stream)
            self.pump(now)

    def pump(self, now: float) -> None:
        """Starts the reads and appends that the budget and delays allow."""
        due_s: list[float] = []
        for name in tuple(self._stream_by_name):
            stream = self._stream_by_name[name]
            if stream.is_busy or not stream.has_requests:
                continue
            stream_due_s = self._step(stream, now)
            if stream_due_s is not None:
                due_s.append(stream_due_s)
        self._schedule_pump(min(due_s, default=None))

    def _step(self, stream: ClaimStream, now: float) -> float | None:
        """Starts the next step of a stream, or returns when to retry it."""
        if now < stream.retry_at_s:
            return stream.retry_at_s
        if stream.needs_append and not self._budget.try_take(now):
            return self._budget.next_append_s(now)
        effect = stream.next_step(now)
        if effect is not None:
            self._effects.append(effect)
            # Moves the stream to the end of the round-robin order.
            self._stream_by_name[stream.name] = self._stream_by_name.pop(
                stream.name,
            )
        return None

    def _schedule_pump(self, due_s: float | None) -> None:
        if self._timer is not None:
            self._timers.cancel(self._timer)
            self._timer = None
        if due_s is not None:
            self._timer = self._timers.call_at(due_s, self.pump)

    @singledispatchmethod
    def _apply(self, message: messages.ClaimEvent, stream: ClaimStream) -> None:
        raise TypeError(message)

    @_apply.register
    def _appended(
        self,
        message: messages.ClaimsAppended,
        stream: ClaimStream,
    ) -> None:
        stream.handle_appended(message, self._now + self._wall_offset_s)
        self._shrink(stream)

    @_apply.register
    def _not_appended(
        self,
        message: messages.ClaimsNotAppended,
        stream: ClaimStream,
    ) -> None:
        stream.handle_failure(self._now, must_read=message.is_uncertain)

    @_apply.register
    def _read(self, message: messages.ClaimsRead, stream: ClaimStream) -> None:
        stream.handle_read(message, self._now + self._wall_offset_s)
        self._shrink(stream)

    @_apply.register
    def _not_read(
        self,
        message: messages.ClaimsNotRead,
        stream: ClaimStream,
    ) -> None:
        stream.handle_failure(self._now, must_read=True)

    def _shrink(self, stream: ClaimStream) -> None:
        stream.index.shrink(MAX_KEYS // len(self._stream_by_name))
