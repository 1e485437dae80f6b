"""Tests that returned tasks neither run twice, nor get lost, nor lie."""

import pytest

from camphorlink.errors import PeerMessageError
from camphorlink.internal.core.connection.node_message_codec import (
    decode_stamped,
    encode_stamped,
)
from camphorlink.internal.core.connection.node_messages import (
    RunTasks,
    Stamp,
    TasksReturned,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    CellSelector,
    FreeCapacity,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_planner import JobPlanner
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)
from camphorlink.internal.core.request.transient_jobs import (
    WITHDRAWAL_TIMEOUT_S,
    AssignTasks,
    DropJob,
    JobRefused,
    TransientJobEnded,
    TransientJobs,
)
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

JOB = 'a' * 16
FIRST, SECOND, THIRD = (TaskKey(JOB, 0, number) for number in range(3))
DRAINED = ReturnReason.ZONE_DRAINED
OVERLOADED = ReturnReason.CELL_OVERLOADED
STAMP = Stamp(1.0, 2.0)


def make_jobs(**free_by_cell):
    """Returns the jobs of a coordinator, and the cells in its reach."""
    selector = CellSelector('y')
    for cell, free in free_by_cell.items():
        capacities = (FreeCapacity(1.0, free),) if free else ()
        selector.record_load(
            CellLoad(cell, 's', 1, capacities, 0, 0, 32_000, 32_000)
        )
    cells = list(free_by_cell)
    planner = JobPlanner(selector, RunSpeeds(), lambda service, step: cells)
    return TransientJobs(planner), cells


def returned_of(assignment, has_begun=False):
    return [
        ReturnedTask(task, assignment.number, has_begun)
        for task in assignment.tasks
    ]


def make_rig(count):
    """Returns a cell with room for two tasks, to which a job was assigned."""
    backend = SimulatedBackend(listed(), run_s=9.0)
    rig = CellRig([backend])
    rig.run_for(0.1)
    rig.submit(make_job(count=count, estimate_ms=9000))
    return rig, backend


def give_back(rig, *tasks, reason=DRAINED):
    rig.returned.clear()
    rig.cell.assignments.return_tasks(tasks, reason)
    rig.execute_effects()
    return [entry for effect in rig.returned for entry in effect.tasks]


# Messages.


@pytest.mark.parametrize('reason', ReturnReason)
def test_a_message_of_returned_tasks_is_decoded_as_it_was(reason):
    rows = (ReturnedTask(FIRST, 7), ReturnedTask(SECOND, 8, True, 'y'))
    message = TasksReturned('z', rows, reason)
    encoded = encode_stamped(message, STAMP)
    assert decode_stamped(encoded) == (message, STAMP)


def test_the_number_and_the_limits_of_an_assignment_are_transmitted():
    message = RunTasks(
        'c#1', 'z', make_job(), (FIRST,), 0.5, False, 9, 1.5, False
    )
    assert decode_stamped(encode_stamped(message, STAMP))[0] == message


@pytest.mark.parametrize(
    'fields',
    [
        ['z', [], 'bored'],
        ['z', [[JOB, 0, 0]], DRAINED.value],
        ['z', 3, DRAINED.value],
    ],
)
def test_a_faulty_message_of_returned_tasks_is_rejected(fields):
    with pytest.raises(PeerMessageError):
        decode_stamped([*STAMP, 'returned', *fields])


# Owners.


def test_only_queued_tasks_are_returned():
    """A run of a returned task would meet the run in its next cell."""
    rig, backend = make_rig(count=3)
    assert give_back(rig, FIRST, SECOND, THIRD) == [
        ReturnedTask(THIRD, 0, has_begun=True)
    ]
    rig.run_for(0.5)
    assert set(backend.active) == {FIRST, SECOND}


def test_a_task_that_may_have_an_unlisted_run_is_not_returned():
    rig = CellRig([SimulatedBackend(listed())])
    rig.submit(make_job(), may_have_run=True)
    assert not give_back(rig, FIRST)


def test_a_returned_task_is_forgotten_and_can_be_assigned_again():
    rig, backend = make_rig(count=3)
    give_back(rig, THIRD)
    backend.run_s = 0.1
    rig.cell.assignments.stop(DropJob('z', JOB), 'c#1', rig.now)
    rig.run_for(0.5)
    assert len(backend.starts) == 2
    rig.submit(make_job(count=3), tasks=[THIRD])
    rig.run_for(0.5)
    assert [report.task for report in rig.reports] == [THIRD]


@pytest.mark.parametrize('is_adopted', [False, True])
def test_a_task_whose_run_was_lost_is_returned_as_begun(is_adopted):
    """Its job must not be refused as one of which nothing has run."""
    rig, backend = make_rig(count=1)
    rig.run_for(0.1)
    if is_adopted:
        rig.take_over('m#2')
        rig.run_for(0.1)
        rig.submit(make_job(estimate_ms=9000), 'c#2')
    backend.is_silent = True
    rig.run_for(3.0)
    assert FIRST in rig.cell.waiting
    assert [entry.has_begun for entry in give_back(rig, FIRST)] == [True]


