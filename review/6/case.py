"""Accepted jobs are lost after a restart, as no snapshot was stored."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness-2'))

from installation import KEEP_S, Site, has_trouble, now_ms, run_case  # noqa: E402

VMS = ('larissa-1', 'larissa-2', 'volos-1', 'volos-2')
RUNNERS = ('larissa-a', 'larissa-b', 'volos-a', 'volos-b')
JOBS = 600
#: Padding of a spec, in bytes: the page allows 4,000.
PADDING = 3900
WORK_MS = 40_000
STEP = {'count': 1, 'cpu': 100, 'mem_mb': 64, 'estimate_ms': WORK_MS}
#: Processes are down for as long as on the users' days.
DOWN_S = 0.8
FINISH_S = 14


async def hand_in(site):
    """Hands in the jobs; returns those that were accepted."""
    accepted = []
    numbers = iter(range(JOBS))

    async def client():
        for number in numbers:
            job = f'{number + 1:016x}'
            vm = VMS[number % len(VMS)]
            status, _ = await site.submit(
                vm, job, [STEP], {'ms': WORK_MS, 'cpu': 100}, PADDING
            )
            if status == 200:
                accepted.append(job)

    await asyncio.gather(*(client() for _ in range(8)))
    site.note(f'{len(accepted)} of {JOBS} jobs accepted')
    return accepted


async def ask(site, job, number):
    """Returns the last answer for a job, asking each VM once."""
    answers = []
    for turn in range(len(VMS)):
        vm = VMS[(number + turn) % len(VMS)]
        status, body = await site.request(vm, 'GET', job)
        if status == 200:
            return body['state']
        answers.append(status)
    return f'no answer: {answers}'


async def play():
    async with Site(HERE, VMS, RUNNERS) as site:
        accepted = await hand_in(site)
        handed_in_ms = now_ms()
        await asyncio.sleep(KEEP_S + 6)
        if has_trouble():
            for vm in VMS:
                site.send_signal(vm, signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for vm in VMS:
                site.start_vm(vm)
            handed_in_ms = now_ms()
        left_s = WORK_MS / 1000 + FINISH_S - (now_ms() - handed_in_ms) / 1000
        await asyncio.sleep(left_s)
        ready = [vm for vm in VMS if await site.is_ready(vm)]
        site.note(f'ready: {", ".join(ready) or "none"}')
        site.note(f'the store: {await site.store_state()}')
        states = await asyncio.gather(
            *(ask(site, job, number) for number, job in enumerate(accepted))
        )
        lost = [
            (job, state)
            for job, state in zip(accepted, states, strict=True)
            if state.startswith('no answer')
        ]
        unended = sum(state != 'completed' for state in states)
        site.note(f'{unended} of {len(accepted)} not completed')
        if lost:
            return (
                f'LOST: {len(lost)} of {len(accepted)} accepted jobs get no '
                f'answer, first {lost[0]}; ready VMs: {len(ready)}'
            )
        if unended:
            return f'LOST: {unended} of {len(accepted)} jobs have not ended'
        return ''


if __name__ == '__main__':
    run_case(play)
