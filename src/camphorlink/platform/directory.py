"""Decodes what operators and runners publish in the platform's store.

Other writers may leave anything there: an entry with a missing field, or one
of another type, is logged and counted, and names nothing.
"""

import collections
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from camphorlink.internal.core.connection.backend_commands import ListedBackend
from camphorlink.internal.core.request.durable_job import Resources
from camphorlink.internal.shell.ports import JobConfig, Queue
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.platform.store import split_keyed

CONFIG_KEY = 'config'
_STATES = frozenset(('ready', 'draining'))


class Directory:
    """Decoder of published records; implements ``DirectoryPort``."""

    config_topic = 'keyed.op'
    backends_topic = 'keyed.servers'

    def __init__(self) -> None:
        """Starts with nothing counted."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._log = PartLog('directory')

    def config_of(self, records: Sequence[bytes]) -> JobConfig | None:
        """Returns the last configuration among records of its topic."""
        found: JobConfig | None = None
        for record in records:
            entry = split_keyed(record)
            if entry is None or entry.key != CONFIG_KEY or not entry.content:
                continue
            try:
                found = _read_config(orjson.loads(entry.content))
            except (LookupError, TypeError, ValueError) as exc:
                self._skip('config', exc)
        return found

    def backends_of(
        self,
        records: Sequence[bytes],
    ) -> Mapping[str, ListedBackend | None]:
        """Returns the entries among records, ``None`` for removed ones."""
        found: dict[str, ListedBackend | None] = {}
        for record in records:
            entry = split_keyed(record)
            if entry is None:
                self._skip('runner', ValueError('no key'))
                continue
            found[entry.key] = None
            if not entry.content:
                continue
            try:
                found[entry.key] = _read_backend(
                    entry.key,
                    orjson.loads(entry.content),
                )
            except (LookupError, TypeError, ValueError) as exc:
                self._skip('runner', exc)
                # Another writer's bytes say nothing about the runner.
                found.pop(entry.key)
        return found

    def _skip(self, what: str, exc: Exception) -> None:
        self.counts[what] += 1
        self._log.warning(f'{what} entry skipped', extra={'error': repr(exc)})


def _read_config(document: dict[str, Any]) -> JobConfig:
    return JobConfig(
        version=_typed(document, 'version', int),
        queues=tuple(_read_queue(route) for route in document['routes']),
        max_body_bytes=_typed(document['limits'], 'max_body_bytes', int),
    )


def _read_queue(route: dict[str, Any]) -> Queue:
    return Queue(
        name=_typed(route, 'name', str),
        host=_typed(route, 'host', str),
        prefix=_typed(route, 'path_prefix', str),
        service=_typed(route, 'service', str),
        priority=int(route.get('priority', 0)),
        max_attempts=int(route.get('max_attempts', 1)),
        slack_factor=float(route.get('slack_factor', 1)),
        target_ms=int(route.get('target_latency_ms', 0)),
        needs_advice=bool(route.get('advice')),
    )


def _read_backend(backend_id: str, document: dict[str, Any]) -> ListedBackend:
    state = document['state']
    if state not in _STATES:
        raise ValueError(f'state {state!r}')
    capacity = document['capacity']
    labels = document['labels']
    if not isinstance(labels, list):
        raise TypeError('labels')
    return ListedBackend(
        backend_id=backend_id,
        started_ms=_typed(document, 'born', int),
        service=_typed(document, 'service', str),
        address=_typed(document, 'address', str),
        zone=_typed(document, 'zone', str),
        capacity=Resources(
            _typed(capacity, 'cpu', int),
            _typed(capacity, 'mem_mb', int),
            _typed(capacity, 'gpu', int),
        ),
        labels=tuple(str(label) for label in labels),
        is_draining=state == 'draining',
        remaining_ms=int(document.get('remaining_ms', 0)),
    )


def _typed(document: Any, name: str, kind: type) -> Any:
    found = document[name]
    if not isinstance(found, kind) or isinstance(found, bool):
        raise TypeError(f'{name}: {found!r}')
    return found
