"""Tests that no job fails by crashes that may still be retracted.

A back end that refuses connections may run on; whether it crashed is certain only
when it answers again, or a later incarnation of it is known.
"""

import pytest

from camphorlink.internal.core.process.crash_monitor import VERDICT_WAIT_S
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.crash_assessment import (
    Assessment,
    CrashKind,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    BackendCrashed,
    JobAccepted,
)
from simulated_backends import (
    REPORT_PERIOD_S,
    CellRig,
    SimulatedBackend,
    listed,
    make_job,
    play,
)

JOB = 'a' * 16
TASK = TaskKey(JOB, 0, 0)
WORK_S = 0.9
#: Time from the start of a run until its back end is cut off, in seconds.
DELAY_S = 0.3
CUT_S = 5.5
FOR_GOOD_S = 1000.0


def make_site(count=6):
    backends = [
        SimulatedBackend(listed(f'i-{n}'), WORK_S) for n in range(count)
    ]
    rig = CellRig(backends)
    rig.run_for(0.1)
    return rig, backends


def accept(rig, **fields):
    job = make_job(JOB, estimate_ms=int(WORK_S * 1000), **fields)
    rig.store(JobAccepted(job, (('z',),)))


def cut_under_task(rig, backends, cut_s=CUT_S):
    """Lets the back end that runs the task next refuse connections."""
    deadline_s = rig.now + 3
    while rig.now < deadline_s:
        rig.run_for(0.02)
        for backend in backends:
            if TASK in backend.active and not backend.is_down(rig.now):
                rig.run_for(DELAY_S)
                backend.down_until_s = rig.now + cut_s
                return backend
    raise AssertionError('the task does not start')


@pytest.mark.parametrize('count', [1, 4])
@pytest.mark.parametrize('is_taken_over', [False, True])
def test_back_ends_that_refuse_connections_and_run_on_fail_a_stored_job(
    count, is_taken_over
):
    rig, backends = make_site()
    accept(rig, count=count)
    cut_under_task(rig, backends)
    cut_under_task(rig, backends)
    rig.run_for(0.5)
    assert not rig.table.ended_by_id
    if is_taken_over:
        rig.take_over('m#2')
    play(rig, CUT_S + 3)
    assert rig.table.ended_by_id[JOB].state is JobState.COMPLETED
    assert not rig.table.crashes.uncertain()
    assert rig.table.crashes.assess(TASK) is Assessment.CLEAR


def test_back_ends_that_refuse_connections_and_run_on_fail_a_transient_job():
    rig, backends = make_site()
    rig.submit(make_job(JOB, estimate_ms=int(WORK_S * 1000)))
    cut_under_task(rig, backends)
    cut_under_task(rig, backends)
    play(rig, CUT_S + 3)
    assert [report.is_done for report in rig.reports] == [True]


def test_back_ends_that_crash_long_after_they_were_cut_off_fail_a_job():
    rig, backends = make_site()
    accept(rig)
    cut_off = [
        cut_under_task(rig, backends, FOR_GOOD_S),
        cut_under_task(rig, backends, FOR_GOOD_S),
    ]
    # Each of them reports once more, and its run ends.
    play(rig, 2.5)
    for backend in cut_off:
        assert not backend.active
        backend.restart_s = 1.0
        backend.crash(rig.now)
    play(rig, 5)
    assert rig.table.ended_by_id[JOB].state is JobState.COMPLETED
    assert not rig.table.crashes.records


def test_report_from_before_the_refusal_retracts_a_crash():
    rig, backends = make_site()
    # The last report before the crash is read after it.
    rig.run_for(REPORT_PERIOD_S - DELAY_S)
    accept(rig)
    rig.run_for(DELAY_S)
    (running,) = [backend for backend in backends if backend.active]
    running.crash(rig.now)
    play(rig, 1)
    (crash,) = rig.table.crashes.uncertain()
    assert crash.backend_id == running.listed.backend_id


def test_third_back_end_is_risked_before_the_crashes_are_certain():
    rig, backends = make_site()
    accept(rig)
    cut_under_task(rig, backends, FOR_GOOD_S)
    cut_under_task(rig, backends, FOR_GOOD_S)
    starts = sum(len(backend.starts) for backend in backends)
    rig.run_for(VERDICT_WAIT_S - 0.5)
    assert sum(len(backend.starts) for backend in backends) == starts


def test_task_waits_for_good_when_its_back_ends_are_lost():
    rig, backends = make_site()
    accept(rig)
    cut_under_task(rig, backends, FOR_GOOD_S)
    cut_under_task(rig, backends, FOR_GOOD_S)
    rig.run_for(VERDICT_WAIT_S + WORK_S + 1)
    assert rig.table.ended_by_id[JOB].state is JobState.COMPLETED


def test_task_that_crashes_back_ends_for_good_is_restarted_without_end():
    rig, backends = make_site(8)
    for backend in backends:
        backend.crashing_jobs.add(JOB)
        backend.restart_s = FOR_GOOD_S
    accept(rig)
    rig.run_for(60)
    starts_s = sorted(entry[2] for b in backends for entry in b.starts)
    assert len(starts_s) == 5
    for number, wait_s in enumerate((1, 2, 4), 2):
        pause_s = starts_s[number] - starts_s[number - 1]
        assert pause_s > wait_s * VERDICT_WAIT_S


@pytest.mark.parametrize('is_taken_over', [False, True])
def test_crashes_that_become_certain_are_not_counted(is_taken_over):
    rig, backends = make_site()
    for backend in backends:
        backend.crashing_jobs.add(JOB)
    accept(rig)
    rig.run_for(2)
    assert JOB in rig.table.live_by_id
    assert len(rig.table.crashes.uncertain()) == 2
    if is_taken_over:
        rig.take_over('m#2')
    play(rig, 4)
    assert rig.table.ended_by_id[JOB].state is JobState.FAILED
    assert sum(len(backend.crashes) for backend in backends) == 2


def test_crash_known_from_the_log_stays_uncertain_under_a_later_owner():
    rig, _ = make_site()
    rig.table.crashes.record(
        BackendCrashed('i-0', 0, (TASK,), CrashKind.OBSERVED)
    )
    rig.list_backends()
    assert not rig.table.crashes.uncertain()
    assert rig.table.crashes.assess(TASK) is Assessment.SUSPECTED
