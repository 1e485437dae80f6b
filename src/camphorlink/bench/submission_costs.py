"""Measures the cost of protecting submissions against duplicate execution.

Run it with ``make measure-submissions``.  It prints Markdown tables of the
peer messages and milliseconds of a submission at its home and of a forwarded
one on loopback, the log appends and added time of claims on a virtual clock,
the bytes of each remembered submission, and the cost of cancellations in
waves.
"""

import asyncio
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any

import aiohttp
import click
import orjson

from camphorlink.bench.cancel_waves import WAVE_TASKS, measure_waves
from camphorlink.bench.claim_trial import (
    APPEND_DELAY_S,
    HOME,
    WALL_CLOCK_S,
    ClaimTrial,
)
from camphorlink.internal.core.connection.submission_messages import (
    SUBMISSION_MESSAGE_BY_KIND,
)
from camphorlink.internal.core.request.claim_index import ClaimIndex
from camphorlink.internal.core.request.claim_records import (
    PARTITIONS,
    CallerKey,
    Claim,
)
from camphorlink.internal.core.request.home_table import (
    Ending,
    HomeTable,
    TableLimits,
)
from camphorlink.internal.core.request.identifiers import mint_submission_id
from camphorlink.internal.core.request.job import Job, Outcome, TaskSpec
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.standin.local_site import LocalSite, SiteShape

SEED = 4
MS_PER_S = 1000
US_PER_S = 1_000_000
CLAIM_TRIAL_DURATION_S = 10.0
CLAIM_RATES = (50, 500, 2000)
VM_COUNTS = (1, 8)
ROUNDS = 3
LOOPBACK_JOBS = 100
LINK_POLL_PERIOD_S = 0.05
MAX_LINK_POLLS = 200
REMEMBERED_COUNT = 20_000
JSON = {'Content-Type': 'application/json'}
LOOPBACK_JOB: dict[str, Any] = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [{'id': 't0', 'payload': {'work_ms': 1}}],
}


@click.command()
def main() -> None:
    """Measure the cost of the protection of submissions."""
    asyncio.run(_measure_paths())
    _measure_claims()
    _measure_memory()
    click.echo(f'\ncancellations in waves, jobs of {WAVE_TASKS} tasks')
    _print_row('open jobs', 'us for each cancellation (median of rounds)')
    for size, cost_us in measure_waves():
        _print_row(size, f'{cost_us:.1f}')


def _print_row(*cells: object) -> None:
    click.echo(f'| {" | ".join(str(cell) for cell in cells)} |')


async def _measure_paths() -> None:
    _print_row('path', 'ms (median of rounds)', 'peer messages a submission')
    shape = SiteShape(zones=('larissa',), entries_per_zone=2)
    async with LocalSite(shape) as site:
        sent_messages = _count_messages(site)
        await _await_links(site)
        urls = [
            f'http://127.0.0.1:{daemon.callers_port}' for daemon in site.daemons
        ]
        for path, vm_index in (('home', 0), ('forward', 1)):
            sent_messages.clear()
            async with aiohttp.ClientSession() as session:
                rounds = [
                    await _time_submissions(session, urls[0], urls[vm_index])
                    for _ in range(ROUNDS)
                ]
            count = len(sent_messages) / LOOPBACK_JOBS / ROUNDS
            _print_row(path, f'{statistics.median(rounds):.2f}', count)


async def _await_links(site: LocalSite) -> None:
    for _ in range(MAX_LINK_POLLS):
        views = [daemon.host.core.post.live() for daemon in site.daemons]
        if all(len(view) == len(views) for view in views):
            return
        await asyncio.sleep(LINK_POLL_PERIOD_S)


def _count_messages(site: LocalSite) -> list[object]:
    """Records every submission message that the VMs send to peers."""
    sent_messages: list[object] = []
    for daemon in site.daemons:
        links = daemon.host.links
        if links is not None:
            links.send = partial(_send_and_record, links.send, sent_messages)  # type: ignore[method-assign]
    return sent_messages


