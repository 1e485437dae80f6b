"""Measures the processor time of a cancellation in waves of several sizes."""

import random
import statistics
import time
from collections.abc import Iterator

from camphorlink.bench.claim_trial import HOME, WALL_CLOCK_S
from camphorlink.errors import CamphorlinkError
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import (
    SubmissionId,
    mint_submission_id,
)
from camphorlink.internal.core.request.job import Job, TaskSpec
from camphorlink.internal.core.version.manifest import check_manifest

SEED = 4
ROUNDS = 3
US_PER_S = 1_000_000
WAVE_DEADLINE_S = 1e9
WAVE_TASKS = 10
WAVE_SIZES = (1000, 2000, 4000, 8000)

_WAVE_BACKEND = {
    'address': '127.0.0.1:9000',
    'zone': HOME.zone,
    'slots': 1,
    'connections': 1,
    'services': ['caster'],
}


class BenchError(CamphorlinkError):
    """Raised when the core did not reach the state to be measured."""


def measure_waves() -> Iterator[tuple[int, float]]:
    """Measures the cost of a cancellation in each size of wave.

    Yields:
        Number of open jobs, and the median time of one cancellation in
        microseconds.
    """
    for size in WAVE_SIZES:
        costs_us = [_time_wave(size) for _ in range(ROUNDS)]
        yield size, statistics.median(costs_us)


def _time_wave(size: int) -> float:
    core = _build_core(size)
    rng = random.Random(SEED)
    submission_ids = [
        mint_submission_id(HOME, WALL_CLOCK_S, rng) for _ in range(size)
    ]
    _submit_all(core, submission_ids)
    started_s = time.perf_counter()
    for submission_id in submission_ids:
        core.handle(messages.Cancel(str(submission_id)), 0)
    elapsed_s = time.perf_counter() - started_s
    return elapsed_s * US_PER_S / size


def _build_core(size: int) -> EntryCore:
    core = EntryCore(HOME, WALL_CLOCK_S, size)
    manifest = check_manifest(
        {
            'schema': 1,
            'services': {'caster': {'max_queued': 100_000}},
            'backends': {'runner-0': _WAVE_BACKEND},
            'teams': {'surveyors': {}},
        },
    )
    core.handle(messages.VersionInForce(1, manifest), 0)
    return core


def _submit_all(core: EntryCore, submission_ids: list[SubmissionId]) -> None:
    tasks = tuple(TaskSpec(f't{number}', None) for number in range(WAVE_TASKS))
    job = Job('caster', 'surveyors', tasks, WAVE_DEADLINE_S, False, 'd')
    for caller, submission_id in enumerate(submission_ids):
        core.handle(messages.Submit(submission_id, job, caller), 0)
    if core.table.open_count != len(submission_ids):
        raise BenchError(
            f'only {core.table.open_count} of {len(submission_ids)} jobs are '
            'open; the core must admit every job of a wave',
        )
