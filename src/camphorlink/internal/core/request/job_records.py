"""Records of the job log: what all entry VMs agree on, in one order.

The log's order decides: the first acceptance of an identifier counts, a claim
counts if it replaces the owner at that point, and ends count if their writer
still owns the cell there.  Every reader folds the same records to the same
state.
"""

from functools import singledispatch
from typing import Any, NamedTuple

import cbor2

from camphorlink.errors import JobRecordError
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    TaskKey,
)


class Accepted(NamedTuple):
    """A job was accepted; it runs in the named cell."""

    job: DurableJob
    cell: str


class End(NamedTuple):
    """A run ended for good.

    Attributes:
        task: The task.
        run: Number of the run.
        is_done: Whether it did its work; else it failed.
    """

    task: TaskKey
    run: int
    is_done: bool


class Ended(NamedTuple):
    """Runs in a cell ended, seen by the owner of a term."""

    cell: str
    term: int
    ends: tuple[End, ...]


class Cancelled(NamedTuple):
    """A caller cancelled a job."""

    job_id: str


class Claimed(NamedTuple):
    """A VM takes over a cell.

    Attributes:
        cell: The cell.
        replaces: Term of the owner that it replaces, 0 for none.
        member: Who claims it.
    """

    cell: str
    replaces: int
    member: str


class Commanded(NamedTuple):
    """The owner of a term is about to give orders to these back ends.

    Attributes:
        cell: The cell.
        term: Term of its owner.
        lifetimes: Identifier and start, in ms, of each back end.
    """

    cell: str
    term: int
    lifetimes: tuple[tuple[str, int], ...]


class Moved(NamedTuple):
    """The owner of a term gives waiting tasks to another cell."""

    cell: str
    term: int
    to_cell: str
    tasks: tuple[TaskKey, ...]


class SnapshotTaken(NamedTuple):
    """A snapshot holds everything before an offset."""

    offset: int


Record = (
    Accepted | Ended | Cancelled | Claimed | Commanded | Moved | SnapshotTaken
)


def encode_job(job: DurableJob) -> list[Any]:
    """Writes a job as a plain list."""
    plain = list(job)
    plain[4] = [[step.count, list(step.needs), *step[2:]] for step in job.steps]
    return plain


def decode_job(plain: list[Any]) -> DurableJob:
    """Reads what ``encode_job`` wrote."""
    steps = tuple(
        Step(
            count,
            Resources(*needs),
            estimate_ms,
            tuple(after),
            *rest,
        )
        for count, needs, estimate_ms, after, *rest in plain[4]
    )
    return DurableJob(*plain[:4], steps, *plain[5:])


@singledispatch
def _plain(record: Any) -> list[Any]:
    raise TypeError(record)


@_plain.register
def _plain_accepted(record: Accepted) -> list[Any]:
    return ['accepted', encode_job(record.job), record.cell]


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
        tuple((backend, born_ms) for backend, born_ms in lifetimes),
    )


def _moved(
    cell: str,
    term: int,
    to_cell: str,
    tasks: list[list[Any]],
) -> Moved:
    return Moved(cell, term, to_cell, tuple(TaskKey(*task) for task in tasks))


_BUILD_BY_KIND = {
    'accepted': lambda job, cell: Accepted(decode_job(job), cell),
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
        return _BUILD_BY_KIND[kind](*fields)  # type: ignore[operator]
    except (cbor2.CBORError, LookupError, TypeError, ValueError) as exc:
        raise JobRecordError(f'{len(body)} bytes: {exc!r}') from exc
