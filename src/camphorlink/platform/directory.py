"""Decodes records that operators and runners publish in the platform's store.

The topics may hold arbitrary bytes of other writers: entries with a missing
field or a field of a wrong type are logged, counted and skipped.
"""

import collections
import re
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    ReportedClock,
)
from camphorlink.internal.core.request.durable_job import Resources
from camphorlink.internal.core.request.queue_checks import (
    InvalidQueueError,
    check_priority,
)
from camphorlink.internal.core.request.queue_shares import (
    QueueShare,
    check_share,
    check_sums,
)
from camphorlink.internal.core.version.zone_drains import DrainRecord
from camphorlink.internal.shell.ports import JobConfig, KeyedRecord, Queue
from camphorlink.internal.shell.process.logs import PartLog, describe_error
from camphorlink.platform.documents import (
    check_address,
    check_duration,
    check_text,
    decode_document,
    read_text,
    read_whole,
)
from camphorlink.platform.store_client import decode_keyed

CONFIG_KEY = 'config'
#: Keys of requests to drain a zone, followed by the name of the zone.
DRAIN_PREFIX = 'evacuate/'
_STATES = frozenset(('ready', 'draining'))
#: The only fields that change with each report of a runner that has no news.
_COUNTERS = re.compile(rb'"(?:sequence|clock_ms)":\s*\d+')
_CLOCK = re.compile(rb'"clock_ms":\s*(\d{1,15})\b')


class _Report(NamedTuple):
    """A runner's latest report.

    Attributes:
        content: The report without its counters.
        backend: The decoded report.
    """

    content: bytes
    backend: ListedBackend


