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

from camphorlink.internal.shell.ports import AppendStamp, LogPort
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
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
#: Time that appends have been failing, or a record has waited, from which new
#: work is refused instead of queued, in seconds.
STALL_THRESHOLD_S = 0.6
#: A process has one epoch: its name is new at each start.
ONLY_EPOCH = 1

#: Gets the offset of the first of the records that were appended.
OnAppended = Callable[[int, Sequence[bytes]], None]


class _PendingRecord(NamedTuple):
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
        self._queue: collections.deque[_PendingRecord] = collections.deque()
        self._queued = asyncio.Event()
        self._stalled_since_s: float | None = None
        self._sequence = 0
        self._part_log = PartLog('appender')

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
        return since_s is not None and now_s() - since_s > STALL_THRESHOLD_S

    def append(self, body: bytes, is_durable: bool) -> asyncio.Future[int]:
        """Queues a record; the future gets its offset once it is stored.

        A record that is not durable fails with ``JobNotStoredError`` when the
        store is away and it was never sent, or was refused each time.
        """
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # Nobody may wait for it: its failure is no news then.
        done.add_done_callback(_retrieve_exception)
        self._queue.append(_PendingRecord(body, is_durable, done, now_s()))
        self._queued.set()
        return done

    async def _write_forever(self) -> None:
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._queue:
                await self._write_batch(self._next_batch())

    def _next_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            pending = self._queue.popleft()
            if self._should_refuse(pending):
                pending.done.set_exception(JobNotStoredError('store is away'))
                continue
            batch.append(pending)
            size += len(pending.body)
        return batch

    def _should_refuse(self, pending: _PendingRecord) -> bool:
        return not pending.is_durable and (
            self.is_stalled or now_s() - pending.queued_s > STALL_THRESHOLD_S
        )

    async def _write_batch(self, batch: list[_PendingRecord]) -> None:
        """Appends a batch, however often that has to be tried."""
        may_be_stored = False
        delay_s = MIN_RETRY_DELAY_S
        self._sequence += 1
        while batch:
            sent_s = now_s()
            try:
                offset = await self._send(batch)
            except StoreRefusedError as exc:
                self._record_failure('refused', sent_s, exc)
                if not may_be_stored:
                    batch = _drop_refused(batch)
            except StoreError as exc:
                self._record_failure('unanswered', sent_s, exc)
                may_be_stored = True
            else:
                self._complete_batch(batch, offset)
                return
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
        # Nothing was done under this number.
        self._sequence -= 1

    async def _send(self, batch: list[_PendingRecord]) -> int:
        return await self._log.append(
            self._topic,
            [pending.body for pending in batch],
            APPEND_TIMEOUT_S,
            AppendStamp(self._producer, ONLY_EPOCH, self._sequence),
        )

    def _complete_batch(self, batch: list[_PendingRecord], offset: int) -> None:
        self._stalled_since_s = None
        self.counts['done'] += 1
        self._on_appended(offset, [pending.body for pending in batch])
        for index, pending in enumerate(batch):
            if not pending.done.done():
                pending.done.set_result(offset + index)

    def _record_failure(
        self,
        outcome: str,
        sent_s: float,
        exc: StoreError,
    ) -> None:
        self.counts[outcome] += 1
        if self._stalled_since_s is None:
            self._stalled_since_s = sent_s
            self._part_log.warning('append failed', extra={'error': str(exc)})


def _drop_refused(batch: list[_PendingRecord]) -> list[_PendingRecord]:
    kept = []
    for pending in batch:
        if pending.is_durable:
            kept.append(pending)
        elif not pending.done.done():
            pending.done.set_exception(JobNotStoredError('refused'))
    return kept


def _retrieve_exception(done: asyncio.Future[int]) -> None:
    if not done.cancelled():
        done.exception()
