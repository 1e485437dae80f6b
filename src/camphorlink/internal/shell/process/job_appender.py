"""Appends records to the job log in batches, each record exactly once.

One append is in progress at a time; records that are queued during it share
the next one.  An unanswered append is retried with the same sequence number
until its result is known: before that, its records may or may not be stored,
so none of them may be reported as stored or refused.
"""

import asyncio
import collections
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import NamedTuple, Self

from camphorlink.internal.shell.ports import AppendId, LogPort
from camphorlink.internal.shell.process.background import keep_running
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s
from camphorlink.store_errors import (
    JobNotStoredError,
    StoreError,
    StoreRefusedError,
    StoreUnansweredError,
)

#: Size at which a batch is closed, in bytes: a quarter of the store's limit.
MAX_BATCH_BYTES = 512 * 1024
#: Timeout of one append, in seconds: a slow store takes 0.3 s.
APPEND_TIMEOUT_S = 0.7
#: Bounds of the back-off between retries of an append, in seconds.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
#: Time that appends have been failing, or that a record has been queued,
#: after which records that are not durable are refused, in seconds.
STALL_THRESHOLD_S = 0.6
#: Each process uses one epoch: its producer name is new at each start.
ONLY_EPOCH = 1

#: Called with the offset of the first appended record and with all records.
OnAppended = Callable[[int, Sequence[bytes]], None]


class _PendingRecord(NamedTuple):
    """A queued record.

    Attributes:
        body: The encoded record.
        is_durable: Whether it is retried until it is stored.
        done: Resolved with the offset of the record once it is stored.
        queued_s: Time at which it was queued, on the clock of ``now_s``.
    """

    body: bytes
    is_durable: bool
    done: asyncio.Future[int]
    queued_s: float


class JobAppender:
    """Appends the records of one process to a topic.

    Attributes:
        counts: Number of append attempts by result.
    """

    def __init__(
        self,
        log: LogPort,
        topic: str,
        producer: str,
        on_appended: OnAppended,
    ) -> None:
        """Creates the appender; it appends nothing before it is entered.

        Args:
            log: The store.
            topic: Topic to append to.
            producer: Name of this process.
            on_appended: Called after each successful append.
        """
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
        """Starts the task that appends queued records."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(
            keep_running(self._write_forever, MIN_RETRY_DELAY_S, self._part_log)
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the task; queued records are not appended."""
        self._task.cancel()

    @property
    def is_stalled(self) -> bool:
        """Whether appends have failed for longer than ``STALL_THRESHOLD_S``."""
        since_s = self._stalled_since_s
        return since_s is not None and now_s() - since_s > STALL_THRESHOLD_S

    def append(self, body: bytes, is_durable: bool) -> asyncio.Future[int]:
        """Queues a record; the future is resolved with its offset when stored.

        The future of a record that is not durable fails with
        ``JobNotStoredError`` if the record was not sent because the store is
        unavailable, or if the store refused every attempt.
        """
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # Prevents a warning from asyncio when nothing awaits a failed future.
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
                pending.done.set_exception(
                    JobNotStoredError('store is unavailable')
                )
                continue
            batch.append(pending)
            size += len(pending.body)
        return batch

    def _should_refuse(self, pending: _PendingRecord) -> bool:
        return not pending.is_durable and (
            self.is_stalled or now_s() - pending.queued_s > STALL_THRESHOLD_S
        )

    async def _write_batch(self, batch: list[_PendingRecord]) -> None:
        """Appends a batch, with retries.

        Returns when the batch is stored, or when all of its records were
        refused and none is durable.
        """
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
        # No append was carried out with this sequence number, so reuse it.
        self._sequence -= 1

    async def _send(self, batch: list[_PendingRecord]) -> int:
        try:
            return await self._log.append(
                self._topic,
                [pending.body for pending in batch],
                APPEND_TIMEOUT_S,
                AppendId(self._producer, ONLY_EPOCH, self._sequence),
            )
        except StoreError:
            raise
        except Exception as exc:
            # The store may have the records; they are sent again.
            self._part_log.exception('append failed unexpectedly')
            raise StoreUnansweredError('append failed unexpectedly') from exc

    def _complete_batch(self, batch: list[_PendingRecord], offset: int) -> None:
        self._stalled_since_s = None
        self.counts['done'] += 1
        try:
            self._on_appended(offset, [pending.body for pending in batch])
        except Exception:
            self._part_log.exception('stored records could not be applied')
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
            pending.done.set_exception(
                JobNotStoredError('store refused the append')
            )
    return kept


def _retrieve_exception(done: asyncio.Future[int]) -> None:
    if not done.cancelled():
        done.exception()