def test_the_number_of_a_replaced_coordinator_is_not_returned_to_the_next():
    """Both count from 1; the new one may just have sent an equal number."""
    rig, _ = make_rig(count=2)
    rig.submit(make_job('b' * 16, count=2), 'c#1')
    tasks = [TaskKey('b' * 16, 0, number) for number in range(2)]
    for number, coordinator, task in (5, 'c#1', tasks[1]), (9, 'c#2', tasks[0]):
        assignment = AssignTasks(
            'z', make_job('b' * 16, count=2), (task,), 1.0, False, number
        )
        rig.cell.assignments.accept(assignment, coordinator, rig.now)
    assert [entry.assignment for entry in give_back(rig, *tasks)] == [9, 0]


def test_each_task_of_a_job_keeps_its_own_permission_to_be_returned():
    rig, _ = make_rig(count=2)
    job = make_job('b' * 16, count=2)
    tasks = [TaskKey(job.job_id, 0, number) for number in range(2)]
    for number, task in enumerate(tasks):
        assignment = AssignTasks(
            'z', job, (task,), 1.0, False, number + 1, 1.0, not number
        )
        rig.cell.assignments.accept(assignment, 'c#1', rig.now)
    assert rig.cell.transient.get(job.job_id).movable_tasks == {tasks[0]}


# Coordinators.


def test_a_returned_task_moves_to_another_cell():
    jobs, _ = make_jobs(y=16_000, z=16_000)
    (first,) = jobs.submit(make_job(), 0.0, 1.5)
    (moved,) = jobs.take_back('y', returned_of(first), DRAINED, 0.1)
    assert (moved.cell, moved.tasks) == ('z', first.tasks)
    assert moved.number > first.number
    assert moved.objective_s == pytest.approx(first.objective_s - 0.1)
    assert moved.useful_s == pytest.approx(first.useful_s - 0.1)
    assert moved.may_return


def test_a_returned_task_moves_to_the_cell_that_its_owner_names():
    """Coordinators that choose from one report would choose the same cell."""
    jobs, _ = make_jobs(x=16_000, y=16_000, z=16_000)
    (first,) = jobs.submit(make_job())
    assert first.cell == 'y'
    (row,) = returned_of(first)
    (moved,) = jobs.take_back('y', [row._replace(target='z')], OVERLOADED, 0.1)
    assert moved.cell == 'z'


def test_a_return_that_crosses_a_repeated_assignment_changes_nothing():
    jobs, _ = make_jobs(y=16_000, z=16_000)
    (first,) = jobs.submit(make_job())
    (again,) = jobs.assign_to_new_owner('y')
    assert not jobs.take_back('y', returned_of(first), DRAINED, 0.1)
    assert jobs.take_back('y', returned_of(again), DRAINED, 0.1)


def test_a_return_of_a_former_owner_or_of_another_cell_changes_nothing():
    jobs, _ = make_jobs(y=16_000, z=16_000)
    (first,) = jobs.submit(make_job())
    assert not jobs.take_back('z', returned_of(first), DRAINED, 0.1)
    (moved,) = jobs.take_back('y', returned_of(first), DRAINED, 0.1)
    assert not jobs.take_back('y', returned_of(first), DRAINED, 0.1)
    assert not jobs.take_back('y', returned_of(moved), DRAINED, 0.1)
    jobs.drop(JOB)
    assert not jobs.take_back('z', returned_of(moved), DRAINED, 0.1)


def test_after_a_lost_return_the_next_session_assigns_the_task_again():
    jobs, _ = make_jobs(y=16_000, z=16_000)
    (first,) = jobs.submit(make_job())
    kept, again = jobs.list_open('y')
    assert kept.job_ids == (JOB,)
    assert again.tasks == first.tasks


def test_a_job_without_another_cell_is_refused_if_nothing_has_run():
    jobs, _ = make_jobs(y=32_000)
    (first,) = jobs.submit(make_job(count=2))
    (refused,) = jobs.take_back('y', returned_of(first), DRAINED, 0.1)
    assert isinstance(refused, JobRefused)
    assert refused.admission.retry_after_s >= 1.0
    assert JOB not in jobs


def test_a_job_of_several_steps_without_another_cell_is_refused():
    """What was planned for its first step was not assigned yet."""
    jobs, cells = make_jobs(y=32_000, z=32_000)
    (step,) = make_job().steps
    job = make_job(steps=(step, step._replace(label='only-y')))
    cells_for = {'': cells, 'only-y': ['y']}
    jobs._planner._cells_for = lambda service, step: cells_for[step.label]
    selector = jobs._planner._selector
    load = selector._load_by_cell['y', 's']
    labelled = load.free_capacities[0]._replace(labels=('only-y',))
    selector.record_load(load._replace(free_capacities=(labelled,)))
    assignments = jobs.submit(job)
    returned = [row for sent in assignments for row in returned_of(sent)]
    (refused,) = jobs.take_back('y', returned, DRAINED, 0.1)
    assert isinstance(refused, JobRefused)


def run_one(jobs, first):
    jobs.record_completion(first.tasks[0], True)


def replace_owner(jobs, first):
    return jobs.assign_to_new_owner('y')[0]


