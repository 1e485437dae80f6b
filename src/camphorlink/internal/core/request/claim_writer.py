"""Claims callers' keys in the log service, under a budget of appends."""

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
#: Appends that may follow each other at once after a quiet time.
MAX_BURST = 4.0
#: Rounding may leave a bucket a hair short of full, in seconds.
MIN_WAIT_S = 0.001
#: First claims that one process remembers, over all its streams.
MAX_KEYS = 60_000


class AppendBudget:
    """Token bucket of appends."""

    def __init__(self, appends_per_s: float) -> None:
        """Starts full."""
        self._appends_per_s = appends_per_s
        self._tokens = MAX_BURST
        self._updated_s = 0.0

    def try_take(self, now: float) -> bool:
        """Takes one append out of the budget, if there is one."""
        added_tokens = (now - self._updated_s) * self._appends_per_s
        self._tokens = min(MAX_BURST, self._tokens + added_tokens)
        self._updated_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def next_append_s(self, now: float) -> float:
        """Returns the time at which there will be one."""
        missing_s = (1 - self._tokens) / self._appends_per_s
        return now + max(MIN_WAIT_S, missing_s)


class ClaimWriter:
    """All streams that this process claims keys in.

    A stream is read from its start when the first key of it is asked for.
    Streams take turns, so that none waits for ever when the budget is short.
    """

    def __init__(
        self,
        timers: Timers,
        wall_offset_s: float,
        appends_per_s: float,
        on_result: OnClaimResult,
    ) -> None:
        """Starts without a stream."""
        self._timers = timers
        self._wall_offset_s = wall_offset_s
        self._budget = AppendBudget(appends_per_s)
        self._on_result = on_result
        self._stream_by_name: dict[str, ClaimStream] = {}
        self._effects: list[messages.Effect] = []
        self._timer: TimerKey | None = None
        self._now = 0.0

    def take_effects(self) -> list[messages.Effect]:
        """Hands over the reads and appends collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def request(self, request: ClaimRequest, now: float) -> None:
        """Takes a wish to claim a key."""
        name = stream_name(request.key)
        if name not in self._stream_by_name:
            stream = ClaimStream(name, self._on_result)
            self._stream_by_name[name] = stream
        self._stream_by_name[name].request(request)
        self.pump(now)

    def handle(self, message: messages.ClaimEvent, now: float) -> None:
        """Takes what became of a read or an append."""
        self._now = now
        stream = self._stream_by_name.get(message.stream)
        if stream is not None:
            self._apply(message, stream)
            self.pump(now)

    def pump(self, now: float) -> None:
        """Makes the next steps that budget and delays allow."""
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
        """Makes a stream's next step; returns when to try again if none."""
        if now < stream.retry_s:
            return stream.retry_s
        if stream.needs_append and not self._budget.try_take(now):
            return self._budget.next_append_s(now)
        effect = stream.next_step(now)
        if effect is not None:
            self._effects.append(effect)
            # To the end of the line.
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
