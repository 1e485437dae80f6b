"""The job log on a VM: folds what all VMs append, in the log's order.

Records come from own appends, from what peers announce, and from the store
where there is a gap.  When the store's history is too short, the state is
taken from a snapshot.
"""

import asyncio
import collections
from collections.abc import Sequence
from typing import Protocol, Self

from camphorlink.internal.core.process.job_snapshot import (
    read_snapshot,
    take_snapshot,
)
from camphorlink.internal.core.process.job_table import Change, JobTable
from camphorlink.internal.core.request.job_record_codec import (
    decode_record,
    encode_record,
)
from camphorlink.internal.core.request.job_records import Record, SnapshotTaken
from camphorlink.internal.shell.ports import LogPort
from camphorlink.internal.shell.process.job_appender import JobAppender
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.process.steady_clock import now_s
from camphorlink.store_errors import (
    JobRecordError,
    StoreError,
    StoreTrimmedError,
)

TOPIC = 'camphorlink-jobs'
SNAPSHOT_TOPIC = 'keyed.camphorlink-snapshot'
#: Length of one chunk of a snapshot, in bytes, under the store's bound of
#: 256 KiB for a record.
CHUNK_BYTES = 128 * 1024
#: Time for an answer to a read, in seconds.
READ_TIMEOUT_S = 1.5
#: Time that a gap is left to peers' announcements before the store is read.
GAP_WAIT_S = 0.015
#: Period of reading the log's end, which confirms ownership, in seconds.
POLL_PERIOD_S = 0.7
#: Pause after a read that failed, in seconds.
RETRY_DELAY_S = 0.25
#: Period of snapshots, in seconds: a third of the shortest history kept.
SNAPSHOT_PERIOD_S = 5.0


class JobLogListener(Protocol):
    """Who gets the news of the job log."""

    def note_change(self, change: Change) -> None:
        """Takes a change of the job table."""

    def note_reset(self) -> None:
        """Takes that the table was replaced: changes were passed over."""

    def announce(self, offset: int, records: Sequence[bytes]) -> None:
        """Tells peers of records that were appended here."""


class JobLog(StackOwner):
    """Keeps the job table true to the job log.

    Attributes:
        table: The folded state.
        confirmed_s: Start of the last read that reached the log's end.
        answered_s: When the store last answered.
        counts: Reads and failures, by what happened.
    """

    def __init__(
        self,
        log: LogPort,
        producer: str,
        listener: JobLogListener,
    ) -> None:
        """Takes the store, this process's name, and who gets the news."""
        super().__init__()
        self.table = JobTable()
        self.confirmed_s = float('-inf')
        self.answered_s = float('-inf')
        self.counts: collections.Counter[str] = collections.Counter()
        self.appender = JobAppender(log, TOPIC, producer, self._note_appended)
        self._log = log
        self._listener = listener
        self._batch_by_offset: dict[int, tuple[bytes, ...]] = {}
        self._gap_timer: asyncio.TimerHandle | None = None
        self._read_lock = asyncio.Lock()
        self._part_log = PartLog('job-log')
        self._gap_read: asyncio.Task[bool] | None = None

    async def __aenter__(self) -> Self:
        """Starts to append and to read; does not wait for the store."""
        await self._stack.enter_async_context(self.appender)
        poll = asyncio.get_running_loop().create_task(self._poll_forever())
        self._stack.callback(poll.cancel)
        return self

    @property
    def is_caught_up(self) -> bool:
        """Whether the log was ever read to its end."""
        return self.confirmed_s > float('-inf')

    def append(
        self,
        record: Record,
        is_durable: bool = True,
    ) -> asyncio.Future[int]:
        """Queues a record; see ``JobAppender.append``."""
        return self.appender.append(encode_record(record), is_durable)

    def receive_records(self, offset: int, records: Sequence[bytes]) -> None:
        """Takes records that were appended here or by a peer."""
        if offset + len(records) > self.table.next_offset:
            self._batch_by_offset[offset] = tuple(records)
            self._fold_ready()

    def _note_appended(self, offset: int, records: Sequence[bytes]) -> None:
        self.answered_s = now_s()
        self._listener.announce(offset, records)
        self.receive_records(offset, records)

    async def catch_up(self) -> bool:
        """Reads the log to its end; tells whether that worked."""
        async with self._read_lock:
            started_s = now_s()
            try:
                await self._read_to_end()
            except StoreTrimmedError:
                self._part_log.warning('history was too short')
                await self._restore_from_snapshot()
                return False
            except StoreError as exc:
                self.counts['failed-read'] += 1
                self._part_log.debug('read failed', extra={'error': str(exc)})
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

    async def _restore_from_snapshot(self) -> bool:
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
            self._part_log.warning(
                'no snapshot read', extra={'error': str(exc)}
            )
            return False
        self.answered_s = now_s()
        if table is not None and table.next_offset > self.table.next_offset:
            # The table's identity is kept: others hold on to it.
            self.table.__dict__.update(table.__dict__)
            self.counts['recovery'] += 1
            self._part_log.info(
                'state rebuilt from a snapshot',
                extra={'offset': table.next_offset},
            )
            self._listener.note_reset()
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
            self._gap_timer = loop.call_later(GAP_WAIT_S, self._fill_gap)

    def _fold(self, body: bytes) -> None:
        try:
            record = decode_record(body)
        except JobRecordError as exc:
            self.counts['unreadable-record'] += 1
            self._part_log.error('record skipped', extra={'error': str(exc)})
            self.table.skip()
            return
        for change in self.table.apply(record):
            self._listener.note_change(change)

    def _fill_gap(self) -> None:
        self._gap_timer = None
        if self._batch_by_offset:
            self.counts['gap-read'] += 1
            loop = asyncio.get_running_loop()
            self._gap_read = loop.create_task(self.catch_up())

    async def _poll_forever(self) -> None:
        while not await self._restore_from_snapshot():
            await asyncio.sleep(RETRY_DELAY_S)
        while True:
            started_s = now_s()
            await self.catch_up()
            self._fill_gap_if_due()
            spent_s = now_s() - started_s
            await asyncio.sleep(max(POLL_PERIOD_S - spent_s, GAP_WAIT_S))

    def _fill_gap_if_due(self) -> None:
        if self._batch_by_offset and self._gap_timer is None:
            self._fill_gap()

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
            self._part_log.warning('no snapshot', extra={'error': str(exc)})
            return
        self.append(SnapshotTaken(offset))
