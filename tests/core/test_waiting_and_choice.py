"""Tests of queueing, placement and admission under typical loads."""

import pytest

from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell_load import load_report_period_s
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.cell_index import CellIndex
from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    CellSelector,
    FreeCapacity,
)
from camphorlink.internal.core.request.durable_job import (
    Resources,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.job_planner import JobPlanner
from camphorlink.internal.core.request.load_ages import prefer_fresh
from camphorlink.internal.core.request.task_placement import (
    Candidates,
    objective_s,
)
from camphorlink.internal.core.request.transient_jobs import (
    AssignTasks,
    DropJob,
    JobRefused,
    TransientJobEnded,
    TransientJobs,
)
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)
from simulated_backends import listed, make_job

NEEDS = Resources(14_000)


def fill(waiting, entries):
    for name, due_s, work_s in entries:
        job = make_job(name)
        waiting.add(TaskKey(name, 0, 0), job, due_s, work_s)


def place_in_order(waiting, now, max_placed=99):
    placed = []

    def try_place(entry):
        if len(placed) >= max_placed:
            return False
        placed.append(entry.task.job_id)
        return True

    waiting.place(try_place, now)
    return placed


def test_tasks_are_placed_in_order_of_due_time():
    waiting = WaitingTasks()
    fill(waiting, [('b', 2.0, 0.1), ('a', 1.0, 0.1), ('c', 3.0, 0.1)])
    assert place_in_order(waiting, 0.0) == ['a', 'b', 'c']
    assert not waiting


def test_a_late_task_is_placed_after_tasks_that_can_be_on_time():
    waiting = WaitingTasks()
    fill(waiting, [('late', 1.0, 0.5), ('new', 2.0, 0.5)])
    assert place_in_order(waiting, 0.9, max_placed=1) == ['new']
    assert place_in_order(waiting, 0.9) == ['late']


def test_a_task_that_does_not_fit_does_not_block_a_smaller_one():
    waiting = WaitingTasks()
    wide = make_job('wide', cpu=20_000)
    waiting.add(TaskKey('wide', 0, 0), wide, 1.0, 0.1)
    fill(waiting, [('small', 2.0, 0.1)])
    placed = []

    def try_place(entry):
        fits = entry.needs.cpu_milli < 20_000
        if fits:
            placed.append(entry.task.job_id)
        return fits

    waiting.place(try_place, 0.0)
    assert placed == ['small']
    assert len(waiting) == 1


def backend(number, cpu=32_000, labels=('a', 'r1'), **fields):
    runs = BackendRuns(listed(f'i-{number}', cpu=cpu, labels=labels), 0.0, 1)
    runs.has_listed_runs = True
    return runs


def build_entry(step=None):
    waiting = WaitingTasks()
    step = step or Step(1, NEEDS, 100)
    job = make_job(steps=(step,))
    waiting.add(TaskKey(job.job_id, 0, 0), job, 1.0, 0.1)
    return next(iter(waiting))


def choose(entry, *backends):
    return Candidates(backends, RunSpeeds(), 0).choose(entry, 0).runs


def test_among_equal_back_ends_the_one_with_least_capacity_is_chosen():
    first, second = backend(1), backend(2)
    second.free = Resources(15_000, 100_000)
    assert choose(build_entry(), first, second) is second


def test_placement_requires_the_label_and_prefers_the_rack():
    first, second = backend(1), backend(2, labels=('b', 'r2'))
    step = Step(2, NEEDS, 100, label='b')
    chosen = choose(build_entry(step), first, second)
    assert chosen is second
    near = Step(2, NEEDS, 100, rack='r1')
    assert choose(build_entry(near), first, second) is first


def load(
    cell,
    free_capacities=((1.0, 32_000),),
    wait_s=0.0,
    weighted_cpu_milli=32_000,
):
    return CellLoad(
        cell,
        's',
        1,
        tuple(FreeCapacity(*fields) for fields in free_capacities),
        wait_s,
        0.0,
        weighted_cpu_milli,
        weighted_cpu_milli,
    )


def make_jobs(*loads):
    selector = CellSelector(loads[0].cell)
    for cell_load in loads:
        selector.record_load(cell_load)
    cells = [cell_load.cell for cell_load in loads]
    planner = JobPlanner(selector, RunSpeeds(), lambda service, step: cells)
    return TransientJobs(planner)


def task_count_by_cell(effects):
    return {
        effect.cell: len(effect.tasks)
        for effect in effects
        if isinstance(effect, AssignTasks)
    }