class Directory:
    """Decoder of published records; implements ``DirectoryPort``.

    Attributes:
        config_topic: Topic of the configuration and of zone drains.
        backends_topic: Topic of the list of runners.
        counts: Number of skipped entries by their kind.
        clock_by_id: The clock that each runner has last reported.
    """

    config_topic = 'keyed.op'
    backends_topic = 'keyed.servers'

    def __init__(self) -> None:
        """Initializes the decoder with zero counts."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.clock_by_id: dict[str, ReportedClock] = {}
        self._report_by_id: dict[str, _Report] = {}
        self._invalid_config = b''
        self._log = PartLog('directory')

    def decode_config(self, records: Sequence[bytes]) -> JobConfig | None:
        """Returns the last valid configuration in records, or ``None``."""
        config: JobConfig | None = None
        for record in records:
            entry = decode_keyed(record)
            if entry is None or entry.key != CONFIG_KEY or not entry.content:
                continue
            try:
                config = _read_config(decode_document(entry.content))
            except Exception as exc:
                self._reject_config(entry.content, exc)
        return config

    def _reject_config(self, content: bytes, exc: Exception) -> None:
        """Counts and logs an invalid version once.

        Each full read of the topic returns the newest version again.
        """
        if content == self._invalid_config:
            return
        self._invalid_config = content
        if not isinstance(exc, InvalidQueueError):
            self._count_skipped('config', exc)
            return
        self.counts['config'] += 1
        self._log.warning(
            'configuration rejected: invalid queue',
            extra={'queue': exc.queue, 'fault': exc.fault},
        )

    def decode_drains(
        self, records: Sequence[bytes]
    ) -> Mapping[str, DrainRecord]:
        """Returns the newest record about the drain of each zone."""
        drain_by_zone: dict[str, DrainRecord] = {}
        for record in records:
            entry = decode_keyed(record)
            if entry is not None and entry.key.startswith(DRAIN_PREFIX):
                zone = entry.key.removeprefix(DRAIN_PREFIX)
                drain_by_zone[zone] = _read_drain(entry.content)
        return drain_by_zone

    def decode_backends(
        self,
        records: Sequence[bytes],
    ) -> Mapping[str, ListedBackend | None]:
        """Returns back ends by identifier, ``None`` for removed ones."""
        backend_by_id: dict[str, ListedBackend | None] = {}
        for record in records:
            entry = decode_keyed(record)
            if entry is None:
                self._count_skipped('runner', ValueError('record has no key'))
                continue
            backend_by_id[entry.key] = None
            if not entry.content:
                self._report_by_id.pop(entry.key, None)
                self.clock_by_id.pop(entry.key, None)
                continue
            try:
                backend = self._read_report(entry)
                backend_by_id[entry.key] = backend
                self._read_clock(entry, backend)
            except Exception as exc:
                # Entries of other writers may hold anything; none of them
                # removes the runner, or keeps the others from being read.
                self._count_skipped('runner', exc)
                backend_by_id.pop(entry.key)
        return backend_by_id

    def _read_report(self, entry: KeyedRecord) -> ListedBackend:
        """Decodes a report, or returns the known one if only repeated.

        Every runner repeats its report each second or so.
        """
        content = _COUNTERS.sub(b'', entry.content)
        known = self._report_by_id.get(entry.key)
        if known is not None and known.content == content:
            return known.backend
        backend = _read_backend(entry.key, decode_document(entry.content))
        self._report_by_id[entry.key] = _Report(content, backend)
        return backend

    def _read_clock(self, entry: KeyedRecord, backend: ListedBackend) -> None:
        reading = _CLOCK.search(entry.content)
        if reading is not None:
            self.clock_by_id[entry.key] = ReportedClock(
                backend.started_ms, int(reading[1])
            )

    def _count_skipped(self, entry_kind: str, exc: Exception) -> None:
        self.counts[entry_kind] += 1
        self._log.warning(
            f'{entry_kind} entry skipped', extra={'error': describe_error(exc)}
        )


def _read_drain(content: bytes) -> DrainRecord:
    if not content:
        return DrainRecord.CANCELLED
    try:
        document = decode_document(content)
    except ValueError:
        return DrainRecord.UNREADABLE
    if isinstance(document, dict):
        return DrainRecord.REQUESTED
    return DrainRecord.UNREADABLE


def _read_config(document: dict[str, Any]) -> JobConfig:
    queues = tuple(_read_queue(route) for route in document['routes'])
    check_sums(
        QueueShare(queue.name, queue.service, queue.share) for queue in queues
    )
    return JobConfig(
        version=read_whole(document, 'version'),
        queues=queues,
        max_body_bytes=read_whole(document['limits'], 'max_body_bytes'),
    )


def _read_queue(route: dict[str, Any]) -> Queue:
    name = read_text(route, 'name')
    return Queue(
        name=name,
        host=read_text(route, 'host'),
        prefix=read_text(route, 'path_prefix'),
        service=read_text(route, 'service'),
        priority=check_priority(name, route.get('priority', 0)),
        max_attempts=int(route.get('max_attempts', 1)),
        slack_factor=float(route.get('slack_factor', 1)),
        target_ms=int(route.get('target_latency_ms', 0)),
        needs_advice=bool(route.get('advice')),
        share=check_share(str(route.get('name')), route.get('share')),
    )


def _read_backend(backend_id: str, document: dict[str, Any]) -> ListedBackend:
    state = read_text(document, 'state')
    if state not in _STATES:
        raise ValueError('unknown state')
    capacity = document['capacity']
    labels = document['labels']
    if not isinstance(labels, list):
        raise TypeError('labels must be a list')
    return ListedBackend(
        backend_id=backend_id,
        started_ms=read_whole(document, 'born'),
        service=read_text(document, 'service'),
        address=check_address(read_text(document, 'address')),
        zone=read_text(document, 'zone'),
        capacity=Resources(
            read_whole(capacity, 'cpu'),
            read_whole(capacity, 'mem_mb'),
            read_whole(capacity, 'gpu'),
        ),
        labels=tuple(check_text(label, 'label') for label in labels),
        is_draining=state == 'draining',
        remaining_ms=check_duration(
            document.get('remaining_ms', 0), 'remaining_ms'
        ),
    )
