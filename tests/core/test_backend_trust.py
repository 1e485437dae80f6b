"""Judging back ends by ordinary runs: slow, standing still, failing all."""

from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.connection.backend_trust import (
    BackendTrust,
    slowness,
    stalled_runs,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds, RunTime
from camphorlink.internal.core.request.durable_job import Resources, TaskKey
from simulated_backends import CellRig, SimulatedBackend, listed, make_job


def make_runs(expected_s=0.1, percent=0, listed_s=0.0):
    runs = BackendRuns(listed(), 0.0)
    run = Run(TaskKey('a', 0, 0), 1, Resources(1), 0.0)
    run.turn(RunState.RUNNING, 0.0)
    run.expected_s = expected_s
    run.percent = percent
    run.percent_s = listed_s
    runs.add(run)
    return runs


def test_an_overdue_run_says_at_once_that_its_back_end_is_slow():
    assert slowness(make_runs(), 0.15) == 1
    assert slowness(make_runs(), 0.5) > 4


def test_a_run_that_stands_still_is_stalled():
    assert stalled_runs(make_runs(percent=0, listed_s=0.5), 0.55)
    assert stalled_runs(make_runs(percent=10, listed_s=0.5), 0.55)


def test_progress_that_was_listed_long_ago_proves_nothing():
    assert not stalled_runs(make_runs(percent=0, listed_s=0.0), 0.55)
    assert not stalled_runs(make_runs(percent=50, listed_s=0.3), 0.55)


def test_a_run_that_is_nearly_done_goes_on():
    assert not stalled_runs(make_runs(percent=80, listed_s=0.5), 0.55)


def test_one_job_that_fails_says_nothing_of_its_back_end():
    trust = BackendTrust()
    runs = make_runs()
    assert not trust.note_failed(runs, 'hopeless', 1.0)
    assert not trust.note_failed(runs, 'hopeless', 1.1)
    assert trust.note_failed(runs, 'another', 1.2)
    assert runs.pause_until_s > 1.2


def test_pauses_of_a_back_end_that_fails_all_grow_until_a_good_end():
    trust = BackendTrust()
    runs = make_runs()
    for number in range(4):
        trust.note_failed(runs, f'job-{number}', 0.0)
    second_s = runs.pause_until_s
    trust.note_done(runs.listed.backend_id)
    runs.pause_until_s = 0.0
    trust.note_failed(runs, 'a', 0.0)
    trust.note_failed(runs, 'b', 0.0)
    assert runs.pause_until_s < second_s


def test_tasks_leave_a_back_end_on_which_they_stand_still():
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
        speeds.note(RunTime('q', 'slow', 'i-1', 0.1, 0.2 / 0.7))
        speeds.note(RunTime('q', 'fast', 'i-2', 0.1, 0.2 / 1.7))
    ratio = speeds.speed_of('fast', 'i-2') / speeds.speed_of('slow', 'i-1')
    assert 2.1 < ratio < 2.8
    expected_s = speeds.work_s('q', 0.1) / speeds.speed_of('slow', 'i-1')
    assert 0.24 < expected_s < 0.34


def test_a_back_end_that_was_slow_is_rated_by_its_kind_again():
    speeds = RunSpeeds()
    for _ in range(30):
        speeds.note(RunTime('q', 'a', 'i-1', 0.1, 0.6))
        speeds.note(RunTime('q', 'a', 'i-2', 0.1, 0.1))
    slow = speeds.speed_of('a', 'i-1')
    for _ in range(100):
        speeds.relax()
    assert speeds.speed_of('a', 'i-1') > slow * 1.5
