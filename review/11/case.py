"""A worker is cut off for 1.9 s, and the store is down for 4 s."""

import collections
import os
import time

from small_site import (
    Site,
    is_troubled,
    job,
    queue_config,
    run_case,
    runner_rows,
)

ZONES = ('banska-b', 'brezno-c', 'zvolen-a')
RUNNERS_PER_ZONE = 4
JOBS = 6
TASK_MS = 1_500
#: From the start of the tasks to the cut, and how long it lasts.
CUT_AFTER_S = 1.0
CUT_S = 1.9
#: From the cut to the outage: the tasks have started elsewhere by then.
OUTAGE_AFTER_S = 1.5
OUTAGE_S = 4.0


def find_second_runs(rows):
    """Returns the starts that the rule TWICE doesn't allow."""
    lapsed_by_runner = collections.defaultdict(list)
    noted = {}
    for at_ms, event, runner, task, run, how in rows:
        if event == 'lease-lapsed':
            lapsed_by_runner[runner].append(at_ms)
        elif event == 'noted' and how == 'done':
            noted[runner, task, run] = at_ms
    ends = collections.defaultdict(list)
    for at_ms, event, runner, task, run, how in rows:
        noted_ms = noted.get((runner, task, run))
        if event == 'end' and how == 'done' and noted_ms is not None:
            lapses = lapsed_by_runner[runner]
            if not any(at_ms <= lapse <= noted_ms for lapse in lapses):
                ends[task].append(at_ms)
    after, beside = [], []
    active = collections.defaultdict(dict)
    for at_ms, event, runner, task, run, _ in rows:
        if event == 'start':
            if any(end_ms < at_ms for end_ms in ends[task]):
                after.append((task, run, runner))
            if active[task]:
                beside.append((task, run, runner))
            active[task][run] = runner
        elif event == 'end':
            active[task].pop(run, None)
    return after, beside


def play(folder):
    config = queue_config(target_ms=20_000)
    runners = runner_rows(ZONES, RUNNERS_PER_ZONE)
    with Site(folder, ZONES, 2, runners, config) as site:
        job_ids = [f'{number:016x}' for number in range(1, JOBS + 1)]
        accepted = []
        for number, job_id in enumerate(job_ids):
            # The first run of each task fails.
            document = job(TASK_MS, 6_000, spec_extra=' fails=1')
            vm = site.vms[number % len(site.vms)]
            if site.request(vm, 'POST', job_id, document)[0] == 200:
                accepted.append(job_id)
        if is_troubled():
            time.sleep(CUT_AFTER_S)
            runner = _busiest(site.update_runs())
            site.control('cut', {
                'runner': runner, 'for_s': CUT_S, 'how': 'silent',
            })  # fmt: skip
            time.sleep(OUTAGE_AFTER_S)
            site.control('store', {'mode': 'busy'})
            time.sleep(OUTAGE_S)
            site.control('store', {'mode': 'up'})
        site.wait(
            lambda: all(
                site.request(site.vms[0], 'GET', job_id)[1].get('state')
                in {'completed', 'failed'}
                for job_id in accepted
            ), 40, 'all jobs have ended',
        )  # fmt: skip
        time.sleep(2)
        rows = site.update_runs()
        after, beside = find_second_runs(rows)
        starts = sum(row[1] == 'start' for row in rows)
        print(f'accepted {len(accepted)} jobs of one task, {starts} starts')
        broken = []
        if after:
            broken.append(f'TWICE: started after a noted end `done`: {after}')
        if beside:
            broken.append(f'TWICE: started beside another run: {beside}')
        return broken


def _busiest(rows):
    """Returns the runner with the most runs."""
    active = collections.Counter()
    for _, event, runner, *_ in rows:
        if event in {'start', 'end'}:
            active[runner] += 1 if event == 'start' else -1
    return active.most_common(1)[0][0]


run_case(os.path.dirname(__file__), play)
