"""Splits a sealed table into chunks of bounded size and restores it."""

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
from camphorlink.internal.core.request.relay_codec import (
    build_relay_answer,
    decode_reason,
    decode_relay_answer,
)

#: Target size of a chunk: memory of its answers.
CHUNK_BYTES = 128 * 1024
ENDINGS_PER_CHUNK = 4096
KEY_BYTES = 16
#: Memory of the answers that are handed over, newest first.  The others are
#: sent as endings, which limits the memory of a successor of many homes.
HAND_OVER_ANSWER_BYTES = 2 * 1024 * 1024


class _Part(NamedTuple):
    answers: tuple[RelayAnswer, ...] = ()
    endings: tuple[EndingGroup, ...] = ()


def split_table(
    home: Home,
    generation: int,
    table: HomeTable,
) -> list[TableChunk]:
    """Splits a sealed table without open runs into chunks."""
    runs_with_answer, runs_as_endings = _split_runs(table)
    parts = [
        *_answer_parts(runs_with_answer),
        *_ending_parts(table, runs_as_endings),
    ] or [_Part()]
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


def restore_table(
    chunks: Iterable[TableChunk], limits: TableLimits
) -> HomeTable:
    """Restores a table from all of its chunks."""
    table = HomeTable(limits._replace(answer_bytes=HAND_OVER_ANSWER_BYTES))
    for chunk in chunks:
        table.endings.raise_floor(chunk.floor_ms)
        table.endings.raise_ran_floor(chunk.ran_floor_ms)
        for group in chunk.endings:
            _restore_endings(table, group)
        for answer_message in chunk.answers:
            _restore_run(table, answer_message)
    return table


def _split_runs(table: HomeTable) -> tuple[list[JobRun], list[JobRun]]:
    runs_with_answer: list[JobRun] = []
    runs_as_endings: list[JobRun] = []
    remaining_bytes = HAND_OVER_ANSWER_BYTES
    for run in reversed(table.closed_runs()):
        remaining_bytes -= run.held_bytes
        if remaining_bytes >= 0:
            runs_with_answer.append(run)
        else:
            runs_as_endings.append(run)
    runs_with_answer.reverse()
    return runs_with_answer, runs_as_endings


def _answer_parts(runs: list[JobRun]) -> Iterator[_Part]:
    size_bytes = 0
    answers: list[RelayAnswer] = []
    for run in runs:
        if run.answer is None:
            continue
        answers.append(
            build_relay_answer(run.submission_id, run.job.digest, run.answer),
        )
        size_bytes += run.held_bytes
        if size_bytes >= CHUNK_BYTES:
            yield _Part(answers=tuple(answers))
            size_bytes = 0
            answers = []
    if answers:
        yield _Part(answers=tuple(answers))


def _ending_parts(
    table: HomeTable, runs_as_endings: list[JobRun]
) -> Iterator[_Part]:
    endings_by_key = table.endings.all_by_key()
    for run in runs_as_endings:
        if run.answer is not None:
            number = parse_submission_id(run.submission_id).key
            run_ending = Ending(run.answer.outcome, run.answer.reason)
            endings_by_key[number] = run_ending
    keys_by_ending: dict[Ending, list[int]] = {}
    for key, ending in endings_by_key.items():
        keys_by_ending.setdefault(ending, []).append(key)
    for group_ending, keys in keys_by_ending.items():
        yield from _group_parts(group_ending, keys)


def _group_parts(ending: Ending, keys: list[int]) -> Iterator[_Part]:
    for start in range(0, len(keys), ENDINGS_PER_CHUNK):
        group_keys = keys[start : start + ENDINGS_PER_CHUNK]
        yield _Part(endings=(_build_group(ending, group_keys),))


def _build_group(ending: Ending, keys: list[int]) -> EndingGroup:
    return EndingGroup(
        outcome=ending.outcome.value,
        reason=ending.reason.value if ending.reason else None,
        keys=b''.join(key.to_bytes(KEY_BYTES) for key in keys),
    )


def _restore_endings(table: HomeTable, group: EndingGroup) -> None:
    ending = Ending(Outcome(group.outcome), decode_reason(group.reason))
    for start in range(0, len(group.keys), KEY_BYTES):
        key = int.from_bytes(group.keys[start : start + KEY_BYTES])
        table.endings.add_key(key, ending)


def _restore_run(table: HomeTable, answer_message: RelayAnswer) -> None:
    task_ids = answer_message.results or answer_message.fates
    job = Job(
        service='',
        team='',
        tasks=tuple(TaskSpec(task_id, None) for task_id in task_ids),
        deadline_s=0,
        idempotent=False,
        digest=answer_message.digest,
    )
    answer = decode_relay_answer(answer_message)
    run = JobRun(answer_message.submission_id, job, 0)
    run.restore(answer)
    table.restore(run)
