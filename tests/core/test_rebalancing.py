"""Tests of the choice of tasks that an overloaded cell returns."""

import itertools

import pytest

from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    FreeCapacity,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.rebalancing import (
    MAX_CONSIDERED,
    CellQueue,
    Rebalancer,
    ReportedLoad,
)
from camphorlink.internal.core.request.returned_tasks import ReturnReason
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

NOW = 100.0
WORK_S = 0.2
#: Time from now to the due time of each job: two of its tasks fit in it in a row.
OBJECTIVE_S = 0.38
CPU = 14_000
#: Room for two tasks, as the runs of the cell leave none.
OWN_CPU = 2 * CPU


def load(cell, free=(), wait_s=0.0, cpu=2 * CPU, labels=()):
    capacities = tuple(
        FreeCapacity(1.0, cpu_milli, labels) for cpu_milli in free
    )
    return CellLoad(cell, 's', 1, capacities, wait_s, 0.0, cpu, cpu)


def reported(*loads, received_s=NOW):
    return [ReportedLoad(entry, received_s) for entry in loads]


def make_queue(count, cell='z', run_ends=((NOW + 0.1, CPU),) * 2, cpu=OWN_CPU):
    waiting = WaitingTasks()
    for number in range(count):
        job = make_job(f'j{number:03}')
        due_s = NOW + OBJECTIVE_S + number / 1000
        waiting.add(TaskKey(job.job_id, 0, 0), job, due_s, WORK_S)
    own = load(cell, cpu=cpu)
    return CellQueue(own, list(waiting), lambda entry: True, run_ends)


def names(tasks):
    return [task.job_id for task in tasks]


def choose(queue, *others):
    return names(Rebalancer().choose(queue, reported(*others), NOW))


def test_tasks_that_can_start_here_in_time_stay():
    assert not choose(make_queue(2), load('y', [64_000]))


def test_only_the_tasks_that_would_be_late_here_are_returned():
    """Many coordinators have reserved the same capacity from one report."""
    assert choose(make_queue(4), load('y', [64_000])) == ['j002', 'j003']


def test_after_a_loss_of_back_ends_the_tasks_in_excess_are_returned():
    """One of two runs is on a lost back end, and half of the capacity is left."""
    queue = make_queue(2, run_ends=((NOW + 0.1, CPU),), cpu=CPU)
    assert choose(queue, load('y', [64_000])) == ['j001']


def test_a_cell_without_usable_back_ends_returns_its_tasks():
    queue = make_queue(2, run_ends=(), cpu=0)
    assert choose(queue, load('y', [64_000])) == ['j000', 'j001']


@pytest.mark.parametrize('free', [[], [13_000] * 8])
def test_free_capacity_in_which_no_task_fits_attracts_none(free):
    assert not choose(make_queue(9), load('y', free))


def test_no_more_tasks_are_returned_than_fit():
    assert len(choose(make_queue(9), load('y', [30_000, 15_000]))) == 3


def test_a_task_without_permission_stays():
    queue = make_queue(4)._replace(
        is_movable=lambda entry: entry.task.job_id != 'j002'
    )
    assert choose(queue, load('y', [64_000])) == ['j003']


def test_a_task_that_would_end_later_elsewhere_stays():
    slow = load('y')._replace(free_capacities=(FreeCapacity(0.2, 64_000),))
    assert not choose(make_queue(4), slow)


def test_owners_that_see_the_same_capacity_use_different_back_ends():
    """Else all return tasks to it at once, which then wait there."""
    free = load('w', [CPU] * 7)
    waiting = {cell: load(cell, wait_s=1.0) for cell in 'xyz'}
    returned = [
        len(
            choose(
                make_queue(20, cell),
                free,
                *(waiting[other] for other in 'xyz' if other != cell),
            )
        )
        for cell in 'xyz'
    ]
    assert sum(returned) == 7
    assert max(returned) <= 3


def test_a_report_is_used_once():
    rebalancer = Rebalancer()
    queue = make_queue(9)
    first, again, renewed = (
        names(
            rebalancer.choose(
                queue, reported(load('y', [CPU]), received_s=received_s), now
            )
        )
        for received_s, now in (
            (NOW, NOW),
            (NOW + 0.005, NOW + 0.02),
            (NOW + 0.02, NOW + 0.02),
        )
    )
    assert (len(first), len(again), len(renewed)) == (1, 0, 1)


def test_a_long_queue_is_not_looked_at_as_a_whole():
    """A decision follows each load report; its cost must not grow with a burst."""
    looks = itertools.count()
    queue = make_queue(3 * MAX_CONSIDERED)._replace(
        is_movable=lambda entry: next(looks) < 0
    )
    assert not choose(queue, load('y', [64_000]))
    assert next(looks) <= MAX_CONSIDERED


def test_a_cell_returns_tasks_once_and_keeps_those_that_failed():
    rig = CellRig([SimulatedBackend(listed(), run_s=9.0)])
    rig.run_for(0.1)
    rig.submit(make_job(estimate_ms=9000, count=2))
    rig.submit(make_job('b' * 16, count=3, estimate_ms=2000))
    tasks = [TaskKey('b' * 16, 0, number) for number in range(3)]
    known = rig.cell.transient.get('b' * 16)
    known.live.failed_runs_by_task[tasks[0]] = {1}
    known.movable_tasks.discard(tasks[1])
    rig.cell.assignments.record_loads(
        reported(load('z'), load('y', [64_000]), received_s=rig.now)
    )
    rig.run_for(0.1)
    (effect,) = rig.returned
    assert effect.reason is ReturnReason.CELL_OVERLOADED
    assert [(entry.task, entry.target) for entry in effect.tasks] == [
        (tasks[2], 'y')
    ]
