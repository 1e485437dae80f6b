"""Tests that a task that crashes its back ends is given up, and no other is."""

from camphorlink.internal.core.request.durable_job import TaskKey
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

#: Starts of one task after three back ends have crashed under it that the
#: platform counts as a fault.
FORBIDDEN_STARTS = 3
CRASHES_COUNTED = 3
CRASHING_JOB = 'c' * 16
NEIGHBOUR_JOB = 'a' * 16


def make_site(count=4, crashing_jobs=(CRASHING_JOB,), **fields):
    """Returns a rig with back ends that some jobs crash, and the back ends."""
    backends = [
        SimulatedBackend(listed(f'i-{n}', **fields)) for n in range(count)
    ]
    for backend in backends:
        backend.crashing_jobs.update(crashing_jobs)
    rig = CellRig(backends)
    rig.run_for(0.1)
    return rig, backends


def play(rig, duration_s):
    """Runs a rig; the platform lists each new incarnation within 0.5 s."""
    end_s = rig.now + duration_s
    while rig.now < end_s:
        rig.run_for(0.5)
        rig.list_backends()


def starts_of_job(backends, job_id):
    return sorted(
        start_s
        for backend in backends
        for task, _, start_s in backend.starts
        if task.job_id == job_id
    )


def check_starts(backends, job_id):
    """Checks the number of starts after the third crash under a job."""
    crash_times = sorted(
        crash_s
        for backend in backends
        for crash_s, tasks in backend.crashes
        if TaskKey(job_id, 0, 0) in tasks
    )
    if len(crash_times) < CRASHES_COUNTED:
        return
    third_s = crash_times[CRASHES_COUNTED - 1]
    later = [s for s in starts_of_job(backends, job_id) if s > third_s]
    assert len(later) < FORBIDDEN_STARTS, later


def test_task_that_crashes_its_back_ends_is_restarted_without_end():
    rig, backends = make_site()
    rig.submit(make_job(CRASHING_JOB))
    play(rig, 12)
    check_starts(backends, CRASHING_JOB)
    assert [report.is_done for report in rig.reports] == [False]
