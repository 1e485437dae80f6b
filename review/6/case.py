"""A stored job is shown as failed, though no run failed and no runner crashed."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness-2'))

from installation import Site, has_trouble, run_case  # noqa: E402

VMS = ('larissa-1', 'larissa-2', 'volos-1', 'volos-2')
RUNNERS = tuple(
    f'{zone}-{letter}' for zone in ('larissa', 'volos') for letter in 'abcdef'
)
WORK_MS = 900
STEP = {'count': 4, 'cpu': 14_000, 'mem_mb': 64, 'estimate_ms': WORK_MS}
JOB = f'{1:016x}'
CUTS = 2
CUT_S = 5.5
#: Time from the start of a task to the cut of its runner, in seconds.
DELAY_S = 0.3
LIMIT_S = 4.0
FINISH_S = 14


def starts(site):
    """Returns the starts of tasks of the job."""
    return [
        row
        for row in site.events()
        if row['event'] == 'start' and row['task'].startswith(JOB)
    ]


async def heal(site, runner):
    await asyncio.sleep(CUT_S)
    await site.refuse_at(runner, False)


async def cut_under(site, task, known):
    """Cuts off the runner that starts the task next; returns its start."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LIMIT_S
    while loop.time() < end_s:
        for row in starts(site)[known:]:
            if task in {None, row['task']}:
                await asyncio.sleep(DELAY_S)
                runner = row['at'].removeprefix('i-')
                await site.refuse_at(runner, True)
                return row['task'], asyncio.create_task(heal(site, runner))
        await asyncio.sleep(0.01)
    return task, None


async def play():
    async with Site(HERE, VMS, RUNNERS) as site:
        status, _ = await site.submit(
            VMS[0], JOB, [STEP], {'ms': WORK_MS, 'cpu': 14_000}
        )
        site.note(f'the job was answered {status}')
        task, known, cuts = None, 0, []
        for _ in range(CUTS if has_trouble() else 0):
            task, cut = await cut_under(site, task, known)
            known = len(starts(site))
            cuts.append(cut)
        await asyncio.sleep(CUT_S + FINISH_S)
        await asyncio.gather(*filter(None, cuts))
        answers = [await site.request(vm, 'GET', JOB) for vm in VMS]
        states = sorted({body.get('state', '') for _, body in answers})
        failed = [
            row
            for row in site.events()
            if row['event'] == 'end' and row['how'] == 'failed'
        ]
        if 'failed' in states and not failed:
            return (
                f'LOST: the job is shown as {states}; no run ended failed, and '
                f'no runner crashed'
            )
        if states != ['completed']:
            return f'LOST: the job is shown as {states}'
        return ''


if __name__ == '__main__':
    run_case(play)
