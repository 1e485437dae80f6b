"""The last part of LOST: jobs with nothing running although there is room."""

import time

from small_site import IDLE_S

ENDED = frozenset(('completed', 'failed', 'cancelled'))


def find_stranded(site, job_ids, from_s):
    """Returns the jobs without a run for ``IDLE_S`` from a time on.

    Only jobs of one step are examined, so that the turn of each task has come
    when the job is accepted.  They count if at both ends of the span live
    runners have twice the room that the largest of their tasks needs, and less
    than half of the capacity is in use.
    """
    time.sleep(max(from_s - time.monotonic(), 0))
    begin_s = time.monotonic()
    time.sleep(IDLE_S + 0.2)
    end_s = begin_s + IDLE_S
    states = site.read_all(job_ids, for_s=3)
    open_ids = [key for key in job_ids if states[key] not in ENDED]
    spans = site.intervals()
    running = {
        task.split('.')[0]
        for task, _, start_s, stop_s in spans
        if start_s < end_s and stop_s > begin_s
    }
    idle = [key for key in open_ids if key not in running]
    has_room = all(
        _has_room(site, spans, at_s, job_ids) for at_s in (begin_s, end_s)
    )
    print(f'{len(open_ids)} jobs not ended, {len(idle)} with nothing running')
    print(f'states of these: {sorted({str(states[key]) for key in idle})}')
    print(f'room: {has_room}')
    for key in idle:
        site.note(f'nothing runs of {key}, shown as {states[key]}')
    return idle if has_room else []


def _has_room(site, spans, at_s, job_ids):
    live = [
        runner for runner in site.runners if runner.process.poll() is None
    ]
    used_by_runner = {runner.id: 0 for runner in live}
    for task, runner_id, start_s, stop_s in spans:
        if start_s <= at_s < stop_s and runner_id in used_by_runner:
            used_by_runner[runner_id] += _cpu_of(site, task)
    steps = [
        step for key in job_ids for step in site.accepted[key]['steps']
    ]
    largest = max(step['cpu'] for step in steps)
    labels = {step['constraints'] for step in steps if step.get('constraints')}
    free = [
        runner.cpu - used_by_runner[runner.id]
        for runner in live
        if labels <= {runner.kind}
    ]
    capacity = sum(runner.cpu for runner in live)
    fits = sum(left // largest for left in free)
    print(f'{sum(used_by_runner.values())} of {capacity} thousandths in use')
    return fits >= 2 and sum(used_by_runner.values()) * 2 < capacity


def _cpu_of(site, task):
    job_id, _, step, _ = task.split('.')
    return site.accepted[job_id]['steps'][int(step)]['cpu']
