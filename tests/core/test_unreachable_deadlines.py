"""Tests that tasks without a chance to end while they are of use are returned."""

import pytest

from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.latest_starts import LatestStarts
from camphorlink.internal.core.request.returned_tasks import ReturnReason
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

RUN_S = 0.2
#: Time that a run uses its place on a back end, until its end is known.
PLACE_S = 0.225
OBJECTIVE_S = 0.38
USEFUL_S = 3 * OBJECTIVE_S


def play_crest(load):
    """Plays 4 s of jobs of two tasks at a multiple of the cell's capacity.

    Returns the rig, the starts, and the submission time of each job.
    """
    backends = [
        SimulatedBackend(listed(f'i-{n}'), run_s=RUN_S) for n in range(2)
    ]
    rig = CellRig(backends)
    rig.run_for(0.1)
    submitted_s = {}
    for number in range(round(40 * load)):
        job = make_job(f'j{number:03}', 2, estimate_ms=RUN_S * 1000)
        submitted_s[job.job_id] = rig.now
        rig.submit(job, objective_s=OBJECTIVE_S, useful_s=USEFUL_S)
        rig.run_for(PLACE_S / 2 / load)
    rig.run_for(2.0)
    starts = [start for backend in backends for start in backend.starts]
    return rig, starts, submitted_s


@pytest.mark.parametrize('load', [1.1, 1.5])
def test_no_task_starts_that_ends_when_its_job_is_of_no_use(load):
    """Guards against serving callers that have left, at the crest of a load."""
    rig, starts, submitted_s = play_crest(load)
    late = [
        task
        for task, _, started_s in starts
        if started_s + RUN_S > submitted_s[task.job_id] + USEFUL_S + 0.02
    ]
    assert not late
    assert not rig.cell.waiting
    returned = {task for task, _, _ in rig.returned_tasks}
    if load > 1.2:
        assert returned
    assert returned.isdisjoint(task for task, _, _ in starts)
    assert {reason for _, reason, _ in rig.returned_tasks} <= {
        ReturnReason.OUT_OF_REACH,
        ReturnReason.EXPECTED_LATE,
    }


def test_below_the_capacity_nothing_is_returned():
    rig, starts, _ = play_crest(0.95)
    assert not rig.returned_tasks
    assert len(starts) == 76


def test_all_waiting_tasks_of_the_job_are_returned_and_its_run_goes_on():
    """Guards against returning a task that runs, which would run twice."""
    backend = SimulatedBackend(listed('i-1'), run_s=0.9)
    rig = CellRig([backend])
    rig.run_for(0.1)
    rig.submit(make_job(count=4, estimate_ms=900), useful_s=1.0)
    rig.run_for(0.2)
    assert sorted(task.number for task, _, _ in rig.returned_tasks) == [2, 3]
    assert len(backend.active) == 2
    rig.run_for(1.0)
    assert len(rig.done_tasks()) == 2


def test_a_faster_back_end_keeps_the_task_and_only_due_tasks_are_looked_at():
    """Guards against a scan of all waiting tasks in each pass."""
    looks = []
    latest = LatestStarts()
    for number in range(1000):
        latest.add(TaskKey('j', 0, number), 10.0 + number, 1.0)

    def shortest_run(task, now):
        looks.append(task)
        return 0.6

    assert latest.pop_unreachable(shortest_run, 9.3) == []
    assert latest.pop_unreachable(shortest_run, 9.39) == []
    assert latest.pop_unreachable(shortest_run, 9.42) == [TaskKey('j', 0, 0)]
    assert len(looks) <= 4
