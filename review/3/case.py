"""A runner crashes beside the owner of its cell, and one more runner later."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standin'))

from small_site import (  # noqa: E402
    FINISH_S,
    RESTART_S,
    ZONES,
    Site,
    run_case,
    spec,
)

JOBS = 45
WIDTH = 12
TASK_MS = 3000
TASK_CPU = 8000
ZONE = ZONES[1]
#: Time until a crashed runner starts again, in seconds.
DOWN_S = 1.5
#: Time from the loss of the owner to the second crash, in seconds.
NEXT_CRASH_S = 7
ENDED = frozenset(('completed', 'failed'))


def build_job():
    step = {
        'count': WIDTH, 'cpu': TASK_CPU, 'mem_mb': 64, 'estimate_ms': TASK_MS,
    }  # fmt: skip
    return {'spec': spec(TASK_MS, TASK_CPU), 'steps': [step]}


def crash(site, runner):
    site.note(f'runner {runner.id} crashes')
    runner.kill()
    site.pool.submit(start_later, site, runner)


def start_later(site, runner):
    time.sleep(DOWN_S)
    site.note(f'runner {runner.id} starts again')
    runner.start()


def pick_runner(site):
    """Returns the runner of the zone with the most active runs."""
    active = {runner.id: 0 for runner in site.runners if runner.zone == ZONE}
    for _, runner_id, _, end_s in site.intervals():
        if runner_id in active and end_s == float('inf'):
            active[runner_id] += 1
    busiest = max(active, key=active.get)
    return next(runner for runner in site.runners if runner.id == busiest)


def make_trouble(site):
    owner = site.owner_of(ZONE)
    site.note(f'{owner.name}, which owns {ZONE}, is killed')
    owner.kill()
    crash(site, pick_runner(site))
    time.sleep(RESTART_S)
    owner.start()
    time.sleep(NEXT_CRASH_S)
    crash(site, pick_runner(site))


def count_crashes(site):
    """Returns the number of runners that crashed under each task."""
    running, crashes = {}, {}
    for row in site.runs():
        here = running.setdefault(row['runner'], set())
        if row['event'] == 'start':
            here.add(row['task'])
        elif row['event'] == 'end':
            here.discard(row['task'])
        elif row['event'] == 'killed':
            for task in here:
                crashes[task] = crashes.get(task, 0) + 1
            here.clear()
    return crashes


def case():
    queue = {'slack_factor': 3, 'target_latency_ms': 60_000}
    with Site(FOLDER, queue=queue) as site:
        pending = [
            site.pool.submit(
                site.submit, site.nodes[number % len(site.nodes)], build_job()
            )
            for number in range(JOBS)
        ]
        job_ids = list(filter(None, [job.result() for job in pending]))
        print(f'{len(job_ids)} of {JOBS} jobs accepted')
        time.sleep(1)
        if site.trouble:
            make_trouble(site)
        until_s = time.monotonic() + FINISH_S + 20
        states = {}
        while time.monotonic() < until_s:
            states = site.read_all(job_ids, for_s=2)
            if set(states.values()) <= ENDED:
                break
            time.sleep(2)
        crashes = count_crashes(site)
        failed = [key for key in job_ids if states[key] == 'failed']
        most = {
            key: max(
                [count for task, count in crashes.items() if key in task],
                default=0,
            )
            for key in failed
        }
        without_cause = [key for key in failed if most[key] < 2]
        failed_ends = [
            row for row in site.runs() if row.get('how') == 'failed'
        ]
        print(f'{len(failed)} jobs shown as failed; most runners that crashed '
              f'under one of their tasks: {sorted(most.values())}')
        print(f'{len(failed_ends)} ends "failed" listed by all runners')
        for key in without_cause:
            site.note(f'job {key} is shown as failed, {most[key]} crashes')
        return bool(without_cause) and not failed_ends


run_case(case)