@pytest.mark.parametrize('event', [run_one, replace_owner])
def test_a_job_of_which_something_may_have_run_ends_as_unknown(event):
    jobs, _ = make_jobs(y=32_000)
    (first,) = jobs.submit(make_job(count=2))
    newest = event(jobs, first) or first
    (ended,) = jobs.take_back('y', returned_of(newest), DRAINED, 0.1)
    assert isinstance(ended, TransientJobEnded)
    assert ended.state is None


def withdraw_from_two_cells(reason=ReturnReason.OUT_OF_REACH):
    """Returns a job that one cell has returned, and the part of the other."""
    jobs, _ = make_jobs(y=8_000, z=8_000)
    first, second = jobs.submit(make_job(count=2, cpu=8_000))
    (drop,) = jobs.take_back(first.cell, returned_of(first), reason, 0.1)
    assert drop == DropJob(second.cell, JOB, must_return=True)
    return jobs, second


def test_a_withdrawn_job_is_refused_once_no_cell_has_begun_it():
    """Its caller was told that the outcome was unknown (504), though it was."""
    jobs, second = withdraw_from_two_cells()
    (refused,) = jobs.take_back(
        second.cell, returned_of(second), ReturnReason.WITHDRAWN, 0.1
    )
    assert isinstance(refused, JobRefused)
    assert JOB not in jobs


def return_begun(jobs, second):
    rows = returned_of(second, has_begun=True)
    return jobs.take_back(second.cell, rows, ReturnReason.WITHDRAWN, 0.1)


def complete(jobs, second):
    return jobs.record_completion(second.tasks[0], True)


def change_owner(jobs, second):
    return jobs.assign_to_new_owner(second.cell)


def lose_owner(jobs, second):
    return jobs.withdraw_lost(second.cell, 0.1)


def move_away(jobs, second):
    return jobs.move_tasks(second.cell)


def wait_in_vain(jobs, second):
    assert not jobs.end_unanswered(0.2)
    return jobs.end_unanswered(0.1 + WITHDRAWAL_TIMEOUT_S + 0.01)


@pytest.mark.parametrize(
    'event',
    [
        return_begun,
        complete,
        change_owner,
        lose_owner,
        move_away,
        wait_in_vain,
    ],
)
def test_a_withdrawn_job_that_may_have_run_elsewhere_ends_as_unknown(event):
    jobs, second = withdraw_from_two_cells()
    *_, ended = event(jobs, second)
    assert isinstance(ended, TransientJobEnded)
    assert ended.state is None
    assert JOB not in jobs


@pytest.mark.parametrize('count', [2, 3])
def test_a_cell_tells_whether_a_dropped_job_has_begun(count):
    """Guards against a refusal of a job of which a task runs."""
    rig, backend = make_rig(2)
    rig.submit(make_job('b' * 16, count=count, estimate_ms=9000))
    rig.cell.assignments.stop(DropJob('z', 'b' * 16, True), 'c#1', rig.now)
    rig.execute_effects()
    (waiting,) = rig.returned
    assert not any(row.has_begun for row in waiting.tasks)
    assert len(waiting.tasks) == count
    rig.returned.clear()
    rig.cell.assignments.stop(DropJob('z', JOB, True), 'c#1', rig.now)
    rig.run_for(0.2)
    (begun,) = rig.returned
    assert all(row.has_begun for row in begun.tasks)
    assert not backend.active


def test_a_job_with_a_task_that_was_returned_as_begun_ends_as_unknown():
    jobs, _ = make_jobs(y=32_000)
    (first,) = jobs.submit(make_job())
    returned = returned_of(first, has_begun=True)
    (ended,) = jobs.take_back('y', returned, DRAINED, 0.1)
    assert ended == TransientJobEnded(JOB, None, ended.objective_s)


def test_a_job_out_of_reach_ends_although_another_cell_has_room():
    jobs, _ = make_jobs(y=16_000, z=32_000)
    (first,) = jobs.submit(make_job())
    returned = returned_of(first)
    (refused,) = jobs.take_back('y', returned, ReturnReason.OUT_OF_REACH, 0.1)
    assert isinstance(refused, JobRefused)


def test_a_task_is_returned_because_of_load_at_most_once():
    """Repeated assignments and later moves must not allow it again."""
    jobs, _ = make_jobs(y=16_000, z=16_000)
    (first,) = jobs.submit(make_job())
    (moved,) = jobs.take_back('y', returned_of(first), OVERLOADED, 0.1)
    (again,) = jobs.assign_to_new_owner('z')
    (elsewhere,) = jobs.move_tasks('z')
    assert [sent.may_return for sent in (first, moved, again, elsewhere)] == [
        True,
        False,
        False,
        False,
    ]


def test_a_task_of_an_overloaded_cell_stays_if_no_other_can_end_it_in_time():
    jobs, _ = make_jobs(y=16_000)
    (first,) = jobs.submit(make_job())
    (again,) = jobs.take_back('y', returned_of(first), OVERLOADED, 0.1)
    assert (again.cell, again.tasks) == ('y', first.tasks)
    assert not again.may_return