def test_a_wide_job_is_split_over_the_capacity_of_all_cells():
    jobs = make_jobs(load('y'), load('z'))
    assert task_count_by_cell(jobs.submit(make_job(count=4))) == {
        'y': 2,
        'z': 2,
    }


def test_reserved_capacity_is_not_assigned_again():
    jobs = make_jobs(load('y'), load('z'))
    first = task_count_by_cell(jobs.submit(make_job('1', count=2)))
    second = task_count_by_cell(jobs.submit(make_job('2', count=2)))
    assert first == {'y': 2}
    assert second == {'z': 2}


def test_a_fast_remote_back_end_outweighs_the_network_delay():
    jobs = make_jobs(load('y', [(0.7, 32_000)]), load('z', [(1.7, 32_000)]))
    assert task_count_by_cell(jobs.submit(make_job())) == {'z': 1}


def test_without_free_capacity_the_shortest_queue_is_chosen():
    jobs = make_jobs(load('y', [], 0.05), load('z', [], 0.01))
    assert task_count_by_cell(jobs.submit(make_job())) == {'z': 1}


def test_a_job_that_would_end_far_too_late_is_refused_with_retry_after():
    jobs = make_jobs(load('z', [], 3.4))
    refused = jobs.submit(make_job())
    (refusal,) = refused
    assert isinstance(refusal, JobRefused)
    assert refusal.job_id == 'a' * 16
    assert refusal.admission.retry_after_s == 4
    assert refusal.admission.expected_s > refusal.admission.latest_s > 0
    assert 'a' * 16 not in jobs


def test_a_wide_job_is_not_refused_for_lack_of_free_capacity():
    jobs = make_jobs(load('z'))
    assert task_count_by_cell(jobs.submit(make_job(count=32))) == {'z': 32}


def test_without_any_cell_a_job_is_refused():
    jobs = make_jobs(load('z', [], weighted_cpu_milli=0))
    assert isinstance(jobs.submit(make_job())[0], JobRefused)


def test_completions_end_a_job_and_one_failure_drops_its_other_tasks():
    jobs = make_jobs(load('z'))
    job = make_job(count=2)
    objective = pytest.approx(0.7)
    jobs.submit(job)
    assert not jobs.record_completion(TaskKey('a' * 16, 0, 0), True)
    effects = jobs.record_completion(TaskKey('a' * 16, 0, 1), True)
    assert effects == [
        TransientJobEnded('a' * 16, JobState.COMPLETED, objective)
    ]
    jobs.submit(job)
    effects = jobs.record_completion(TaskKey('a' * 16, 0, 0), False)
    assert effects == [
        DropJob('z', 'a' * 16),
        TransientJobEnded('a' * 16, JobState.FAILED, objective),
    ]


def test_a_duplicate_completion_is_counted_once():
    jobs = make_jobs(load('z'))
    jobs.submit(make_job(count=2))
    for _ in range(2):
        assert not jobs.record_completion(TaskKey('a' * 16, 0, 0), True)


def test_a_later_step_is_assigned_when_the_earlier_one_completes():
    jobs = make_jobs(load('z'))
    steps = (Step(1, NEEDS, 100), Step(2, NEEDS, 100, (0,)))
    assert task_count_by_cell(jobs.submit(make_job(steps=steps))) == {'z': 1}
    later = jobs.record_completion(TaskKey('a' * 16, 0, 0), True)
    assert task_count_by_cell(later) == {'z': 2}


def test_open_tasks_are_assigned_to_a_new_owner_or_other_cells():
    jobs = make_jobs(load('y'), load('z', [(0.1, 32_000)]))
    jobs.submit(make_job())
    again = jobs.assign_to_new_owner('y')
    assert again[0].may_have_run
    moved = jobs.move_tasks('y')
    assert task_count_by_cell(moved) == {'z': 1}
    assert not moved[0].may_have_run


@pytest.mark.parametrize(('width', 'waves'), [(1, 1), (16, 1), (17, 2)])
def test_the_objective_counts_waves_of_wide_steps(width, waves):
    job = make_job(count=width, cpu=14_000, estimate_ms=100)
    total_cpu_milli = 16 * 14_000 * 4
    expected_s = 1.6 * 0.1 * waves + 0.06
    assert objective_s(job, RunSpeeds(), total_cpu_milli) == pytest.approx(
        expected_s
    )


