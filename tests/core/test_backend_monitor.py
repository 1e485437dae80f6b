"""Tests of the detection of slow back ends, stalled runs and failures.

They also cover the run speeds that are learned from successful runs.
"""

from random import Random

import pytest

from camphorlink.internal.core.connection.backend_monitor import (
    FIRST_PAUSE_S,
    BackendMonitor,
    estimate_slowdown,
    find_stalled_runs,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds, RunTime
from camphorlink.internal.core.request.durable_job import Resources, TaskKey
from simulated_backends import CellRig, SimulatedBackend, listed, make_job


def make_runs(expected_s=0.1, percent=0, listed_s=0.0):
    runs = BackendRuns(listed(), 0.0, 1)
    run = Run(TaskKey('a', 0, 0), 1, Resources(1), 0.0)
    run.change_state(RunState.RUNNING, 0.0)
    run.expected_s = expected_s
    run.percent = percent
    run.percent_s = listed_s
    runs.add(run)
    return runs


def advance(runs):
    """Lists new progress of the first run."""
    run = runs.run_by_task[TaskKey('a', 0, 0)]
    run.record_progress(run.percent + 1, 0.5)


def test_an_overdue_run_marks_its_back_end_as_slow():
    assert estimate_slowdown(make_runs(), 0.15) == 1
    assert estimate_slowdown(make_runs(), 0.5) > 4


def test_a_run_without_progress_is_stalled():
    assert find_stalled_runs(make_runs(percent=0, listed_s=0.5), 0.55)
    assert find_stalled_runs(make_runs(percent=10, listed_s=0.5), 0.55)


def test_progress_listed_before_the_run_was_overdue_is_ignored():
    assert not find_stalled_runs(make_runs(percent=0, listed_s=0.0), 0.55)
    assert not find_stalled_runs(make_runs(percent=50, listed_s=0.3), 0.55)


def test_a_nearly_finished_run_is_not_stalled():
    assert not find_stalled_runs(make_runs(percent=80, listed_s=0.5), 0.55)


def add_run(runs, number, percent, advanced_s=0.5):
    run = Run(TaskKey('a', 0, number), 1, Resources(1), 0.0)
    run.change_state(RunState.RUNNING, 0.0)
    run.expected_s = 0.1 if percent < 50 else 0.55
    run.record_progress(percent, advanced_s)
    run.record_progress(percent, 0.5)
    runs.add(run)


def test_a_long_task_on_a_sound_back_end_is_neither_stalled_nor_slow():
    """Guards against restarts of tasks that run seven times as long."""
    runs = make_runs(percent=15, listed_s=0.5)
    advance(runs)
    assert find_stalled_runs(runs, 0.55)
    assert estimate_slowdown(runs, 0.55) > 1
    add_run(runs, 1, percent=90)
    assert not find_stalled_runs(runs, 0.55)
    assert estimate_slowdown(runs, 0.55) == 1


def test_a_task_that_was_slow_on_two_back_ends_is_not_restarted_again():
    runs = make_runs(percent=15, listed_s=0.5)
    advance(runs)
    assert not find_stalled_runs(runs, 0.55, {TaskKey('a', 0, 0)})


def test_a_run_that_stands_still_is_stalled_beside_others_that_progress():
    """Guards against runs that hang for good on a back end that runs others."""
    runs = make_runs(percent=15, listed_s=0.5)
    add_run(runs, 1, percent=90)
    task = TaskKey('a', 0, 0)
    assert [run.task for run in find_stalled_runs(runs, 0.55)] == [task]
    assert find_stalled_runs(runs, 0.55, {task})


def test_failures_of_one_job_do_not_pause_a_back_end():
    backend_monitor = BackendMonitor()
    runs = make_runs()
    assert not backend_monitor.record_failure(runs, 'hopeless', 1.0)
    assert not backend_monitor.record_failure(runs, 'hopeless', 1.1)
    assert backend_monitor.record_failure(runs, 'another', 1.2)
    assert runs.pause_until_s > 1.2


def test_pauses_grow_until_a_successful_run():
    backend_monitor = BackendMonitor()
    runs = make_runs()
    for number in range(4):
        backend_monitor.record_failure(runs, f'job-{number}', 0.0)
    second_s = runs.pause_until_s
    backend_monitor.record_success(runs)
    runs.pause_until_s = 0.0
    backend_monitor.record_failure(runs, 'a', 0.0)
    backend_monitor.record_failure(runs, 'b', 0.0)
    assert runs.pause_until_s < second_s


def test_failures_of_the_former_incarnation_pause_the_next():
    backend_monitor = BackendMonitor()
    former = make_runs()
    for number in range(5):
        backend_monitor.record_failure(former, f'job-{number}', 0.0)
    later = make_runs()
    assert not backend_monitor.record_failure(later, 'a', 0.0)
    assert backend_monitor.record_failure(later, 'b', 0.0)
    assert later.pause_until_s == FIRST_PAUSE_S


def test_speed_of_another_kind_counts_for_the_next_incarnation():
    speeds = RunSpeeds()
    for _ in range(50):
        speeds.record(RunTime('q', 'slow', 'i-1', 1.0, 4.0))
        speeds.record(RunTime('q', 'fast', 'i-2', 1.0, 1.0))
    assert speeds.speed_of('slow', 'i-1') < speeds.speed_of('fast', 'i-2') / 2
    assert speeds.speed_of('fast', 'i-1') == pytest.approx(
        speeds.speed_of('fast', 'i-3')
    )
    speeds.record(RunTime('q', 'fast', 'i-1', 1.0, 1.0))
    speeds.relax()
    assert speeds.speed_of('fast', 'i-1') == pytest.approx(
        speeds.speed_of('fast', 'i-2'), rel=0.1
    )


def test_stalled_tasks_are_moved_to_another_back_end():
    backends = [SimulatedBackend(listed(f'i-{n}')) for n in range(2)]
    rig = CellRig(backends)
    rig.run_for(0.1)
    backends[0].is_stalled = True
    rig.submit(make_job(count=4))
    for _ in range(30):
        rig.run_for(0.1)
        assert not rig.overlapping_runs()
    assert len(rig.done_tasks()) == 4


def test_speeds_of_kinds_are_learned_and_estimates_corrected():
    speeds = RunSpeeds()
    for _ in range(300):
        speeds.record(RunTime('q', 'slow', 'i-1', 0.1, 0.2 / 0.7))
        speeds.record(RunTime('q', 'fast', 'i-2', 0.1, 0.2 / 1.7))
    ratio = speeds.speed_of('fast', 'i-2') / speeds.speed_of('slow', 'i-1')
    assert 2.1 < ratio < 2.8
    expected_s = speeds.work_s('q', 0.1) / speeds.speed_of('slow', 'i-1')
    assert 0.24 < expected_s < 0.34


@pytest.mark.parametrize('slow_share', [0, 0.5])
def test_learned_run_times_keep_their_scale(slow_share):
    """Objectives grew sixfold in 8 s, so that no job counted as late.

    Estimates are off by 40%, run times vary by as much, and a quarter of the
    back ends run at half of the speed of the others; then more turn slow.
    """
    speeds = RunSpeeds()
    rng = Random(1)
    speed_by_backend = {
        f'i-{n}': 0.55 if n % 4 == 0 else 1.2 for n in range(24)
    }
    for number in range(6000):
        backend_id = f'i-{rng.randrange(24)}'
        speed = speed_by_backend[backend_id]
        if number > 4000 and rng.random() < slow_share:
            speed /= 4
        work_s = 0.2 * rng.lognormvariate(0, 0.35)
        estimate_s = work_s * rng.lognormvariate(0, 0.35)
        queue = f'q{number % 3}'
        run_s = work_s / speed
        speeds.record(RunTime(queue, 'a', backend_id, estimate_s, run_s))
    works_s = [speeds.work_s(f'q{n}', 0.2) for n in range(3)]
    assert all(0.15 < work_s < 0.27 for work_s in works_s)
    ratio = speeds.speed_of('a', 'i-1') / speeds.speed_of('a', 'i-0')
    assert ratio > 1.3


def test_the_speed_of_a_slow_back_end_returns_to_that_of_its_kind():
    speeds = RunSpeeds()
    for _ in range(30):
        speeds.record(RunTime('q', 'a', 'i-1', 0.1, 0.6))
        speeds.record(RunTime('q', 'a', 'i-2', 0.1, 0.1))
    slow = speeds.speed_of('a', 'i-1')
    for _ in range(100):
        speeds.relax()
    assert speeds.speed_of('a', 'i-1') > slow * 1.5
