"""A sealed table in parts of bounded size, and back."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from camphorlink.internal.core.connection.submission_messages import (
    EndingGroup,
    RelayAnswer,
    TableChunk,
)
from camphorlink.internal.core.request.home_table import (
    Ending,
    HomeTable,
    TableLimits,
)
from camphorlink.internal.core.request.identifiers import (
    Home,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import Job, Outcome, TaskSpec
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.relay_documents import (
    read_reason,
    relay_answer,
    relayed_answer,
)

#: Size of a part, in bytes of memory that its answers take.
CHUNK_BYTES = 128 * 1024
ENDINGS_PER_CHUNK = 4096
KEY_BYTES = 16
#: Answers that are handed over, newest first, in bytes of memory.  The rest
#: goes as endings, so that a successor of many homes stays small.
HANDED_ANSWER_BYTES = 2 * 1024 * 1024


class _Part(NamedTuple):
    answers: tuple[RelayAnswer, ...] = ()
    endings: tuple[EndingGroup, ...] = ()


def write_chunks(
    home: Home,
    generation: int,
    table: HomeTable,
) -> list[TableChunk]:
    """Cuts a sealed table without open runs into parts."""
    kept, dropped = _split_runs(table)
    parts = [*_answer_parts(kept), *_ending_parts(table, dropped)] or [_Part()]
    return [
        TableChunk(
            table=str(home),
            generation=generation,
            number=number,
            total=len(parts),
            floor_ms=table.endings.floor_ms,
            ran_floor_ms=table.endings.ran_floor_ms,
            answers=part.answers,
            endings=part.endings,
        )
        for number, part in enumerate(parts)
    ]


def read_chunks(chunks: Iterable[TableChunk], limits: TableLimits) -> HomeTable:
    """Builds the table again from all of its parts."""
    table = HomeTable(limits._replace(answer_bytes=HANDED_ANSWER_BYTES))
    for chunk in chunks:
        table.endings.raise_floor(chunk.floor_ms)
        table.endings.raise_ran_floor(chunk.ran_floor_ms)
        for group in chunk.endings:
            _read_group(table, group)
        for said in chunk.answers:
            _read_run(table, said)
    return table


def _split_runs(table: HomeTable) -> tuple[list[JobRun], list[JobRun]]:
    kept: list[JobRun] = []
    dropped: list[JobRun] = []
    room = HANDED_ANSWER_BYTES
    for run in reversed(table.closed_runs()):
        room -= run.held_bytes
        if room >= 0:
            kept.append(run)
        else:
            dropped.append(run)
    kept.reverse()
    return kept, dropped


def _answer_parts(runs: list[JobRun]) -> Iterator[_Part]:
    size = 0
    answers: list[RelayAnswer] = []
    for run in runs:
        if run.answer is None:
            continue
        answers.append(
            relay_answer(run.submission_id, run.job.digest, run.answer),
        )
        size += run.held_bytes
        if size >= CHUNK_BYTES:
            yield _Part(answers=tuple(answers))
            size = 0
            answers = []
    if answers:
        yield _Part(answers=tuple(answers))


def _ending_parts(table: HomeTable, dropped: list[JobRun]) -> Iterator[_Part]:
    endings_by_key = table.endings.all_by_key()
    for run in dropped:
        if run.answer is not None:
            number = parse_submission_id(run.submission_id).key
            left = Ending(run.answer.outcome, run.answer.reason)
            endings_by_key[number] = left
    keys_by_ending: dict[Ending, list[int]] = {}
    for key, ending in endings_by_key.items():
        keys_by_ending.setdefault(ending, []).append(key)
    for kind, keys in keys_by_ending.items():
        yield from _group_parts(kind, keys)


def _group_parts(ending: Ending, keys: list[int]) -> Iterator[_Part]:
    for start in range(0, len(keys), ENDINGS_PER_CHUNK):
        few = keys[start : start + ENDINGS_PER_CHUNK]
        yield _Part(endings=(_write_group(ending, few),))


def _write_group(ending: Ending, keys: list[int]) -> EndingGroup:
    return EndingGroup(
        outcome=ending.outcome.value,
        reason=ending.reason.value if ending.reason else None,
        keys=b''.join(key.to_bytes(KEY_BYTES) for key in keys),
    )


def _read_group(table: HomeTable, group: EndingGroup) -> None:
    ending = Ending(Outcome(group.outcome), read_reason(group.reason))
    for start in range(0, len(group.keys), KEY_BYTES):
        key = int.from_bytes(group.keys[start : start + KEY_BYTES])
        table.endings.add_key(key, ending)


def _read_run(table: HomeTable, said: RelayAnswer) -> None:
    task_ids = said.results or said.fates
    job = Job(
        service='',
        team='',
        tasks=tuple(TaskSpec(task_id, None) for task_id in task_ids),
        deadline_s=0,
        idempotent=False,
        digest=said.digest,
    )
    answer = relayed_answer(said)
    run = JobRun(said.submission_id, job, 0)
    run.restore(answer)
    table.restore(run)
