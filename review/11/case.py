"""A store outage of 4 s while small tasks of stored jobs end."""

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
JOBS = 18
TASKS = 150
OUTAGE_S = 4.0


def find_second_runs(rows):
    """Returns the starts that the rule TWICE doesn't allow."""
    done_by_task = collections.defaultdict(list)
    lapsed_by_runner = collections.defaultdict(list)
    noted = {}
    active = collections.defaultdict(dict)
    for at_ms, event, runner, task, run, how in rows:
        if event == 'lease-lapsed':
            lapsed_by_runner[runner].append(at_ms)
        elif event == 'noted' and how == 'done':
            noted[runner, task, run] = at_ms
        elif event == 'end' and how == 'done':
            done_by_task[task].append((at_ms, runner, run))
    counted_by_task = collections.defaultdict(list)
    for task, ends in done_by_task.items():
        for at_ms, runner, run in ends:
            noted_ms = noted.get((runner, task, run))
            if noted_ms is None:
                continue
            lapses = lapsed_by_runner[runner]
            if not any(at_ms <= lapse <= noted_ms for lapse in lapses):
                counted_by_task[task].append(at_ms)
    after, beside = [], []
    for at_ms, event, runner, task, run, _ in rows:
        if event == 'start':
            if any(end_ms < at_ms for end_ms in counted_by_task[task]):
                after.append((task, run, runner))
            if active[task]:
                beside.append((task, run, runner))
            active[task][run] = runner
        elif event == 'end':
            active[task].pop(run, None)
    return after, beside


def play(folder):
    config = queue_config(target_ms=60_000)
    with Site(folder, ZONES, 2, runner_rows(ZONES, 1), config) as site:
        job_ids = [f'{number:016x}' for number in range(1, JOBS + 1)]
        accepted = []
        for number, job_id in enumerate(job_ids):
            vm = site.vms[number % len(site.vms)]
            status, _ = site.request(
                vm, 'POST', job_id, job(300, 250, TASKS), timeout_s=3
            )
            if status == 200:
                accepted.append(job_id)
        if is_troubled():
            site.control('store', {'mode': 'busy'})
            time.sleep(OUTAGE_S)
            site.control('store', {'mode': 'up'})
        site.wait(
            lambda: all(
                site.request(site.vms[0], 'GET', job_id)[1].get('state')
                == 'completed'
                for job_id in accepted
            ),
            60,
            'all accepted jobs are completed',
        )
        time.sleep(2)
        rows = site.update_runs()
        after, beside = find_second_runs(rows)
        starts = sum(row[1] == 'start' for row in rows)
        broken = []
        if after:
            broken.append(
                f'TWICE: {len(after)} starts after a noted end `done`, of '
                f'{starts}; first {after[0]}'
            )
        if beside:
            broken.append(f'TWICE: {len(beside)} runs beside another of their task')
        print(f'accepted {len(accepted)} jobs, {starts} starts for '
              f'{len(accepted) * TASKS} tasks')
        return broken


run_case(os.path.dirname(__file__), play)
