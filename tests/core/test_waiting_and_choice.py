"""Waiting, placement, refusal: each load that a decision answers, replayed."""

import pytest

from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell_load import load_period_s
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.cell_choice import (
    CellChoice,
    CellLoad,
    Room,
)
from camphorlink.internal.core.request.cell_index import CellIndex
from camphorlink.internal.core.request.durable_job import (
    Resources,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.job_planner import JobPlanner
from camphorlink.internal.core.request.task_placement import (
    Candidates,
    objective_s,
)
from camphorlink.internal.core.request.transient_jobs import (
    DropJob,
    GiveTasks,
    JobOver,
    JobRefused,
    TransientJobs,
)
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks
from order_takers import listed, make_job

NEEDS = Resources(14_000)


def fill(waiting, entries):
    for name, due_s, work_s in entries:
        job = make_job(name)
        waiting.add(TaskKey(name, 0, 0), job, due_s, work_s)


def order(waiting, now, room=99):
    placed = []

    def can_place(entry):
        if len(placed) >= room:
            return False
        placed.append(entry.task.job_id)
        return True

    waiting.place(can_place, now)
    return placed


def test_what_is_due_first_goes_first():
    waiting = WaitingTasks()
    fill(waiting, [('b', 2.0, 0.1), ('a', 1.0, 0.1), ('c', 3.0, 0.1)])
    assert order(waiting, 0.0) == ['a', 'b', 'c']
    assert not waiting


def test_a_backlog_does_not_make_one_job_after_the_other_late():
    waiting = WaitingTasks()
    fill(waiting, [('late', 1.0, 0.5), ('new', 2.0, 0.5)])
    assert order(waiting, 0.9, room=1) == ['new']
    assert order(waiting, 0.9) == ['late']


def test_a_task_that_does_not_fit_keeps_no_smaller_one_waiting():
    waiting = WaitingTasks()
    wide = make_job('wide', cpu=20_000)
    waiting.add(TaskKey('wide', 0, 0), wide, 1.0, 0.1)
    fill(waiting, [('small', 2.0, 0.1)])
    placed = []

    def can_place(entry):
        fits = entry.needs.cpu_milli < 20_000
        if fits:
            placed.append(entry.task.job_id)
        return fits

    waiting.place(can_place, 0.0)
    assert placed == ['small']
    assert len(waiting) == 1


def backend(number, cpu=32_000, labels=('a', 'r1'), **fields):
    runs = BackendRuns(listed(f'i-{number}', cpu=cpu, labels=labels), 0.0)
    runs.has_listed_runs = True
    return runs


def entry_of(step=None):
    waiting = WaitingTasks()
    step = step or Step(1, NEEDS, 100)
    job = make_job(steps=(step,))
    waiting.add(TaskKey(job.job_id, 0, 0), job, 1.0, 0.1)
    return next(iter(waiting))


def choose(entry, *backends):
    return Candidates(backends, RunSpeeds(), 0).choose(entry, 0).runs


def test_the_fullest_of_equal_back_ends_is_taken():
    one, other = backend(1), backend(2)
    other.free = Resources(15_000, 100_000)
    assert choose(entry_of(), one, other) is other


def test_labels_and_spread_are_kept():
    one, other = backend(1), backend(2, labels=('b', 'r2'))
    step = Step(2, NEEDS, 100, label='b')
    found = choose(entry_of(step), one, other)
    assert found is other
    near = Step(2, NEEDS, 100, rack='r1')
    assert choose(entry_of(near), one, other) is one


def load(cell, rooms=((1.0, 32_000),), wait_s=0.0, power=32_000):
    return CellLoad(
        cell,
        's',
        1,
        tuple(Room(*room) for room in rooms),
        wait_s,
        0.0,
        power,
        power,
    )


def make_jobs(*loads):
    choice = CellChoice(loads[0].cell)
    for told in loads:
        choice.note_load(told)
    cells = [told.cell for told in loads]
    planner = JobPlanner(choice, RunSpeeds(), lambda service, step: cells)
    return TransientJobs(planner)


def given(effects):
    return {
        effect.cell: len(effect.tasks)
        for effect in effects
        if isinstance(effect, GiveTasks)
    }


def test_a_wide_job_is_split_over_the_room_of_all_cells():
    jobs = make_jobs(load('y'), load('z'))
    assert given(jobs.submit(make_job(count=4))) == {
        'y': 2,
        'z': 2,
    }


def test_room_that_was_given_out_is_not_given_again():
    jobs = make_jobs(load('y'), load('z'))
    first = given(jobs.submit(make_job('1', count=2)))
    second = given(jobs.submit(make_job('2', count=2)))
    assert first == {'y': 2}
    assert second == {'z': 2}


def test_fast_back_ends_elsewhere_outweigh_the_way_there():
    jobs = make_jobs(load('y', [(0.7, 32_000)]), load('z', [(1.7, 32_000)]))
    assert given(jobs.submit(make_job())) == {'z': 1}


def test_without_room_the_shortest_queue_is_taken():
    jobs = make_jobs(load('y', [], 0.05), load('z', [], 0.01))
    assert given(jobs.submit(make_job())) == {'z': 1}


def test_a_job_that_would_end_far_too_late_is_refused_with_the_wait():
    jobs = make_jobs(load('z', [], 3.4))
    refused = jobs.submit(make_job())
    (refusal,) = refused
    assert isinstance(refusal, JobRefused)
    assert refusal.job_id == 'a' * 16
    assert refusal.admission.retry_after_s == 3.4
    assert refusal.admission.expected_s > refusal.admission.latest_s > 0
    assert not len(jobs)


def test_room_refuses_nobody_however_wide_the_job():
    jobs = make_jobs(load('z'))
    assert given(jobs.submit(make_job(count=32))) == {'z': 32}


def test_without_any_cell_a_job_is_refused():
    jobs = make_jobs(load('z', [], power=0))
    assert isinstance(jobs.submit(make_job())[0], JobRefused)


def test_ends_complete_a_job_and_one_failure_drops_the_rest():
    jobs = make_jobs(load('z'))
    job = make_job(count=2)
    goal = pytest.approx(0.7)
    jobs.submit(job)
    assert not jobs.note_report(TaskKey('a' * 16, 0, 0), True)
    over = jobs.note_report(TaskKey('a' * 16, 0, 1), True)
    assert over == [JobOver('a' * 16, JobState.COMPLETED, goal)]
    jobs.submit(job)
    over = jobs.note_report(TaskKey('a' * 16, 0, 0), False)
    assert over == [
        DropJob('z', 'a' * 16),
        JobOver('a' * 16, JobState.FAILED, goal),
    ]


def test_a_report_that_comes_twice_counts_once():
    jobs = make_jobs(load('z'))
    jobs.submit(make_job(count=2))
    for _ in range(2):
        assert not jobs.note_report(TaskKey('a' * 16, 0, 0), True)


def test_later_steps_are_given_when_their_turn_comes():
    jobs = make_jobs(load('z'))
    steps = (Step(1, NEEDS, 100), Step(2, NEEDS, 100, (0,)))
    assert given(jobs.submit(make_job(steps=steps))) == {'z': 1}
    later = jobs.note_report(TaskKey('a' * 16, 0, 0), True)
    assert given(later) == {'z': 2}


def test_open_tasks_go_to_a_new_owner_or_to_other_cells():
    jobs = make_jobs(load('y'), load('z', [(0.1, 32_000)]))
    jobs.submit(make_job())
    again = jobs.note_owner('y')
    assert again[0].may_have_run
    moved = jobs.move_tasks('y')
    assert given(moved) == {'z': 1}
    assert not moved[0].may_have_run


@pytest.mark.parametrize(('width', 'waves'), [(1, 1), (16, 1), (17, 2)])
def test_the_goal_counts_waves_of_wide_steps(width, waves):
    job = make_job(count=width, cpu=14_000, estimate_ms=100)
    room_cpu = 16 * 14_000 * 4
    expected_s = 1.6 * 0.1 * waves + 0.06
    assert objective_s(job, RunSpeeds(), room_cpu) == pytest.approx(expected_s)


def test_a_step_goes_to_cells_with_a_back_end_that_it_fits_on():
    index = CellIndex(
        [
            listed('i-1', 'small', cpu=16_000),
            listed('i-2', 'large', cpu=32_000),
            listed('i-3', 'other', cpu=64_000, labels=('b', 'r2')),
        ],
    )
    wide = Step(1, Resources(20_000), 100)
    assert index.cells_with('s', wide) == ['large', 'other']
    labelled = wide._replace(label='b')
    assert index.cells_with('s', labelled) == ['other']
    assert index.cells_with('another', wide) == []


def test_a_plan_is_counted_once():
    cells = ('z',)
    choice = CellChoice('z')
    rooms = (Room(1.0, 28_000), Room(1.0, 28_000))
    choice.note_load(CellLoad('z', 's', 1, rooms, 0, 0, 64_000, 64_000))
    planner = JobPlanner(choice, RunSpeeds(), lambda service, step: cells)
    jobs = TransientJobs(planner)
    jobs.submit(make_job('a' * 16, count=2))
    second = planner.place(make_job('b' * 16, count=2), 0, 2)
    assert second.end_s < 0.11


def test_a_back_end_that_falls_silent_after_it_was_rated_gets_nothing():
    first, second = backend(1), backend(2, cpu=30_000)
    candidates = Candidates((first, second), RunSpeeds(), 0)
    second.record_no_answer(0, renews=False)
    assert candidates.choose(entry_of(), 0).runs is first


@pytest.mark.parametrize(('peers', 'period_ms'), [(5, 20), (7, 21), (38, 114)])
def test_loads_are_told_less_often_the_more_peers_there_are(peers, period_ms):
    assert round(load_period_s(peers) * 1000) == period_ms
