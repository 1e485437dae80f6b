"""Two runners crash, one after the other, under one stored job."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standin'))

from small_site import CannotRunError, Site, run_case, spec  # noqa: E402

JOBS = 12
TASK_MS = 8000
TASK_CPU = 4000
CRASHES = 2
#: Time that a run has worked when its runner crashes, in seconds.
WORKED_S = 2.0
#: Time until a crashed runner starts again, in seconds.
DOWN_S = 4.5
#: Time in which a task starts again elsewhere, in seconds.
RESTART_LIMIT_S = 15
END_LIMIT_S = 25


def build_job():
    step = {
        'count': 1, 'cpu': TASK_CPU, 'mem_mb': 64, 'estimate_ms': TASK_MS,
    }  # fmt: skip
    return {'spec': spec(TASK_MS, TASK_CPU), 'steps': [step]}


def wait_for_run(site, job_id, after_s):
    """Returns the runner of the active run of a job that began after a time."""
    until_s = time.monotonic() + RESTART_LIMIT_S
    while time.monotonic() < until_s:
        for task, runner_id, start_s, end_s in site.intervals():
            is_new = start_s > after_s and end_s == float('inf')
            if task.startswith(job_id) and is_new:
                return next(
                    runner for runner in site.runners if runner.id == runner_id
                )
        if site.read(job_id, 0) in {'failed', 'completed'}:
            return None
        time.sleep(0.1)
    return None


def crash_twice(site, job_id):
    crashed_s = 0.0
    for _ in range(CRASHES):
        runner = wait_for_run(site, job_id, crashed_s)
        if runner is None:
            raise CannotRunError('the task did not start again')
        time.sleep(WORKED_S)
        site.note(f'runner {runner.id} crashes')
        runner.kill()
        crashed_s = time.monotonic()
        site.pool.submit(start_later, runner)


def start_later(runner):
    time.sleep(DOWN_S)
    runner.site.note(f'runner {runner.id} starts again')
    runner.start()


def case():
    queue = {'slack_factor': 3}
    with Site(FOLDER, queue=queue) as site:
        job_ids = [
            site.submit(site.nodes[number % len(site.nodes)], build_job())
            for number in range(JOBS)
        ]
        job_ids = list(filter(None, job_ids))
        if site.trouble:
            crash_twice(site, job_ids[0])
        until_s = time.monotonic() + END_LIMIT_S
        states = {}
        while time.monotonic() < until_s:
            states = site.read_all(job_ids, for_s=2)
            if set(states.values()) <= {'completed', 'failed'}:
                break
            time.sleep(1)
        failed = [key for key in job_ids if states[key] == 'failed']
        failed_ends = [
            row
            for row in site.runs()
            if row['event'] == 'end' and row['how'] == 'failed'
        ]
        print(f'{len(job_ids)} jobs accepted; states: {states}')
        print(f'{len(failed_ends)} ends "failed" listed by all runners')
        return bool(failed) and not failed_ends


run_case(case)
