"""Follows the job log and applies its records to the job table in order.

Records come from this VM's own appends, from announcements of peers, and from
the store if there is a gap between them.  If the store no longer keeps the
next record, the job table is restored from a snapshot.
"""

import asyncio
import collections
import itertools
from collections.abc import Sequence
from typing import Protocol, Self

from camphorlink.internal.core.process.job_snapshot import (
    encode_snapshot,
    read_snapshot,
)
from camphorlink.internal.core.process.job_table import Change, JobTable
from camphorlink.internal.core.process.offset_marks import OffsetMarks
from camphorlink.internal.core.request.job_record_codec import (
    decode_record,
    encode_record,
)
from camphorlink.internal.core.request.job_records import Record, SnapshotTaken
from camphorlink.internal.shell.ports import LogPage, LogPort
from camphorlink.internal.shell.process.background import (
    keep_running,
    start_logged,
)
from camphorlink.internal.shell.process.job_appender import JobAppender
from camphorlink.internal.shell.process.logs import PartLog, describe_error
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms
from camphorlink.store_errors import (
    JobRecordError,
    StoreError,
    StoreTrimmedError,
)

TOPIC = 'camphorlink-jobs'
SNAPSHOT_TOPIC = 'keyed.camphorlink-snapshot'
#: Size of one chunk of a snapshot, in bytes: below the store's limit of 256 KiB
#: for a record.
CHUNK_BYTES = 128 * 1024
#: Timeout of a read, and of an append of a snapshot, in seconds.
READ_TIMEOUT_S = 1.5
#: Time to wait for announcements of peers to fill a gap before the store is
#: read, in seconds.
GAP_WAIT_S = 0.015
#: Longest time that a read at the end of the log waits for a record, in seconds.
#: Each such read confirms the ownership of cells when it returns.
FOLLOW_WAIT_S = 0.8
#: Shortest time between two such reads, in seconds; limits the reads of all VMs
#: while jobs are stored all the time.
FOLLOW_PAUSE_S = 0.05
#: Number of applied records that are kept for peers that can't reach the store.
MAX_RECENT_RECORDS = 2000
#: Delay before a failed read is retried, in seconds.
RETRY_DELAY_S = 0.25
#: Period of snapshots, in seconds: a third of the shortest time for which the
#: store keeps records.
SNAPSHOT_PERIOD_S = 5.0
#: Time for which the state of an ended job is kept, in seconds: slightly longer
#: than the platform's limit for reading it.
ENDED_JOB_RETENTION_S = 130.0


class JobLogListener(Protocol):
    """Receives the events of the job log."""

    def handle_change(self, change: Change) -> None:
        """Called after each change of the job table."""

    def handle_reset(self) -> None:
        """Called after the job table was restored from a snapshot.

        The changes in between are not reported one by one.
        """

    def announce(self, offset: int, records: Sequence[bytes]) -> None:
        """Called to send peers the records that this VM has appended."""


class JobRetention:
    """Forgets the jobs of a table that ended, or were withdrawn, long ago."""

    def __init__(self, table: JobTable) -> None:
        """Creates the retention of a table."""
        self._table = table
        self._marks = OffsetMarks(ENDED_JOB_RETENTION_S)

    def forget_ended(self) -> None:
        """Forgets what is older than ``ENDED_JOB_RETENTION_S``."""
        table = self._table
        table.forget_before(wall_ms() - int(ENDED_JOB_RETENTION_S * 1000))
        table.forget_withdrawn(self._marks.advance(now_s(), table.next_offset))


