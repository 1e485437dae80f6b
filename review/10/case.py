"""A job runs long after its cancelling was acknowledged."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness-2'))

from installation import (  # noqa: E402
    BOUNDS,
    Site,
    has_trouble,
    now_ms,
    run_case,
)

VMS = ('larissa-1', 'larissa-2', 'volos-1', 'volos-2')
RUNNERS = ('larissa-a', 'larissa-b', 'volos-a', 'volos-b')
JOBS = 5
WORK_MS = 200
STEP = {'count': 2, 'cpu': 500, 'mem_mb': 64, 'estimate_ms': WORK_MS}
CUT_S = 5.5
FINISH_S = 8
ACKNOWLEDGED = (200, 410)


async def play():
    async with Site(HERE, VMS, RUNNERS) as site:
        owners = {site.owner_of(zone) for zone in ('larissa', 'volos')}
        entry = next(vm for vm in VMS if vm not in owners)
        other = next(vm for vm in VMS if vm not in {entry, *owners})
        site.note(f'cells are owned by {sorted(map(str, owners))}')
        cut_ms = now_ms()
        if has_trouble():
            await site.cut_off(entry)
        jobs = [f'{number + 1:016x}' for number in range(JOBS)]
        work = {'ms': WORK_MS, 'cpu': 500}
        handed_in = await asyncio.gather(
            *(site.submit(entry, job, [STEP], work) for job in jobs)
        )
        acknowledged_ms = {}
        for job in jobs:
            status, _ = await site.request(other, 'DELETE', job)
            if status in ACKNOWLEDGED:
                acknowledged_ms[job] = now_ms()
        await asyncio.sleep(max(CUT_S - (now_ms() - cut_ms) / 1000, 0))
        if has_trouble():
            await site.cut_off()
        await asyncio.sleep(FINISH_S)
        for job in jobs:
            await site.request(other, 'GET', job)
        late = []
        for row in site.events():
            job = row.get('task', '').split('.')[0]
            if row['event'] != 'start' or job not in acknowledged_ms:
                continue
            after_ms = row['ms'] - acknowledged_ms[job]
            if after_ms > BOUNDS['cancel_ms']:
                late.append((row['task'], round(after_ms)))
        if len(acknowledged_ms) < JOBS:
            site.note('not all cancels were acknowledged')
        if not late:
            return ''
        statuses = sorted({status for status, _ in handed_in})
        return (
            f'UNASKED: {len(late)} starts of tasks of cancelled jobs, first '
            f'{late[0][0]} {late[0][1]} ms after the ack of its cancel (bound '
            f'{BOUNDS["cancel_ms"]} ms); handing in was answered {statuses}'
        )


if __name__ == '__main__':
    run_case(play)