def test_cells_for_a_step_have_a_back_end_with_enough_capacity():
    index = CellIndex(
        [
            listed('i-1', 'small', cpu=16_000),
            listed('i-2', 'large', cpu=32_000),
            listed('i-3', 'other', cpu=64_000, labels=('b', 'r2')),
        ],
    )
    wide = Step(1, Resources(20_000), 100)
    assert index.cells_for_step('s', wide) == ['large', 'other']
    labelled = wide._replace(label='b')
    assert index.cells_for_step('s', labelled) == ['other']
    assert index.cells_for_step('another', wide) == []


def test_a_plan_is_reserved_once():
    cells = ('z',)
    selector = CellSelector('z')
    free_capacities = (FreeCapacity(1.0, 28_000), FreeCapacity(1.0, 28_000))
    selector.record_load(
        CellLoad('z', 's', 1, free_capacities, 0, 0, 64_000, 64_000)
    )
    planner = JobPlanner(selector, RunSpeeds(), lambda service, step: cells)
    jobs = TransientJobs(planner)
    jobs.submit(make_job('a' * 16, count=2))
    second = planner.place(make_job('b' * 16, count=2), 0, 2)
    assert second.end_s < 0.11


def test_a_back_end_that_falls_silent_after_rating_gets_no_task():
    first, second = backend(1), backend(2, cpu=30_000)
    candidates = Candidates((first, second), RunSpeeds(), 0)
    second.record_no_answer(0, renews=False)
    assert candidates.choose(build_entry(), 0).runs is first


@pytest.mark.parametrize(('peers', 'period_ms'), [(5, 20), (7, 21), (38, 114)])
def test_the_load_report_period_grows_with_the_number_of_peers(
    peers, period_ms
):
    assert round(load_report_period_s(peers) * 1000) == period_ms


def test_a_pass_without_capacity_looks_at_one_task_of_each_kind(monkeypatch):
    """Replays a backlog of 5,000 tasks in which no back end has capacity.

    A pass follows each answer of a back end.  When it costs time per waiting
    task, a backlog delays the answers that would reduce it.
    """
    looks = []
    original = WaitingTask.can_be_on_time

    def count_look(entry, now):
        looks.append(entry)
        return original(entry, now)

    monkeypatch.setattr(WaitingTask, 'can_be_on_time', count_look)
    waiting = WaitingTasks()
    for number in range(5000):
        cpu = 14_000 + 1000 * (number % 3)
        job = make_job(f'j{number}', cpu=cpu)
        waiting.add(TaskKey(job.job_id, 0, 0), job, 5.0 + number, 0.1)
    assert place_in_order(waiting, 0.0, max_placed=0) == []
    assert len(looks) <= 3
    assert len(waiting) == 5000


def test_a_service_without_capacity_does_not_block_another_service():
    waiting = WaitingTasks()
    for name, service in (('first', 's'), ('second', 't')):
        job = make_job(name)._replace(service=service)
        waiting.add(TaskKey(name, 0, 0), job, 1.0, 0.1)
    placed = []

    def try_place(entry):
        if entry.job.service == 's':
            return False
        placed.append(entry.task.job_id)
        return True

    waiting.place(try_place, 0.0)
    assert placed == ['second']


def test_tasks_of_two_kinds_start_in_the_order_of_their_due_times():
    waiting = WaitingTasks()
    for name, due_s, cpu in (('c', 3.0, 1), ('a', 1.0, 2), ('b', 2.0, 1)):
        waiting.add(TaskKey(name, 0, 0), make_job(name, cpu=cpu), due_s, 0.1)
    waiting.discard(TaskKey('b', 0, 0))
    fill(waiting, [('d', 2.5, 0.1)])
    assert place_in_order(waiting, 0.0) == ['a', 'd', 'c']


def test_a_cell_that_missed_a_report_is_used_only_if_no_other_can_run_a_task():
    """Guards against tasks that run for nobody behind a partition."""
    assert prefer_fresh({'x': 0.1, 'y': 0.6}) == ['x']
    assert prefer_fresh({'x': 1.0, 'y': 0.6}) == ['y']
    assert not prefer_fresh({'x': 1.0})


def test_jobs_that_a_silent_owner_leaves_no_time_for_end_at_once():
    """Guards against capacity for jobs that lost a task behind a partition."""
    jobs = make_jobs(load('y'))
    jobs.submit(make_job('a' * 16), now=1.0)
    jobs.submit(make_job('b' * 16, estimate_ms=2000), now=1.0)
    effects = jobs.withdraw_lost('y', now=1.9)
    assert TransientJobEnded in {type(effect) for effect in effects}
    assert 'a' * 16 not in jobs
    assert 'b' * 16 in jobs
