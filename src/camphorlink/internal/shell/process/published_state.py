"""Follows the published configuration and the published list of back ends."""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Self

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    ReportedClock,
)
from camphorlink.internal.shell.ports import (
    DirectoryPort,
    JobConfig,
    LogPort,
)
from camphorlink.internal.shell.process.background import keep_running
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.published_drains import (
    PublishedDrains,
)
from camphorlink.internal.shell.process.steady_clock import now_s
from camphorlink.store_errors import StoreError, StoreTrimmedError

#: Longest time that one read of the configuration waits for a change, in
#: seconds.  It bounds the time to detect a connection without answers, as the
#: time limit for applying a new version requires.
CONFIG_WAIT_S = 0.8
#: Period of reading the list of back ends on the owner of a cell, in seconds:
#: half of the time that the limit for noticing a draining back end leaves.
BACKENDS_PERIOD_S = 0.5
#: The same on other VMs, which only need to know what kinds of back ends exist.
DISTANT_BACKENDS_PERIOD_S = 1.0
#: Shortest time between two reads, in seconds: a back end that has started
#: again is listed 0.05 to 0.1 s after it answers.
MIN_BACKENDS_PERIOD_S = 0.05
READ_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2
#: Time for which entries are kept that expired during an outage of the store,
#: or that a full read lacks, in seconds: live back ends are listed again within
#: 2 s after an outage, and after the store has lost its records.
LAPSED_RETENTION_S = 2.5
#: Shortest time between two answers of the store that counts as an outage, in
#: seconds.
MIN_OUTAGE_S = 1.5


