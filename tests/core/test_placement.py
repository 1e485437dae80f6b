"""Tests of slot selection, run time estimates and measured speeds."""

import pytest

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.request.job import Job
from camphorlink.internal.core.request.job_queue import QueuedJob, WaitingTask
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.run_times import RunTimes, TaskSpec
from camphorlink.internal.core.request.slot_selector import SlotSelector
from camphorlink.internal.core.version.manifest import Backend


def build_load(speed, busy_until=()):
    backend = Backend(
        f'b{speed}', '', 'z', 1, 64, frozenset(('s',)), leaving=False
    )
    load = BackendLoad(backend, speed)
    for number, finish_s in enumerate(busy_until):
        load.note_start(number, 0, finish_s * speed)
    return load


def build_job(*works_s):
    tasks = [WaitingTask(work_s, n, 1) for n, work_s in enumerate(works_s)]
    run = JobRun('id', Job('s', 't', (), 99, idempotent=False, digest=''), 1)
    return QueuedJob(run, 1, tasks)


def choose(loads, job, task=None, max_run_s=100):
    slots = SlotSelector(loads, 0, max_run_s)
    choice = slots.choose(job, task or job.tasks[-1])
    return choice.load.speed, choice.must_wait


def test_the_longest_task_takes_the_fastest_slot():
    assert choose([build_load(1), build_load(4)], build_job(1)) == (4, False)


def test_a_task_waits_for_a_fast_slot_that_is_free_soon():
    loads = [build_load(1), build_load(4, busy_until=[0.1])]
    assert choose(loads, build_job(1)) == (4, True)
    loads = [build_load(1), build_load(4, busy_until=[2])]
    assert choose(loads, build_job(1)) == (1, False)


def test_shorter_tasks_of_a_job_take_slower_slots():
    job = build_job(0.2, 1)
    job.finish_s = 0.25
    assert choose([build_load(1), build_load(4)], job, job.tasks[0]) == (
        1,
        False,
    )


def test_no_task_is_placed_where_it_would_time_out():
    job = build_job(5)
    job.finish_s = 50
    slow, fast = build_load(0.4), build_load(1.6, busy_until=[9])
    assert choose([slow, fast], job, max_run_s=10) == (1.6, True)
    assert choose([slow, build_load(1.6)], job, max_run_s=10) == (1.6, False)
    # Without a faster back end, the task runs on the slow one.
    assert choose([slow], job, max_run_s=10) == (0.4, False)


@pytest.mark.parametrize('factor', [0.1, 10])
def test_declared_sizes_may_be_off_by_a_constant_factor(factor):
    times = RunTimes()
    for number in range(200):
        work_s = 0.05 + (number % 20) / 20
        task = TaskSpec('t', None, 'c', work_s * 1000 * factor)
        times.learn('s', task, work_s)
    task_to_estimate = TaskSpec('t', None, 'c', 500 * factor)
    assert times.estimate('s', task_to_estimate) == pytest.approx(0.5, rel=0.05)


def test_uncorrelated_declared_sizes_are_ignored():
    times = RunTimes()
    for number in range(400):
        declared_ms = 10 ** (number % 7)
        times.learn('s', TaskSpec('t', None, 'c', declared_ms), 0.4)
    task_to_estimate = TaskSpec('t', None, 'c', 1_000_000)
    assert times.estimate('s', task_to_estimate) == pytest.approx(0.4, rel=0.05)


def test_the_estimate_follows_a_lasting_change_of_run_times():
    times = RunTimes()
    for _ in range(500):
        times.learn('s', TaskSpec('t', None, 'c'), 0.1)
    for _ in range(150):
        times.learn('s', TaskSpec('t', None, 'c'), 1.0)
    assert times.estimate('s', TaskSpec('t', None, 'c')) > 0.9


def test_one_overrun_task_lowers_the_speed_of_a_back_end():
    load = build_load(1)
    for number in range(50):
        load.note_start(number, 0, 0.1)
        load.note_end(number, 0.1)
        load.learn(0.1, 0.1)
    load.note_start(99, 0, 0.1)
    load.check_overruns(0.9)
    assert load.speed < 0.5
    load.note_end(99, 1)
    load.learn(1, 0.1)
    assert load.speed < 0.5
