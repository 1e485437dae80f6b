"""Encodes the records of the job log as CBOR, and decodes them."""

from collections.abc import Callable, Sequence
from functools import singledispatch
from typing import Any

import cbor2

from camphorlink.internal.core.request.crash_codec import (
    decode_crash,
    encode_crash,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_codec import decode_job, encode_job
from camphorlink.internal.core.request.job_records import (
    BackendCrashed,
    BackendsCommanded,
    BackendSurvived,
    CellClaimed,
    JobAccepted,
    JobCancelled,
    Record,
    RunCompletion,
    RunsCompleted,
    SnapshotTaken,
    TasksMoved,
)
from camphorlink.store_errors import JobRecordError

#: Exceptions that decoding malformed bytes may raise.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    cbor2.CBORError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


@singledispatch
def _encode_fields(record: Any) -> list[Any]:
    raise TypeError(record)


@_encode_fields.register
def _encode_accepted(record: JobAccepted) -> list[Any]:
    return [
        'accepted',
        encode_job(record.job),
        [list(row) for row in record.cells],
    ]


@_encode_fields.register
def _encode_ended(record: RunsCompleted) -> list[Any]:
    completions = [
        [*completion.task, completion.run, completion.is_done]
        for completion in record.completions
    ]
    return ['ended', record.cell, record.term, completions]


@_encode_fields.register
def _encode_cancelled(record: JobCancelled) -> list[Any]:
    return ['cancelled', record.job_id]


@_encode_fields.register
def _encode_claimed(record: CellClaimed) -> list[Any]:
    return ['claimed', *record]


@_encode_fields.register
def _encode_commanded(record: BackendsCommanded) -> list[Any]:
    return ['commanded', *record]


@_encode_fields.register
def _encode_moved(record: TasksMoved) -> list[Any]:
    return ['moved', *record[:3], [list(task) for task in record.tasks]]


@_encode_fields.register
def _encode_crashed(record: BackendCrashed) -> list[Any]:
    return ['crashed', *encode_crash(record)]


@_encode_fields.register
def _encode_survived(record: BackendSurvived) -> list[Any]:
    return ['survived', *record]


@_encode_fields.register
def _encode_snapshot(record: SnapshotTaken) -> list[Any]:
    return ['snapshot', record.offset]


def _decode_ended(
    cell: str, term: int, completions: list[list[Any]]
) -> RunsCompleted:
    return RunsCompleted(
        cell,
        term,
        tuple(
            RunCompletion(TaskKey(job_id, step, index), run, is_done)
            for job_id, step, index, run, is_done in completions
        ),
    )


def _decode_commanded(
    cell: str,
    term: int,
    incarnations: list[list[Any]],
    inherited: Sequence[list[Any]] = (),
) -> BackendsCommanded:
    return BackendsCommanded(
        cell,
        term,
        tuple((backend, started_ms) for backend, started_ms in incarnations),
        tuple(
            (backend, started_ms, left_ms)
            for backend, started_ms, left_ms in inherited
        ),
    )


def _decode_moved(
    cell: str,
    term: int,
    to_cell: str,
    tasks: list[list[Any]],
) -> TasksMoved:
    return TasksMoved(
        cell, term, to_cell, tuple(TaskKey(*task) for task in tasks)
    )


_DECODER_BY_KIND: dict[str, Callable[..., Record]] = {
    'accepted': lambda job, cells: JobAccepted(
        decode_job(job),
        tuple(tuple(row) for row in cells),
    ),
    'ended': _decode_ended,
    'cancelled': JobCancelled,
    'claimed': CellClaimed,
    'commanded': _decode_commanded,
    'moved': _decode_moved,
    'crashed': decode_crash,
    'survived': BackendSurvived,
    'snapshot': SnapshotTaken,
}


def encode_record(record: Record) -> bytes:
    """Encodes a record for the job log."""
    return cbor2.dumps(_encode_fields(record))


def decode_record(body: bytes) -> Record:
    """Decodes a record of the job log.

    Raises:
        JobRecordError: The bytes are not a valid record.
    """
    try:
        kind, *fields = cbor2.loads(body)
        return _DECODER_BY_KIND[kind](*fields)
    except DECODE_ERRORS as exc:
        raise JobRecordError(
            f'{len(body)} bytes are not a job log record: {exc!r}'
        ) from exc
