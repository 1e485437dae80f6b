"""Encodes and decodes snapshots of the job table.

A reader that starts after the log was trimmed begins with a snapshot.  It is
split into chunks that fit into a record.  Every chunk identifies its snapshot,
so that a reader detects chunks of different snapshots.
"""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import cbor2

from camphorlink.internal.core.process.job_table import (
    EndedJob,
    JobState,
    JobTable,
    LiveJob,
    Owner,
)
from camphorlink.internal.core.request.crash_codec import (
    decode_crash,
    encode_crash,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.inherited_backends import (
    InheritedBackend,
)
from camphorlink.internal.core.request.job_codec import decode_job, encode_job
from camphorlink.internal.core.request.job_record_codec import DECODE_ERRORS
from camphorlink.store_errors import JobRecordError

_STATES = tuple(JobState)
#: Number of rows that every snapshot has.  Those of earlier versions lack the row
#: of inherited back ends, or that of withdrawn jobs.
TABLE_ROWS = 6
WITHDRAWN_ROW = 7
EMPTY: Mapping[str, Any] = MappingProxyType({})


class Chunk(NamedTuple):
    """A chunk of a snapshot.

    Attributes:
        offset: Offset of the first record that the snapshot does not cover.
        number: Index of the chunk, from 0.
        total: Number of chunks of the snapshot.
        body: The chunk's bytes.
    """

    offset: int
    number: int
    total: int
    body: bytes


def encode_snapshot(table: JobTable, chunk_bytes: int) -> list[bytes]:
    """Encodes a table as chunks of at most ``chunk_bytes`` of its data."""
    body = cbor2.dumps(_table_to_rows(table))
    parts = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]
    return [
        cbor2.dumps([table.next_offset, number, len(parts), part])
        for number, part in enumerate(parts)
    ]


def _raise_unreadable(writer: str, exc: JobRecordError) -> None:
    raise exc


def read_snapshot(
    encoded_chunks: Iterable[tuple[str, bytes]],
    on_unreadable: Callable[[str, JobRecordError], None] = _raise_unreadable,
) -> JobTable | None:
    """Decodes a table from the newest complete snapshot.

    What can't be decoded is passed over, so that an odd chunk of another writer
    does not hide the snapshot.

    Args:
        encoded_chunks: Writer and content of each chunk, in any order.
        on_unreadable: Called with the writer of a chunk or of a snapshot that
            can't be decoded, and with the error; by default it is raised.

    Returns:
        The table, or ``None`` if there is no chunk.

    Raises:
        JobRecordError: If there are chunks, but no complete snapshot that can
            be decoded.
    """
    parts_by_snapshot: dict[tuple[int, str], list[Chunk]] = {}
    is_empty = True
    for writer, content in encoded_chunks:
        is_empty = False
        try:
            chunk = _decode_chunk(content)
        except JobRecordError as exc:
            on_unreadable(writer, exc)
            continue
        parts_by_snapshot.setdefault((chunk.offset, writer), []).append(chunk)
    for key in sorted(parts_by_snapshot, reverse=True):
        parts = sorted(parts_by_snapshot[key])
        if len(parts) == parts[0].total:
            try:
                return _decode_table(parts)
            except JobRecordError as exc:
                on_unreadable(key[1], exc)
    if is_empty:
        return None
    raise JobRecordError('no complete job snapshot: chunks are missing')


def _decode_chunk(content: bytes) -> Chunk:
    try:
        chunk = Chunk(*cbor2.loads(content))
    except DECODE_ERRORS as exc:
        raise JobRecordError(f'cannot decode a chunk: {exc!r}') from exc
    if tuple(map(type, chunk)) != (int, int, int, bytes):
        raise JobRecordError('a field of a chunk has a wrong type')
    return chunk


def _decode_table(parts: list[Chunk]) -> JobTable:
    body = b''.join(chunk.body for chunk in parts)
    try:
        rows = cbor2.loads(body)
        table = _build_table(parts[0].offset, *rows[:TABLE_ROWS])
        table.inherited_by_cell = _read_inherited(
            *rows[TABLE_ROWS:WITHDRAWN_ROW]
        )
        table.withdrawn_by_id = dict(*rows[WITHDRAWN_ROW:])
    except DECODE_ERRORS as exc:
        raise JobRecordError(f'cannot decode job snapshot: {exc!r}') from exc
    return table


def _table_to_rows(table: JobTable) -> list[Any]:
    return [
        table.last_term,
        {cell: list(owner) for cell, owner in table.owner_by_cell.items()},
        table.commanded_by_cell,
        [_job_to_row(live) for live in table.live_by_id.values()],
        [
            [job_id, _STATES.index(ended.state), ended.accepted_ms]
            for job_id, ended in table.ended_by_id.items()
        ],
        [encode_crash(crash) for crash in table.crashes.records],
        table.inherited_by_cell,
        table.withdrawn_by_id,
    ]


def _job_to_row(live: LiveJob) -> list[Any]:
    return [
        encode_job(live.job),
        [list(row) for row in live.cells],
        live.offset,
        [sorted(done) for done in live.done_by_step],
        [[*task, *sorted(runs)]
         for task, runs in live.failed_runs_by_task.items()],
        [[*task, cell] for task, cell in live.cell_by_task.items()],
    ]  # fmt: skip


def _build_table(
    offset: int,
    last_term: int,
    owners: dict[str, list[Any]],
    commanded: dict[str, dict[str, int]],
    live_rows: list[list[Any]],
    ended: list[list[Any]],
    crashes: list[list[Any]],
) -> JobTable:
    table = JobTable()
    table.next_offset = offset
    table.snapshot_offset = offset
    table.last_term = last_term
    table.owner_by_cell = {cell: Owner(*row) for cell, row in owners.items()}
    table.commanded_by_cell = commanded
    for row in live_rows:
        live = _build_live_job(*row)
        table.live_by_id[live.job.job_id] = live
    table.ended_by_id = {
        job_id: EndedJob(_STATES[state], accepted_ms)
        for job_id, state, accepted_ms in ended
    }
    for crash in crashes:
        table.crashes.record(decode_crash(*crash))
    return table


def _read_inherited(
    rows_by_cell: Mapping[str, Mapping[str, Any]] = EMPTY,
) -> dict[str, dict[str, InheritedBackend]]:
    return {
        cell: {
            backend_id: InheritedBackend(*fields)
            for backend_id, fields in rows.items()
        }
        for cell, rows in rows_by_cell.items()
    }


def _build_live_job(
    job: list[Any],
    cells: list[list[str]],
    offset: int,
    done: list[list[int]],
    failed: list[list[Any]],
    moved: list[list[Any]],
) -> LiveJob:
    live = LiveJob(decode_job(job), tuple(tuple(row) for row in cells), offset)
    live.done_by_step = [set(indices) for indices in done]
    live.failed_runs_by_task = {
        TaskKey(*row[:3]): set(row[3:]) for row in failed
    }
    live.cell_by_task = {TaskKey(*row[:3]): row[3] for row in moved}
    return live
