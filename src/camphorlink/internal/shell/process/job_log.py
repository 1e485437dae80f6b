"""The job log on a VM: appends in groups, and folds what all VMs append.

One append is under way at a time; requests that come meanwhile share the next
one.  An append without an answer is repeated under the same number until its
fate is known.  Records are folded in the log's order: from own appends, from
what peers announce, and from the store where there is a gap.
"""

import asyncio
import collections
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import NamedTuple, Self

from camphorlink.errors import (
    JobNotStoredError,
    JobRecordError,
    StoreError,
    StoreRefusedError,
    StoreTrimmedError,
)
from camphorlink.internal.core.process.job_snapshot import (
    read_snapshot,
    take_snapshot,
)
from camphorlink.internal.core.process.job_table import Change, JobTable
from camphorlink.internal.core.request.job_records import (
    Record,
    SnapshotTaken,
    decode_record,
    encode_record,
)
from camphorlink.internal.shell.ports import AppendStamp, LogPort
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s

TOPIC = 'camphorlink-jobs'
SNAPSHOT_TOPIC = 'keyed.camphorlink-snapshot'
#: Longest body of one append, in bytes: a quarter of the store's bound.
MAX_BATCH_BYTES = 512 * 1024
#: Length of one chunk of a snapshot, in bytes, under the store's bound of
#: 256 KiB for a record.
CHUNK_BYTES = 128 * 1024
#: Time for the answer to an append, in seconds: a slow store takes 0.3 s.
APPEND_TIMEOUT_S = 0.7
#: Time for an answer to a read, in seconds.
READ_TIMEOUT_S = 1.5
#: Time that a gap is left to peers' announcements before the store is read.
GAP_S = 0.015
#: Period of reading the log's end, which confirms ownership, in seconds.
POLL_S = 0.7
#: Pauses between repeated appends, in seconds.
MIN_REPEAT_S = 0.05
MAX_REPEAT_S = 0.5
#: Age of the oldest unanswered append, or of failing ones, from which new
#: work is refused instead of queued, in seconds.
STALLED_S = 0.6
#: Period of snapshots, in seconds: a third of the shortest history kept.
SNAPSHOT_S = 5.0

OnChange = Callable[[Change], None]


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