class PublishedState:
    """Holds the newest configuration and the list of back ends.

    Attributes:
        config: The newest configuration, or ``None`` before the first.
        listed_by_id: The listed back ends by identifier.
        drains: The zone drains, which are read with the configuration.
        is_owner: Whether this VM owns a cell.
    """

    def __init__(
        self,
        log: LogPort,
        directory: DirectoryPort,
        on_listing: Callable[[bool], None],
        drains: PublishedDrains,
    ) -> None:
        """Creates an empty state; reading starts in the context.

        Args:
            log: The store.
            directory: Decodes the records of the topics.
            on_listing: Called after each read of the list of back ends;
                the argument tells whether the list has changed.
            drains: Receives the records of zone drains.
        """
        self.config: JobConfig | None = None
        self.listed_by_id: dict[str, ListedBackend] = {}
        self.drains = drains
        self.is_owner = False
        self._log = log
        self._directory = directory
        self._on_listing = on_listing
        self._drop_s_by_id: dict[str, float] = {}
        self._is_list_changed = True
        self._is_outdated = asyncio.Event()
        self._is_configured = asyncio.Event()
        self._part_log = PartLog('published')
        self._answered_s = now_s()
        self._returned_s = now_s()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Starts to follow the configuration and the list of back ends."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(
                keep_running(follow, RETRY_DELAY_S, self._part_log)
            )
            for follow in (self._follow_config, self._follow_backends)
        ]
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops reading."""
        for task in self._tasks:
            task.cancel()

    async def wait_for_config(self, longest_s: float) -> JobConfig | None:
        """Returns the configuration, for which it waits after a start.

        Args:
            longest_s: Longest wait, in seconds.
        """
        if self.config is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._is_configured.wait(), longest_s)
        return self.config

    @property
    def share_by_queue(self) -> dict[str, float]:
        """Shares of the queues that have one, from 0 to 1."""
        queues = () if self.config is None else self.config.queues
        return {
            queue.name: queue.share
            for queue in queues
            if queue.share is not None
        }

    @property
    def clock_by_id(self) -> Mapping[str, ReportedClock]:
        """The clock that each back end has last reported."""
        return self._directory.clock_by_id

    async def _follow_config(self) -> None:
        offset: int | None = None
        while True:
            try:
                offset = await self._read_config(offset)
            except StoreError as exc:
                self._part_log.debug(
                    'configuration could not be read', extra={'error': str(exc)}
                )
                offset = None
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_config(self, offset: int | None) -> int:
        """Reads and applies the newest records, or all without an offset.

        Returns:
            The offset from which to read on.

        Raises:
            StoreTrimmedError: Records after the offset are lost.
        """
        topic = self._directory.config_topic
        started_s = now_s()
        if offset is None:
            items, end = await self._log.read_newest(topic, READ_TIMEOUT_S)
            records = [
                self._log.encode_keyed(entry.key, entry.content)
                for entry in items
            ]
        else:
            page = await self._log.read(
                topic, offset, READ_TIMEOUT_S + CONFIG_WAIT_S, CONFIG_WAIT_S
            )
            if page.end_offset < offset:
                raise StoreTrimmedError(page.end_offset)
            records = list(page.records)
            end = offset + len(records)
        self.drains.apply(records, started_s, is_full=offset is None)
        self._apply_config(records)
        return end

    def _apply_config(self, records: list[bytes]) -> None:
        config = self._directory.decode_config(records)
        if config is None:
            return
        if self.config is None or config.version > self.config.version:
            self.config = config
            self._is_configured.set()
            self._part_log.info(
                'configuration in force',
                extra={
                    'version': config.version,
                    'queues': len(config.queues),
                },
            )

    async def _follow_backends(self) -> None:
        offset: int | None = None
        while True:
            started_s = now_s()
            try:
                offset = await self._read_backends(offset)
            except StoreError as exc:
                self._part_log.debug(
                    'list of back ends could not be read',
                    extra={'error': str(exc)},
                )
                offset = None
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._record_answer(started_s)
            self._drop_lapsed()
            self._on_listing(self._is_list_changed)
            self._is_list_changed = False
            await self._wait_for_next_read()

    def read_soon(self) -> None:
        """Reads the list of back ends soon, as an entry is outdated."""
        self._is_outdated.set()

    async def _wait_for_next_read(self) -> None:
        period_s = (
            BACKENDS_PERIOD_S if self.is_owner else DISTANT_BACKENDS_PERIOD_S
        )
        await asyncio.sleep(MIN_BACKENDS_PERIOD_S)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._is_outdated.wait(), period_s - MIN_BACKENDS_PERIOD_S
            )
        self._is_outdated.clear()

    async def _read_backends(self, offset: int | None) -> int:
        topic = self._directory.backends_topic
        if offset is None:
            items, end = await self._log.read_newest(topic, READ_TIMEOUT_S)
            records = [
                self._log.encode_keyed(entry.key, entry.content)
                for entry in items
            ]
            backend_by_id = self._directory.decode_backends(records)
            for backend_id in self.listed_by_id.keys() - backend_by_id.keys():
                # Nobody removed the entry, so that the store may have lost it.
                self._mark_lapsed(backend_id, now_s() + LAPSED_RETENTION_S)
        else:
            page = await self._log.read(topic, offset, READ_TIMEOUT_S)
            end = offset + len(page.records)
            backend_by_id = self._directory.decode_backends(page.records)
        for backend_id, backend in backend_by_id.items():
            if backend is None:
                self._mark_lapsed(backend_id, now_s())
            else:
                self._drop_s_by_id.pop(backend_id, None)
                if self.listed_by_id.get(backend_id) != backend:
                    self.listed_by_id[backend_id] = backend
                    self._is_list_changed = True
        return end

    def _mark_lapsed(self, backend_id: str, drop_s: float) -> None:
        known_s = self._drop_s_by_id.get(backend_id, drop_s)
        self._drop_s_by_id[backend_id] = min(known_s, drop_s)

    def _record_answer(self, started_s: float) -> None:
        if started_s - self._answered_s > MIN_OUTAGE_S:
            self._returned_s = now_s()
        self._answered_s = now_s()

    def _drop_lapsed(self) -> None:
        now = now_s()
        if now - self._returned_s < LAPSED_RETENTION_S:
            return
        for backend_id, drop_s in list(self._drop_s_by_id.items()):
            if now >= drop_s:
                self._drop_s_by_id.pop(backend_id)
                self.listed_by_id.pop(backend_id, None)
                self._is_list_changed = True
