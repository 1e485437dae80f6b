"""Messages between entry VMs about durable and transient jobs.

They are news, never questions: one that is lost is made good by the next, by
reading the store, or by a caller who sends its job again.
"""

from collections.abc import Callable, Sequence
from functools import singledispatch
from typing import Any, NamedTuple

from camphorlink.errors import PeerMessageError
from camphorlink.internal.core.request.cell_choice import CellLoad, Room
from camphorlink.internal.core.request.durable_job import DurableJob, TaskKey
from camphorlink.internal.core.request.job_record_codec import (
    decode_job,
    encode_job,
)


class Beat(NamedTuple):
    """A VM is alive.

    Attributes:
        member: Name of its process.
        ip: IP number at which it listens for peers.
        port: TCP port of the same.
        zone: Its availability zone.
        store_age_s: Age of its last answer of the store, in seconds.
        is_leaving: Whether it is about to stop.
        waiting_by_cell: For each cell that it owns, the number of jobs by
            queue of which no task was started.
    """

    member: str
    ip: str
    port: int
    zone: str
    store_age_s: float
    is_leaving: bool
    waiting_by_cell: dict[str, dict[str, int]]


class RecordsAppended(NamedTuple):
    """Records were appended to the job log at an offset."""

    offset: int
    records: tuple[bytes, ...]


class LoadTold(NamedTuple):
    """The owner of a cell tells its load."""

    load: CellLoad


class RunTasks(NamedTuple):
    """Tasks of a transient job for the owner of a cell.

    Attributes:
        coordinator: Member to report to.
        cell: The cell.
        job: The job.
        tasks: Those that it is to run.
        may_have_run: Whether an earlier owner may have begun.
    """

    coordinator: str
    cell: str
    job: DurableJob
    tasks: tuple[TaskKey, ...]
    may_have_run: bool


class DropTasks(NamedTuple):
    """The owner of a cell is to stop what it has of a transient job."""

    cell: str
    job_id: str


class TaskEnded(NamedTuple):
    """A task of a transient job was done, or is given up."""

    task: TaskKey
    is_done: bool


NodeMessage = (
    Beat | RecordsAppended | LoadTold | RunTasks | DropTasks | TaskEnded
)


@singledispatch
def encode_message(message: Any) -> list[Any]:
    """Writes a message as a plain list, its kind first."""
    raise TypeError(message)


@encode_message.register
def _encode_beat(message: Beat) -> list[Any]:
    return ['beat', *message]


@encode_message.register
def _encode_records(message: RecordsAppended) -> list[Any]:
    return ['records', message.offset, list(message.records)]


@encode_message.register
def _encode_load(message: LoadTold) -> list[Any]:
    load = message.load
    rooms = [list(room) for room in load.rooms]
    return ['load', load.cell, load.term, rooms, load.wait_s, load.cpu]


@encode_message.register
def _encode_run(message: RunTasks) -> list[Any]:
    return [
        'run',
        message.coordinator,
        message.cell,
        encode_job(message.job),
        [[task.step, task.number] for task in message.tasks],
        message.may_have_run,
    ]


@encode_message.register
def _encode_drop(message: DropTasks) -> list[Any]:
    return ['drop', *message]


@encode_message.register
def _encode_ended(message: TaskEnded) -> list[Any]:
    return ['ended', list(message.task), message.is_done]


def _decode_run(
    coordinator: str,
    cell: str,
    plain: list[Any],
    tasks: Sequence[Sequence[int]],
    may_have_run: bool,
) -> RunTasks:
    job = decode_job(plain)
    keys = tuple(TaskKey(job.job_id, step, index) for step, index in tasks)
    return RunTasks(coordinator, cell, job, keys, may_have_run)


def _decode_load(
    cell: str,
    term: int,
    rooms: Sequence[Sequence[Any]],
    wait_s: float,
    cpu: int,
) -> LoadTold:
    free = tuple(Room(*room) for room in rooms)
    return LoadTold(CellLoad(cell, term, free, wait_s, cpu))


def _decode_records(offset: int, records: list[bytes]) -> RecordsAppended:
    return RecordsAppended(offset, tuple(records))


def _decode_ended(task: Sequence[Any], is_done: bool) -> TaskEnded:
    return TaskEnded(TaskKey(*task), is_done)


_DECODE_BY_KIND: dict[str, Callable[..., NodeMessage]] = {
    'beat': Beat,
    'records': _decode_records,
    'load': _decode_load,
    'run': _decode_run,
    'drop': DropTasks,
    'ended': _decode_ended,
}


def decode_message(plain: Any) -> NodeMessage:
    """Reads what ``encode_message`` wrote.

    Raises:
        PeerMessageError: If it is no message of a known kind.
    """
    try:
        kind, *fields = plain
        return _DECODE_BY_KIND[kind](*fields)
    except (LookupError, TypeError, ValueError) as exc:
        raise PeerMessageError(f'unknown message: {exc!r}') from exc
