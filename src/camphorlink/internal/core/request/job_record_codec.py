"""Records of the job log as bytes, and back."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any

import cbor2

from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.job_records import (
    Accepted,
    Cancelled,
    Claimed,
    Commanded,
    End,
    Ended,
    Moved,
    Record,
    SnapshotTaken,
)
from camphorlink.store_errors import JobRecordError

#: Place of the steps among the fields of a job.
STEPS = DurableJob._fields.index('steps')
#: What decoding of foreign bytes may raise.
UNREADABLE = (cbor2.CBORError, LookupError, TypeError, ValueError)


def encode_job(job: DurableJob) -> list[Any]:
    """Writes a job as a plain list."""
    plain: list[Any] = list(job)
    plain[STEPS] = [
        [step.width, list(step.needs), *step[2:]] for step in job.steps
    ]
    return plain


def decode_job(plain: list[Any]) -> DurableJob:
    """Reads what ``encode_job`` wrote."""
    fields = list(plain)
    fields[STEPS] = tuple(_decode_step(*step) for step in plain[STEPS])
    return DurableJob(*fields)


def _decode_step(
    width: int,
    needs: list[int],
    estimate_ms: int,
    after: list[int],
    *rest: Any,
) -> Step:
    return Step(width, Resources(*needs), estimate_ms, tuple(after), *rest)


@singledispatch
def _plain(record: Any) -> list[Any]:
    raise TypeError(record)


@_plain.register
def _plain_accepted(record: Accepted) -> list[Any]:
    return [
        'accepted',
        encode_job(record.job),
        [list(row) for row in record.cells],
    ]


@_plain.register
def _plain_ended(record: Ended) -> list[Any]:
    ends = [[*end.task, end.run, end.is_done] for end in record.ends]
    return ['ended', record.cell, record.term, ends]


@_plain.register
def _plain_cancelled(record: Cancelled) -> list[Any]:
    return ['cancelled', record.job_id]


@_plain.register
def _plain_claimed(record: Claimed) -> list[Any]:
    return ['claimed', *record]


@_plain.register
def _plain_commanded(record: Commanded) -> list[Any]:
    return ['commanded', *record]


@_plain.register
def _plain_moved(record: Moved) -> list[Any]:
    return ['moved', *record[:3], [list(task) for task in record.tasks]]


@_plain.register
def _plain_snapshot(record: SnapshotTaken) -> list[Any]:
    return ['snapshot', record.offset]


def _ended(cell: str, term: int, ends: list[list[Any]]) -> Ended:
    return Ended(
        cell,
        term,
        tuple(
            End(TaskKey(job_id, step, index), run, is_done)
            for job_id, step, index, run, is_done in ends
        ),
    )


def _commanded(cell: str, term: int, lifetimes: list[list[Any]]) -> Commanded:
    return Commanded(
        cell,
        term,
        tuple((backend, started_ms) for backend, started_ms in lifetimes),
    )


def _moved(
    cell: str,
    term: int,
    to_cell: str,
    tasks: list[list[Any]],
) -> Moved:
    return Moved(cell, term, to_cell, tuple(TaskKey(*task) for task in tasks))


_BUILD_BY_KIND: dict[str, Callable[..., Record]] = {
    'accepted': lambda job, cells: Accepted(
        decode_job(job),
        tuple(tuple(row) for row in cells),
    ),
    'ended': _ended,
    'cancelled': Cancelled,
    'claimed': Claimed,
    'commanded': _commanded,
    'moved': _moved,
    'snapshot': SnapshotTaken,
}


def encode_record(record: Record) -> bytes:
    """Writes a record as it stands in the log."""
    return cbor2.dumps(_plain(record))


def decode_record(body: bytes) -> Record:
    """Reads a record of the log.

    Raises:
        JobRecordError: If another writer left something else there.
    """
    try:
        kind, *fields = cbor2.loads(body)
        return _BUILD_BY_KIND[kind](*fields)
    except UNREADABLE as exc:
        raise JobRecordError(f'{len(body)} bytes: {exc!r}') from exc