class JobLog:
    """Appends to the job log and keeps the job table true to it.

    Attributes:
        table: The folded state.
        confirmed_s: Start of the last read that reached the log's end.
        answered_s: When the store last answered.
    """

    def __init__(
        self,
        log: LogPort,
        producer: str,
        on_change: OnChange,
        on_reset: Callable[[], None],
        announce: Callable[[int, Sequence[bytes]], None],
    ) -> None:
        """Takes the store, this process's name, and who gets the news."""
        self.table = JobTable()
        self.confirmed_s = float('-inf')
        self.answered_s = float('-inf')
        self.counts: collections.Counter[str] = collections.Counter()
        self._log = log
        self._producer = producer
        self._on_change = on_change
        self._on_reset = on_reset
        self._announce = announce
        self._queue: collections.deque[_Pending] = collections.deque()
        self._queued = asyncio.Event()
        self._batch_by_offset: dict[int, tuple[bytes, ...]] = {}
        self._gap_timer: asyncio.TimerHandle | None = None
        self._read_lock = asyncio.Lock()
        self._stalled_since_s: float | None = None
        self._sequence = 0
        self._parts = PartLog('job-log')
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Starts to append and to read; does not wait for the store."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._write_forever()),
            loop.create_task(self._poll_forever()),
        ]
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops both."""
        for task in self._tasks:
            task.cancel()

    @property
    def is_caught_up(self) -> bool:
        """Whether the log was ever read to its end."""
        return self.confirmed_s > float('-inf')

    @property
    def is_stalled(self) -> bool:
        """Whether appends have been failing for a while."""
        since_s = self._stalled_since_s
        return since_s is not None and now_s() - since_s > STALLED_S

    def append(
        self,
        record: Record,
        is_durable: bool = True,
    ) -> asyncio.Future[int]:
        """Queues a record; the future gets its offset once it is stored.

        A record that is not durable fails with ``JobNotStoredError`` when the
        store is away and it was never sent, or was refused each time.
        """
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # Nobody may wait for it: its failure is no news then.
        done.add_done_callback(_look_at_failure)
        pending = _Pending(encode_record(record), is_durable, done, now_s())
        self._queue.append(pending)
        self._queued.set()
        return done

    def hear(self, offset: int, records: Sequence[bytes]) -> None:
        """Takes records that a peer has appended."""
        if offset + len(records) > self.table.next_offset:
            self._batch_by_offset[offset] = tuple(records)
            self._fold_ready()

    async def catch_up(self) -> bool:
        """Reads the log to its end; tells whether that worked."""
        async with self._read_lock:
            started_s = now_s()
            try:
                await self._read_to_end()
            except StoreTrimmedError:
                self._parts.warning('history was too short')
                await self._restore()
                return False
            except StoreError as exc:
                self.counts['failed-read'] += 1
                self._parts.debug('read failed', extra={'error': str(exc)})
                return False
            self.confirmed_s = started_s
            return True

    async def _read_to_end(self) -> None:
        while True:
            offset = self.table.next_offset
            page = await self._log.read(TOPIC, offset, READ_TIMEOUT_S)
            self.answered_s = now_s()
            if page.records:
                self._batch_by_offset[offset] = page.records
                self._fold_ready()
            if self.table.next_offset >= page.end_offset:
                return

    async def _restore(self) -> bool:
        """Takes the newest snapshot if it is ahead of the table.

        Returns:
            Whether the store was asked and answered usably.
        """
        try:
            items, _ = await self._log.newest(SNAPSHOT_TOPIC, READ_TIMEOUT_S)
            table = read_snapshot(
                (entry.key.rpartition('/')[0], entry.content) for entry in items
            )
        except (StoreError, JobRecordError) as exc:
            self.counts['failed-recovery'] += 1
            self._parts.warning('no snapshot read', extra={'error': str(exc)})
            return False
        self.answered_s = now_s()
        if table is not None and table.next_offset > self.table.next_offset:
            # The table's identity is kept: others hold on to it.
            self.table.__dict__.update(table.__dict__)
            self.counts['recovery'] += 1
            self._parts.info(
                'state rebuilt from a snapshot',
                extra={'offset': table.next_offset},
            )
            self._on_reset()
            self._fold_ready()
        return True

    # Folding.

    def _fold_ready(self) -> None:
        table = self.table
        while self._batch_by_offset:
            first = min(self._batch_by_offset)
            if first > table.next_offset:
                break
            records = self._batch_by_offset.pop(first)
            for body in records[table.next_offset - first :]:
                self._fold(body)
        if self._batch_by_offset and self._gap_timer is None:
            loop = asyncio.get_running_loop()
            self._gap_timer = loop.call_later(GAP_S, self._fill_gap)

    def _fold(self, body: bytes) -> None:
        try:
            record = decode_record(body)
        except JobRecordError as exc:
            self.counts['unreadable-record'] += 1
            self._parts.error('record skipped', extra={'error': str(exc)})
            self.table.skip()
            return
        for change in self.table.apply(record):
            self._on_change(change)

    def _fill_gap(self) -> None:
        self._gap_timer = None
        if self._batch_by_offset:
            self.counts['gap-read'] += 1
            task = asyncio.get_running_loop().create_task(self._catch_up())
            self._tasks = [known for known in self._tasks if not known.done()]
            self._tasks.append(task)

    async def _catch_up(self) -> None:
        await self.catch_up()

    async def _poll_forever(self) -> None:
        while not await self._restore():
            await asyncio.sleep(MAX_REPEAT_S / 2)
        while True:
            started_s = now_s()
            await self.catch_up()
            self._tend_gap()
            spent_s = now_s() - started_s
            await asyncio.sleep(max(POLL_S - spent_s, MIN_REPEAT_S))

    def _tend_gap(self) -> None:
        if self._batch_by_offset and self._gap_timer is None:
            self._fill_gap()

    # Appending.

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
        if not batch:
            return
        self._sequence += 1
        stamp = AppendStamp(self._producer, 1, self._sequence)
        records = tuple(pending.body for pending in batch)
        may_have_landed = False
        pause_s = MIN_REPEAT_S
        while True:
            sent_s = now_s()
            try:
                offset = await self._log.append(
                    TOPIC,
                    records,
                    APPEND_TIMEOUT_S,
                    stamp,
                )
            except StoreRefusedError as exc:
                self._note_failure('refused', sent_s, exc)
                if not may_have_landed:
                    batch = self._drop_refused(batch)
                    records = tuple(pending.body for pending in batch)
                    if not batch:
                        self._sequence -= 1
                        return
            except StoreError as exc:
                self._note_failure('unanswered', sent_s, exc)
                may_have_landed = True
            else:
                break
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_REPEAT_S)
        self._stalled_since_s = None
        self.answered_s = now_s()
        self.counts['append'] += 1
        self._announce(offset, records)
        self.hear(offset, records)
        self._settle(batch, offset)

    def _settle(self, batch: list[_Pending], offset: int) -> None:
        for place, pending in enumerate(batch):
            if not pending.done.done():
                pending.done.set_result(offset + place)

    def _drop_refused(self, batch: list[_Pending]) -> list[_Pending]:
        kept = []
        for pending in batch:
            if pending.is_durable:
                kept.append(pending)
            elif not pending.done.done():
                pending.done.set_exception(JobNotStoredError('refused'))
        return kept

    def _note_failure(
        self,
        what: str,
        sent_s: float,
        exc: StoreError,
    ) -> None:
        self.counts[f'append-{what}'] += 1
        if self._stalled_since_s is None:
            self._stalled_since_s = sent_s
            self._parts.warning('append failed', extra={'error': str(exc)})

    async def write_snapshot(self, writer: str) -> None:
        """Writes a snapshot of the table, and says so in the log.

        Args:
            writer: Name under which it replaces the writer's earlier one.
        """
        chunks = take_snapshot(self.table, CHUNK_BYTES)
        offset = self.table.next_offset
        records = [
            self._log.keyed(f'{writer}/{number}', chunk)
            for number, chunk in enumerate(chunks)
        ]
        try:
            await self._log.append(SNAPSHOT_TOPIC, records, READ_TIMEOUT_S)
        except StoreError as exc:
            self.counts['failed-snapshot'] += 1
            self._parts.warning('no snapshot', extra={'error': str(exc)})
            return
        self.append(SnapshotTaken(offset))


def _look_at_failure(done: asyncio.Future[int]) -> None:
    if not done.cancelled():
        done.exception()
