"""Appends records to the job log, in groups, each of them once.

One append is under way at a time; records that come meanwhile share the next
one.  An append without an answer is repeated under the same number until its
fate is known: nothing may be said about its records before.
"""

import asyncio
import collections
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import NamedTuple, Self

from camphorlink.internal.shell.ports import AppendId, LogPort
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s
from camphorlink.store_errors import (
    JobNotStoredError,
    StoreError,
    StoreRefusedError,
)

#: Longest body of one append, in bytes: a quarter of the store's bound.
MAX_BATCH_BYTES = 512 * 1024
#: Time for the answer to an append, in seconds: a slow store takes 0.3 s.
APPEND_TIMEOUT_S = 0.7
#: Pauses between repeated appends, in seconds.
MIN_REPEAT_S = 0.05
MAX_REPEAT_S = 0.5
#: Time that appends have been failing, or a record has waited, from which new
#: work is refused instead of queued, in seconds.
STALLED_S = 0.6
#: A process has one epoch: its name is new at each start.
ONLY_EPOCH = 1

#: Gets the offset of the first of the records that were appended.
OnAppended = Callable[[int, Sequence[bytes]], None]


class _Pending(NamedTuple):
    """A record that waits to be appended.

    Attributes:
        body: The encoded record.
        is_durable: Whether it is appended however long that takes.
        done: Gets the record's offset once it is stored.
        queued_s: When it was queued.
    """

    body: bytes
    is_durable: bool
    done: asyncio.Future[int]
    queued_s: float


class JobAppender:
    """The one writer of a process to a topic.

    Attributes:
        counts: Appends and their failures, by what happened.
    """

    def __init__(
        self,
        log: LogPort,
        topic: str,
        producer: str,
        on_appended: OnAppended,
    ) -> None:
        """Takes the store, the topic and this process's name."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._log = log
        self._topic = topic
        self._producer = producer
        self._on_appended = on_appended
        self._queue: collections.deque[_Pending] = collections.deque()
        self._queued = asyncio.Event()
        self._stalled_since_s: float | None = None
        self._sequence = 0
        self._part = PartLog('appender')

    async def __aenter__(self) -> Self:
        """Starts to append."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._write_forever())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops; what is not appended stays undone."""
        self._task.cancel()

    @property
    def is_stalled(self) -> bool:
        """Whether appends have been failing for a while."""
        since_s = self._stalled_since_s
        return since_s is not None and now_s() - since_s > STALLED_S

    def append(self, body: bytes, is_durable: bool) -> asyncio.Future[int]:
        """Queues a record; the future gets its offset once it is stored.

        A record that is not durable fails with ``JobNotStoredError`` when the
        store is away and it was never sent, or was refused each time.
        """
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # Nobody may wait for it: its failure is no news then.
        done.add_done_callback(_look_at_failure)
        self._queue.append(_Pending(body, is_durable, done, now_s()))
        self._queued.set()
        return done

    async def _write_forever(self) -> None:
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._queue:
                await self._write_batch(self._next_batch())

    def _next_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            pending = self._queue.popleft()
            if self._is_refusable(pending):
                pending.done.set_exception(JobNotStoredError('store is away'))
                continue
            batch.append(pending)
            size += len(pending.body)
        return batch

    def _is_refusable(self, pending: _Pending) -> bool:
        return not pending.is_durable and (
            self.is_stalled or now_s() - pending.queued_s > STALLED_S
        )

    async def _write_batch(self, batch: list[_Pending]) -> None:
        """Appends a batch, however often that has to be tried."""
        may_have_landed = False
        pause_s = MIN_REPEAT_S
        self._sequence += 1
        while batch:
            sent_s = now_s()
            try:
                offset = await self._send(batch)
            except StoreRefusedError as exc:
                self._note_failure('refused', sent_s, exc)
                if not may_have_landed:
                    batch = _drop_refused(batch)
            except StoreError as exc:
                self._note_failure('unanswered', sent_s, exc)
                may_have_landed = True
            else:
                self._settle(batch, offset)
                return
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_REPEAT_S)
        # Nothing was done under this number.
        self._sequence -= 1

    async def _send(self, batch: list[_Pending]) -> int:
        return await self._log.append(
            self._topic,
            [pending.body for pending in batch],
            APPEND_TIMEOUT_S,
            AppendId(self._producer, ONLY_EPOCH, self._sequence),
        )

    def _settle(self, batch: list[_Pending], offset: int) -> None:
        self._stalled_since_s = None
        self.counts['done'] += 1
        self._on_appended(offset, [pending.body for pending in batch])
        for place, pending in enumerate(batch):
            if not pending.done.done():
                pending.done.set_result(offset + place)

    def _note_failure(
        self,
        what: str,
        sent_s: float,
        exc: StoreError,
    ) -> None:
        self.counts[what] += 1
        if self._stalled_since_s is None:
            self._stalled_since_s = sent_s
            self._part.warning('append failed', extra={'error': str(exc)})


def _drop_refused(batch: list[_Pending]) -> list[_Pending]:
    kept = []
    for pending in batch:
        if pending.is_durable:
            kept.append(pending)
        elif not pending.done.done():
            pending.done.set_exception(JobNotStoredError('refused'))
    return kept


def _look_at_failure(done: asyncio.Future[int]) -> None:
    if not done.cancelled():
        done.exception()