class JobLog(StackOwner):
    """Applies the records of the job log to the job table.

    Times are on the clock of ``now_s``.

    Attributes:
        table: State after all records that were applied.
        confirmed_s: Start of the last read that reached the end of the log.
        answered_s: Time of the last answer of the store.
        counts: Number of reads, recoveries and failures by kind.
        appender: Appends the records of this VM.
    """

    def __init__(
        self,
        log: LogPort,
        producer: str,
        listener: JobLogListener,
    ) -> None:
        """Creates the follower; it reads nothing before it is entered.

        Args:
            log: The store.
            producer: Name of this process.
            listener: Receives the events.
        """
        super().__init__()
        self.table = JobTable()
        self.confirmed_s = float('-inf')
        self.answered_s = float('-inf')
        self.counts: collections.Counter[str] = collections.Counter()
        self.appender = JobAppender(log, TOPIC, producer, self._handle_appended)
        self._log = log
        self._listener = listener
        self._batch_by_offset: dict[int, tuple[bytes, ...]] = {}
        self._recent: collections.deque[bytes] = collections.deque(
            maxlen=MAX_RECENT_RECORDS
        )
        self._gap_timer: asyncio.TimerHandle | None = None
        self._read_lock = asyncio.Lock()
        self._part_log = PartLog('job-log')
        self._gap_read: asyncio.Task[bool] | None = None

    async def __aenter__(self) -> Self:
        """Starts to append and to read, without waiting for the store."""
        await self._stack.enter_async_context(self.appender)
        poll = asyncio.get_running_loop().create_task(
            keep_running(self._poll_forever, RETRY_DELAY_S, self._part_log)
        )
        self._stack.callback(poll.cancel)
        return self

    @property
    def is_caught_up(self) -> bool:
        """Whether the log was read to its end at least once."""
        return self.confirmed_s > float('-inf')

    def append(
        self,
        record: Record,
        is_durable: bool = True,
    ) -> asyncio.Future[int]:
        """Queues a record; see ``JobAppender.append``."""
        return self.appender.append(encode_record(record), is_durable)

    def receive_records(self, offset: int, records: Sequence[bytes]) -> None:
        """Applies records that this VM or a peer appended.

        Records after a gap are kept until the gap is filled.

        Args:
            offset: Offset of the first record.
            records: The encoded records.
        """
        if offset + len(records) > self.table.next_offset:
            self._batch_by_offset[offset] = tuple(records)
            self._fold_ready()

    def recent_records(self, offset: int) -> tuple[bytes, ...]:
        """Returns the applied records from an offset on.

        Returns nothing if there are none, or if the first is no longer kept.
        """
        first = self.table.next_offset - len(self._recent)
        if not first <= offset < self.table.next_offset:
            return ()
        return tuple(itertools.islice(self._recent, offset - first, None))

    def _handle_appended(self, offset: int, records: Sequence[bytes]) -> None:
        self.answered_s = now_s()
        self._listener.announce(offset, records)
        self.receive_records(offset, records)

    async def catch_up(self) -> bool:
        """Reads the log to its end; returns whether that succeeded."""
        async with self._read_lock:
            started_s = now_s()
            try:
                await self._read_to_end()
            except StoreTrimmedError:
                self._part_log.warning(
                    'next records are no longer stored; reading a snapshot',
                )
                await self._restore_from_snapshot()
                return False
            except StoreError as exc:
                self._count_failed_read(exc)
                return False
            self.confirmed_s = started_s
            return True

    async def _read_to_end(self) -> None:
        while True:
            offset = self.table.next_offset
            page = await self._log.read(TOPIC, offset, READ_TIMEOUT_S)
            if self._apply_page(offset, page):
                return

    def _apply_page(self, offset: int, page: LogPage) -> bool:
        """Applies the records read; returns whether the log has no more."""
        self.answered_s = now_s()
        if page.records:
            self._batch_by_offset[offset] = page.records
            self._fold_ready()
        return self.table.next_offset >= page.end_offset

    def _count_failed_read(self, exc: StoreError) -> None:
        self.counts['failed-read'] += 1
        self._part_log.debug('read failed', extra={'error': str(exc)})

    async def _restore_from_snapshot(self) -> bool:
        """Loads the newest snapshot if it is ahead of the job table.

        Returns:
            Whether the store returned a valid answer, with or without a
            snapshot.
        """
        try:
            items, _ = await self._log.read_newest(
                SNAPSHOT_TOPIC, READ_TIMEOUT_S
            )
            table = read_snapshot(
                (
                    (entry.key.rpartition('/')[0], entry.content)
                    for entry in items
                ),
                self._record_unreadable,
            )
        except (StoreError, JobRecordError) as exc:
            self.counts['failed-recovery'] += 1
            self._part_log.warning(
                'snapshot could not be read', extra={'error': str(exc)}
            )
            return False
        self.answered_s = now_s()
        if table is not None and table.next_offset > self.table.next_offset:
            # Updated in place, because other objects refer to the table.
            self.table.__dict__.update(table.__dict__)
            self._recent.clear()
            self.counts['recovery'] += 1
            self._part_log.info(
                'job table restored from a snapshot',
                extra={'offset': table.next_offset},
            )
            self._listener.handle_reset()
            self._fold_ready()
        return True

    def _record_unreadable(self, writer: str, exc: JobRecordError) -> None:
        self.counts['unreadable-snapshot'] += 1
        self._part_log.error(
            'unreadable part of a snapshot skipped',
            extra={'writer': writer, 'error': str(exc)},
        )

    # Applying records.

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
            self._gap_timer = loop.call_later(GAP_WAIT_S, self._fill_gap)

    def _fold(self, body: bytes) -> None:
        self._recent.append(body)
        try:
            changes = self.table.apply(decode_record(body))
        except Exception as exc:
            # Records may be readable and still hold values of other types.
            self.counts['unreadable-record'] += 1
            self._part_log.error(
                'unreadable record skipped',
                extra={
                    'offset': self.table.next_offset,
                    'error': describe_error(exc),
                },
            )
            self.table.skip()
            return
        for change in changes:
            self._notify(change)

    def _notify(self, change: Change) -> None:
        try:
            self._listener.handle_change(change)
        except Exception:
            self._part_log.exception('a change of a job could not be handled')

    def _fill_gap(self) -> None:
        self._gap_timer = None
        if self._batch_by_offset:
            self.counts['gap-read'] += 1
            self._gap_read = start_logged(self.catch_up(), self._part_log)

    async def _poll_forever(self) -> None:
        while not await self._restore_from_snapshot():
            await asyncio.sleep(RETRY_DELAY_S)
        await self.catch_up()
        while True:
            is_read = await self._follow_end()
            if not is_read:
                await self.catch_up()
            await asyncio.sleep(FOLLOW_PAUSE_S if is_read else RETRY_DELAY_S)

    async def _follow_end(self) -> bool:
        """Waits for new records; returns whether the log was read to its end.

        Other reads go on meanwhile, so that it does not take the lock.
        """
        started_s = now_s()
        offset = self.table.next_offset
        try:
            page = await self._log.read(
                TOPIC, offset, READ_TIMEOUT_S + FOLLOW_WAIT_S, FOLLOW_WAIT_S
            )
        except StoreError as exc:
            self._count_failed_read(exc)
            return False
        if not self._apply_page(offset, page):
            return False
        self.confirmed_s = max(self.confirmed_s, started_s)
        return True

    async def write_snapshot(self, writer: str) -> None:
        """Writes a snapshot of the job table and records it in the log.

        Args:
            writer: Name of the writer, whose earlier snapshot is replaced.
        """
        chunks = encode_snapshot(self.table, CHUNK_BYTES)
        offset = self.table.next_offset
        records = [
            self._log.encode_keyed(f'{writer}/{number}', chunk)
            for number, chunk in enumerate(chunks)
        ]
        try:
            await self._log.append(SNAPSHOT_TOPIC, records, READ_TIMEOUT_S)
        except StoreError as exc:
            self.counts['failed-snapshot'] += 1
            self._part_log.warning(
                'snapshot could not be written', extra={'error': str(exc)}
            )
            return
        self.append(SnapshotTaken(offset))