def _send_and_record(
    send: Callable[..., bool],
    sent_messages: list[object],
    address: str,
    message: Any,
) -> bool:
    if isinstance(message, tuple(SUBMISSION_MESSAGE_BY_KIND.values())):
        sent_messages.append(message)
    return send(address, message)


async def _time_submissions(
    session: aiohttp.ClientSession,
    home_url: str,
    url: str,
) -> float:
    times_s: list[float] = []
    body = orjson.dumps(LOOPBACK_JOB)
    for _ in range(LOOPBACK_JOBS):
        async with session.post(f'{home_url}/v1/submission-ids') as issued:
            submission_id = (await issued.json())['submission_id']
        started_s = time.perf_counter()
        path = f'{url}/v1/submissions/{submission_id}'
        async with session.put(path, data=body, headers=JSON) as answer:
            if answer.status != HTTPStatus.OK:
                click.echo(f'status {answer.status}')
            await answer.read()
        times_s.append(time.perf_counter() - started_s)
    return statistics.median(times_s) * MS_PER_S


def _measure_claims() -> None:
    click.echo(f'\nclaims, {PARTITIONS} streams, append {APPEND_DELAY_S} s')
    _print_row(
        'VMs', 'keys/s', 'appends/1,000', 'appends/s', 'added ms p50', 'p99'
    )
    for vms in VM_COUNTS:
        for rate in CLAIM_RATES:
            trial = ClaimTrial(vms)
            trial.run(rate, CLAIM_TRIAL_DURATION_S)
            waits_ms = [wait_s * MS_PER_S for wait_s in trial.waits_s]
            percentiles_ms = statistics.quantiles(waits_ms, n=100)
            _print_row(
                vms,
                rate,
                f'{trial.appends * 1000 / len(waits_ms):.0f}',
                f'{trial.appends / CLAIM_TRIAL_DURATION_S:.0f}',
                f'{percentiles_ms[49]:.0f}',
                f'{percentiles_ms[98]:.0f}',
            )


def _measure_memory() -> None:
    click.echo('\nmemory')
    _print_row('remembered', 'bytes each')
    _print_row('answer of a job of 3 tasks', _measure_bytes_each(_fill_answers))
    _print_row('refusal or ending', _measure_bytes_each(_fill_endings))
    _print_row('first claim of a key', _measure_bytes_each(_fill_claims))


def _measure_bytes_each(fill: Callable[[random.Random], object]) -> int:
    rng = random.Random(SEED)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    filled = fill(rng)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del filled
    return (after - before) // REMEMBERED_COUNT


def _fill_answers(rng: random.Random) -> HomeTable:
    table = HomeTable(TableLimits(REMEMBERED_COUNT, 1 << 40))
    for number in range(REMEMBERED_COUNT):
        submission_id = mint_submission_id(
            HOME, WALL_CLOCK_S + number / 100, rng
        )
        run = table.open_run(submission_id, _build_job(3, f'{number:064d}'), 1)
        for position in range(3):
            run.mark_started(position)
            run.finish_task(position, {'echo': number, 'ok': True})
    return table


def _fill_endings(rng: random.Random) -> HomeTable:
    table = HomeTable(TableLimits(10, max_endings=REMEMBERED_COUNT))
    for number in range(REMEMBERED_COUNT):
        submission_id = mint_submission_id(
            HOME, WALL_CLOCK_S + number / 100, rng
        )
        ending = Ending(Outcome.NOT_RUN, Reason.QUEUE_FULL)
        table.endings.add(submission_id, ending)
    return table


def _fill_claims(rng: random.Random) -> ClaimIndex:
    index = ClaimIndex()
    for number in range(REMEMBERED_COUNT):
        submission_id = str(mint_submission_id(HOME, WALL_CLOCK_S, rng))
        key = CallerKey('caster', f'booking-{number}')
        index.fold_own([Claim(key, submission_id)], number, WALL_CLOCK_S)
    return index


def _build_job(count: int, digest: str) -> Job:
    tasks = tuple(TaskSpec(f't{number}', None) for number in range(count))
    return Job(
        'caster', 'surveyors', tasks, CLAIM_TRIAL_DURATION_S, False, digest
    )


if __name__ == '__main__':
    main()
