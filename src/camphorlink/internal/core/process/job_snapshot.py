"""A job table as bytes, for readers that the log's history is too short for.

A snapshot is cut into chunks that fit a record.  Every chunk names its
snapshot, so that a reader who gets chunks of two snapshots notices it.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import cbor2

from camphorlink.internal.core.process.job_table import (
    EndedJob,
    JobState,
    JobTable,
    LiveJob,
    Owner,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_record_codec import (
    DECODE_ERRORS,
    decode_job,
    encode_job,
)
from camphorlink.store_errors import JobRecordError

_STATES = tuple(JobState)


class Chunk(NamedTuple):
    """A part of a snapshot.

    Attributes:
        offset: What the snapshot covers.
        number: Number of the part, from 0.
        total: Number of parts.
        body: The bytes.
    """

    offset: int
    number: int
    total: int
    body: bytes


def take_snapshot(table: JobTable, chunk_bytes: int) -> list[bytes]:
    """Writes a table as encoded chunks."""
    body = cbor2.dumps(_plain_table(table))
    parts = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]
    return [
        cbor2.dumps([table.next_offset, number, len(parts), part])
        for number, part in enumerate(parts)
    ]


def read_snapshot(
    encoded: Iterable[tuple[str, bytes]],
) -> JobTable | None:
    """Rebuilds a table from the newest snapshot that is whole.

    Args:
        encoded: Writer and content of each chunk, in any order.

    Returns:
        The table, or ``None`` when there is no chunk.

    Raises:
        JobRecordError: If there are chunks, but no whole snapshot.
    """
    parts_by_snapshot: dict[tuple[int, str], list[Chunk]] = {}
    try:
        for writer, content in encoded:
            chunk = Chunk(*cbor2.loads(content))
            key = (chunk.offset, writer)
            parts_by_snapshot.setdefault(key, []).append(chunk)
        for key in sorted(parts_by_snapshot, reverse=True):
            parts = sorted(parts_by_snapshot[key])
            if len(parts) == parts[0].total:
                body = b''.join(chunk.body for chunk in parts)
                return _build_table(parts[0].offset, *cbor2.loads(body))
    except DECODE_ERRORS as exc:
        raise JobRecordError(f'unreadable snapshot: {exc!r}') from exc
    if parts_by_snapshot:
        raise JobRecordError('no snapshot is whole')
    return None


def _plain_table(table: JobTable) -> list[Any]:
    return [
        table.last_term,
        {cell: list(owner) for cell, owner in table.owner_by_cell.items()},
        table.commanded_by_cell,
        [_plain_live(live) for live in table.live_by_id.values()],
        [
            [job_id, _STATES.index(ended.state), ended.accepted_ms]
            for job_id, ended in table.ended_by_id.items()
        ],
    ]


def _plain_live(live: LiveJob) -> list[Any]:
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
    lives: list[list[Any]],
    ended: list[list[Any]],
) -> JobTable:
    table = JobTable()
    table.next_offset = offset
    table.snapshot_offset = offset
    table.last_term = last_term
    table.owner_by_cell = {cell: Owner(*row) for cell, row in owners.items()}
    table.commanded_by_cell = commanded
    for row in lives:
        live = _build_live(*row)
        table.live_by_id[live.job.job_id] = live
    table.ended_by_id = {
        job_id: EndedJob(_STATES[state], accepted_ms)
        for job_id, state, accepted_ms in ended
    }
    return table


def _build_live(
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
