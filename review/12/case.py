"""Orders are carried out late, and a runner crashes and returns meanwhile."""

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
RUNNERS_PER_ZONE = 3
TASK_MS = 900
TRAFFIC_S = 7
JOB_EACH_S = 0.15
#: One start in 20 gets no answer, for this time, and is carried out late.
LATE_EACH = 20
LATE_FOR_S = 5.5
LATE_S = 10.0
DOWN_S = 3.5


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
    config = queue_config(target_ms=5_000)
    runners = runner_rows(ZONES, RUNNERS_PER_ZONE)
    with Site(folder, ZONES, 2, runners, config) as site:
        if is_troubled():
            site.control('late', {
                'each': LATE_EACH, 'for_s': LATE_FOR_S, 'late_s': LATE_S,
            })  # fmt: skip
        accepted = []
        end_s = time.monotonic() + TRAFFIC_S
        crashed = None
        number = 0
        while time.monotonic() < end_s:
            number += 1
            job_id = f'{number:016x}'
            vm = site.vms[number % len(site.vms)]
            document = job(TASK_MS, 2_000, 2)
            if site.request(vm, 'POST', job_id, document)[0] == 200:
                accepted.append(job_id)
            time.sleep(JOB_EACH_S)
            if is_troubled() and crashed is None:
                crashed = _crash_after_a_late_order(site)
        site.wait(
            lambda: all(
                site.request(site.vms[0], 'GET', job_id)[1].get('state')
                in {'completed', 'failed'}
                for job_id in accepted
            ), 30, 'all jobs have ended',
        )  # fmt: skip
        time.sleep(LATE_S + 3)
        rows = site.update_runs()
        after, beside = find_second_runs(rows)
        held = sum(row[1] == 'order-held' for row in rows)
        starts = sum(row[1] == 'start' for row in rows)
        ends = [
            (row[3], row[5])
            for row in rows
            if row[1] == 'end' and (row[3], row[4], row[2]) in after
        ]
        print(f'accepted {len(accepted)} jobs, {starts} starts; {held} orders '
              f'were held; the second runs ended {ends}')
        broken = []
        if after:
            broken.append(f'TWICE: started after a noted end `done`: {after}')
        if beside:
            broken.append(f'TWICE: started beside another run: {beside}')
        return broken


def _crash_after_a_late_order(site):
    """Crashes a runner of which an order is held, 1.5 s after that order."""
    rows = site.update_runs()
    now_ms = site.control('record?from=0')['now_ms']
    for at_ms, event, runner, *_ in rows:
        if event == 'order-held' and now_ms - at_ms > 1500:
            site.control('crash', {'runner': runner, 'down_s': DOWN_S})
            return runner
    return None


run_case(os.path.dirname(__file__), play)
