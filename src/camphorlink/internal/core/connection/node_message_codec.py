"""Encodes messages between entry VMs as plain lists, and decodes them."""

import math
from collections.abc import Callable, Sequence
from functools import singledispatch
from typing import Any

from camphorlink.errors import PeerMessageError
from camphorlink.internal.core.connection.cell_load_codec import (
    decode_load,
    encode_load,
)
from camphorlink.internal.core.connection.node_messages import (
    Beat,
    DropTasks,
    LoadTold,
    NodeMessage,
    OpenJobs,
    RecordsAppended,
    RunTasks,
    Stamp,
    TaskEnded,
    TasksReturned,
)
from camphorlink.internal.core.connection.returned_tasks_codec import (
    decode_returned,
    encode_returned,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_codec import decode_job, encode_job
from camphorlink.internal.core.request.job_record_codec import DECODE_ERRORS


@singledispatch
def encode_message(message: Any) -> list[Any]:
    """Encodes a message as a plain list that starts with its kind."""
    raise TypeError(message)


@encode_message.register
def _encode_beat(message: Beat) -> list[Any]:
    return ['beat', *message]


@encode_message.register
def _encode_records(message: RecordsAppended) -> list[Any]:
    return ['records', message.offset, list(message.records)]


@encode_message.register
def _encode_load(message: LoadTold) -> list[Any]:
    return ['load', *encode_load(message.load)]


@encode_message.register
def _encode_run(message: RunTasks) -> list[Any]:
    return [
        'run',
        message.coordinator,
        message.cell,
        encode_job(message.job),
        [[task.step, task.number] for task in message.tasks],
        message.objective_s,
        message.may_have_run,
        message.number,
        message.useful_s,
        message.may_return,
    ]


@encode_message.register
def _encode_drop(message: DropTasks) -> list[Any]:
    return ['drop', *message]


@encode_message.register
def _encode_open_jobs(message: OpenJobs) -> list[Any]:
    return ['open', message.coordinator, message.cell, list(message.job_ids)]


@encode_message.register
def _encode_ended(message: TaskEnded) -> list[Any]:
    return ['ended', list(message.task), message.is_done]


encode_message.register(TasksReturned)(encode_returned)


def _decode_run(
    coordinator: str,
    cell: str,
    encoded: list[Any],
    tasks: Sequence[Sequence[int]],
    *last_fields: Any,
) -> RunTasks:
    job = decode_job(encoded)
    keys = tuple(TaskKey(job.job_id, step, index) for step, index in tasks)
    return RunTasks(coordinator, cell, job, keys, *last_fields)


def _decode_load(*fields: Any) -> LoadTold:
    return LoadTold(decode_load(*fields))


def _decode_records(offset: int, records: list[bytes]) -> RecordsAppended:
    return RecordsAppended(offset, tuple(records))


def _decode_open_jobs(
    coordinator: str, cell: str, job_ids: Sequence[str]
) -> OpenJobs:
    return OpenJobs(coordinator, cell, tuple(job_ids))


def _decode_ended(task: Sequence[Any], is_done: bool) -> TaskEnded:
    return TaskEnded(TaskKey(*task), is_done)


_DECODE_BY_KIND: dict[str, Callable[..., NodeMessage]] = {
    'beat': Beat,
    'records': _decode_records,
    'load': _decode_load,
    'run': _decode_run,
    'drop': DropTasks,
    'open': _decode_open_jobs,
    'ended': _decode_ended,
    'returned': decode_returned,
}


def _decode_time(encoded: Any) -> float:
    try:
        time_s = float(encoded)
    except OverflowError as exc:
        raise ValueError('not a time: the number is too large') from exc
    if not math.isfinite(time_s):
        raise ValueError(f'not a time: {encoded!r}')
    return time_s


def encode_stamped(message: NodeMessage, stamp: Stamp) -> list[Any]:
    """Encodes a message and its times as a plain list."""
    return [*stamp, *encode_message(message)]


def decode_stamped(encoded: Any) -> tuple[NodeMessage, Stamp]:
    """Decodes a list that ``encode_stamped`` returned.

    Raises:
        PeerMessageError: If the kind is unknown or the fields don't match it.
    """
    try:
        sent_s, echo_s, kind, *fields = encoded
        stamp = Stamp(
            _decode_time(sent_s),
            None if echo_s is None else _decode_time(echo_s),
        )
        return _DECODE_BY_KIND[kind](*fields), stamp
    except DECODE_ERRORS as exc:
        raise PeerMessageError(f'cannot decode the message: {exc!r}') from exc
