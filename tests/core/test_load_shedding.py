"""Tests that an overloaded cell gives back what would be late."""

from collections import Counter

import pytest

from camphorlink.internal.core.request.load_shedding import (
    LateShare,
    Place,
    find_late_jobs,
)
from camphorlink.internal.core.request.returned_tasks import ReturnReason
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks
from simulated_backends import (
    CellRig,
    SimulatedBackend,
    listed,
    make_job,
    task_keys,
)

RUN_S = 0.2
OBJECTIVE_S = 0.38
#: Places of the cell, and the time for which a run uses one, until its end is
#: known.
PLACES = 16
PLACE_S = 0.225
CAPACITY = PLACES / PLACE_S


def play_burst(load, duration_s=4.0):
    """Plays jobs of two tasks; returns the rig and the submission times."""
    backends = [
        SimulatedBackend(listed(f'i-{n}'), run_s=RUN_S) for n in range(8)
    ]
    rig = CellRig(backends)
    rig.run_for(0.1)
    submitted_s = {}
    next_s = rig.now
    for number in range(round(load * CAPACITY / 2 * duration_s)):
        job = make_job(f'j{number:04}', 2, estimate_ms=RUN_S * 1000)
        submitted_s[job.job_id] = rig.now
        rig.submit(job, objective_s=OBJECTIVE_S, useful_s=3 * OBJECTIVE_S)
        next_s += 2 / CAPACITY / load
        rig.run_for(max(next_s - rig.now, 0))
    rig.run_for(2.0)
    return rig, submitted_s


def ends_in_time(rig, submitted_s):
    """Returns the jobs whose tasks have all started early enough."""
    in_time = Counter(
        task.job_id
        for backend in rig.backend_by_id.values()
        for task, _, started_s in backend.starts
        if started_s + RUN_S <= submitted_s[task.job_id] + OBJECTIVE_S
    )
    return [job_id for job_id, count in in_time.items() if count == 2]


@pytest.mark.parametrize('load', [2, 3, 5])
def test_goodput_does_not_fall_as_load_rises(load):
    """Half of the jobs that a full cell could serve in time were late."""
    rig, submitted_s = play_burst(load)
    served = len(ends_in_time(rig, submitted_s))
    assert served >= 0.9 * CAPACITY / 2 * 4
    started = {
        task
        for backend in rig.backend_by_id.values()
        for task, _, _ in backend.starts
    }
    late = [
        (task, returned_s)
        for task, reason, returned_s in rig.returned_tasks
        if reason is ReturnReason.EXPECTED_LATE
    ]
    assert started.isdisjoint(task for task, _ in late)
    # Refused at once, not when the deadline has passed.
    held_s = sorted(
        returned_s - submitted_s[task.job_id] for task, returned_s in late
    )
    assert held_s[len(held_s) * 9 // 10] < 0.05


def test_a_load_that_fits_is_not_shed():
    rig, _ = play_burst(0.9)
    assert not rig.returned_tasks


def waiting_jobs(*rows):
    """Returns waiting tasks; rows have a priority, width, work and due time."""
    waiting = WaitingTasks()
    for number, (priority, width, work_s, due_s) in enumerate(rows):
        job = make_job(f'j{number}', width, 8000, priority=priority)
        for task in task_keys(job, 0):
            waiting.add(task, job, due_s, work_s)
    return waiting


def find_late(rows, places, may_shed=lambda job_id: True):
    return find_late_jobs(waiting_jobs(*rows), places, 1.0, may_shed, 0.0)


def test_a_job_that_is_given_back_leaves_its_capacity_to_the_next():
    rows = [(0, 1, 0.2, 0.38), (0, 1, 0.9, 0.95), (0, 1, 0.3, 0.96)]
    places = [Place(0.1, 8000)]
    assert find_late(rows, places) == ['j1']


def test_the_work_of_a_job_that_must_stay_delays_the_others():
    rows = [(0, 1, 0.9, 0.95), (0, 1, 0.3, 0.96)]
    places = [Place(0.1, 8000)]
    assert find_late(rows, places, lambda job_id: job_id == 'j1') == ['j1']


def test_a_job_is_late_when_its_last_task_is():
    rows = [(0, 3, 0.2, 0.38)]
    assert not find_late(rows, [Place(0.1, 8000)] * 3)
    assert find_late(rows, [Place(0.1, 8000)] * 2) == ['j0']


def test_a_large_free_back_end_has_room_for_several_tasks():
    """Otherwise jobs were given back while back ends were half empty."""
    rows = [(0, 4, 0.2, 0.38), (0, 1, 0.2, 0.38)]
    assert find_late(rows, [Place(0.0, 34_000)]) == ['j1']
    assert not find_late(rows, [Place(0.0, 40_000)])


def test_lower_priorities_keep_their_part_of_a_full_cell():
    """Otherwise a burst of urgent jobs makes all others late."""
    urgent = [(0, 1, 0.1, 0.55)] * 10
    low = [(1, 1, 0.1, 0.4)] * 10
    late = find_late(urgent + low, [Place(0.0, 8000)] * 2)
    kept = {f'j{n}' for n in range(20)} - set(late)
    assert sum(int(job_id[1:]) >= 10 for job_id in kept) >= 1
    assert sum(int(job_id[1:]) < 10 for job_id in kept) >= 8


def test_a_task_without_any_place_is_late():
    assert find_late([(0, 1, 0.2, 9.0)], []) == ['j0']


def test_one_late_job_is_no_overload_and_a_burst_is_for_a_while_only():
    share = LateShare()
    share.record(8, 8, 0.0)
    assert not share.is_overload
    for step in range(1, 6):
        share.record(8, 5, step * 0.1)
    assert share.is_overload
    for step in range(6, 26):
        share.record(8, 0, step * 0.1)
    assert not share.is_overload
