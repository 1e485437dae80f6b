"""Tasks run again after a runner crashed while the store was down."""

import asyncio
import collections
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness-2'))

from installation import (  # noqa: E402
    Site,
    has_trouble,
    now_ms,
    run_case,
    starts_after_end,
)

VMS = ('larissa-1', 'larissa-2', 'volos-1', 'volos-2')
RUNNERS = tuple(
    f'{zone}-{letter}' for zone in ('larissa', 'volos') for letter in 'abcd'
)
WORK_MS = 300
CPU = 3000
STEP = {'count': 10, 'cpu': CPU, 'mem_mb': 64, 'estimate_ms': WORK_MS}
FIRST_JOBS = 10
LATER_JOBS = 120
LATER_PERIOD_S = 0.05
OUTAGE_S = 1.8
CRASH_AFTER_S = 0.5
DOWN_S = 0.3
FINISH_S = 6


async def hand_in(site, first, count, period_s):
    """Hands in jobs at a steady rate; returns how many were accepted."""
    waiting = []
    for number in range(first, first + count):
        waiting.append(
            asyncio.create_task(
                site.submit(
                    VMS[number % len(VMS)],
                    f'{number + 1:016x}',
                    [STEP],
                    {'ms': WORK_MS, 'cpu': CPU},
                )
            )
        )
        await asyncio.sleep(period_s)
    answers = await asyncio.gather(*waiting)
    accepted = sum(status == 200 for status, _ in answers)
    site.note(f'{accepted} of {count} jobs accepted')


def busiest(site):
    """Returns the runner with the most ends that were not taken note of."""
    ends = collections.Counter()
    for row in site.events():
        ends[row['at']] += {'end': 1, 'noted': -1}.get(row['event'], 0)
    return ends.most_common(1)[0][0].removeprefix('i-')


async def play():
    async with Site(HERE, VMS, RUNNERS) as site:
        await hand_in(site, 0, FIRST_JOBS, 0.02)
        if has_trouble():
            await site.set_busy(True)
            outage_ms = now_ms()
        await asyncio.sleep(CRASH_AFTER_S)
        if has_trouble():
            crashed = busiest(site)
            site.send_signal(crashed, signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            site.start_runner(crashed)
            await asyncio.sleep(OUTAGE_S - (now_ms() - outage_ms) / 1000)
            await site.set_busy(False)
        await asyncio.sleep(2)
        await hand_in(site, FIRST_JOBS, LATER_JOBS, LATER_PERIOD_S)
        await asyncio.sleep(FINISH_S)
        return starts_after_end(site.events())


if __name__ == '__main__':
    run_case(play)
