"""Tests that a task that crashes its back ends is given up, and no other is."""

from camphorlink.internal.core.process.cell_effects import AppendRecord
from camphorlink.internal.core.process.job_snapshot import (
    encode_snapshot,
    read_snapshot,
)
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.crash_assessment import (
    Assessment,
    CrashKind,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    BackendCrashed,
    BackendSurvived,
    JobAccepted,
)
from simulated_backends import (
    CellRig,
    SimulatedBackend,
    listed,
    make_job,
    play,
)

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


def start_pair(rig, backends):
    """Starts a crashing job and an innocent one on the same back end."""
    rig.submit(make_job(NEIGHBOUR_JOB, estimate_ms=400))
    rig.submit(make_job(CRASHING_JOB))
    (shared,) = [backend for backend in backends if backend.active]
    assert len(shared.active) == 2
    return shared


def slow(backends):
    for backend in backends:
        backend.run_s = 0.4


def test_neighbour_of_a_crashing_task_is_given_up():
    rig, backends = make_site()
    slow(backends)
    start_pair(rig, backends)
    play(rig, 12)
    outcomes = {report.task.job_id: report.is_done for report in rig.reports}
    assert outcomes == {NEIGHBOUR_JOB: True, CRASHING_JOB: False}
    check_starts(backends, CRASHING_JOB)


def test_second_crash_of_a_task_takes_neighbours_along():
    rig, backends = make_site(count=2)
    slow(backends)
    rig.submit(make_job(CRASHING_JOB))
    for number in range(40):
        rig.submit(make_job(f'{number:016x}'))
        rig.run_for(0.1)
        rig.list_backends()
    crashes = sorted(crash for backend in backends for crash in backend.crashes)
    assert len(crashes) == 2
    assert crashes[1][1] == [TaskKey(CRASHING_JOB, 0, 0)]


def test_suspects_crash_a_cell_s_back_ends_all_at_once():
    jobs = [f'{number:016x}' for number in range(6)]
    rig, backends = make_site(count=8, crashing_jobs=jobs)
    for job_id in jobs:
        rig.submit(make_job(job_id))
        rig.run_for(0.1)
    first_s = rig.now
    rig.run_for(3)
    later = [
        crash_s
        for backend in backends
        for crash_s, _ in backend.crashes
        if crash_s > first_s
    ]
    assert len(later) == 1


def test_task_waits_for_a_back_end_that_is_never_empty():
    rig, backends = make_site(count=1, crashing_jobs=())
    slow(backends)
    rig.submit(make_job(NEIGHBOUR_JOB))
    rig.run_for(0.1)
    backends[0].crash(rig.now)
    play(rig, 5)
    for number in range(30):
        rig.submit(make_job(f'{number:016x}', count=2))
        rig.run_for(0.1)
    done = [report.task.job_id for report in rig.reports]
    assert NEIGHBOUR_JOB in done


def test_silent_back_end_that_answers_again_is_counted_as_crashed():
    rig, backends = make_site(crashing_jobs=())
    slow(backends)
    rig.submit(make_job(NEIGHBOUR_JOB))
    rig.run_for(0.1)
    (running,) = [backend for backend in backends if backend.active]
    running.down_until_s = rig.now + 2
    play(rig, 6)
    task = TaskKey(NEIGHBOUR_JOB, 0, 0)
    assert rig.cell.commander.crashes.assess(task) is Assessment.CLEAR
    assert rig.table.crashes.assess(task) is Assessment.CLEAR
    assert rig.done_tasks() == [task]


def test_later_owner_does_not_retract_a_crash_of_an_earlier_one():
    rig, backends = make_site(crashing_jobs=())
    slow(backends)
    rig.submit(make_job(NEIGHBOUR_JOB))
    rig.run_for(0.1)
    (running,) = [backend for backend in backends if backend.active]
    running.down_until_s = rig.now + 2
    rig.run_for(0.5)
    task = TaskKey(NEIGHBOUR_JOB, 0, 0)
    assert rig.table.crashes.assess(task) is Assessment.SUSPECTED
    rig.take_over('m#2')
    play(rig, 4)
    assert rig.table.crashes.assess(task) is Assessment.CLEAR


def test_retraction_is_repeated_with_each_answer_until_it_is_stored():
    rig, _ = make_site(crashing_jobs=())
    runs = next(iter(rig.cell.registry.runs_by_backend.values()))
    task = TaskKey(NEIGHBOUR_JOB, 0, 0)
    rig.table.crashes.record(
        BackendCrashed('i-0', 1, (task,), CrashKind.OBSERVED)
    )
    monitor = rig.cell.commander.crashes
    assert monitor.assess(task) is Assessment.SUSPECTED
    for _ in range(2):
        monitor.record_answer(runs)
    records = [
        effect.record
        for effect in rig.cell.take_effects()
        if isinstance(effect, AppendRecord)
    ]
    assert records == [BackendSurvived('i-0', 1)]
    assert monitor.assess(task) is Assessment.CLEAR


def test_crash_of_a_silent_machine_is_not_counted():
    rig, backends = make_site()
    for backend in backends:
        backend.is_dark = True
    rig.submit(make_job(CRASHING_JOB))
    play(rig, 20)
    check_starts(backends, CRASHING_JOB)
    assert [report.is_done for report in rig.reports] == [False]


def test_crash_of_a_whole_cell_accuses_its_tasks():
    rig, backends = make_site(crashing_jobs=())
    slow(backends)
    rig.submit(make_job(count=6))
    rig.run_for(0.1)
    for backend in backends:
        backend.crash(rig.now)
    rig.run_for(2)
    assessments = {
        rig.cell.commander.crashes.assess(TaskKey(NEIGHBOUR_JOB, 0, number))
        for number in range(6)
    }
    assert assessments == {Assessment.CLEAR}


def test_end_of_a_draining_back_end_accuses_its_tasks():
    rig, backends = make_site(crashing_jobs=())
    slow(backends)
    rig.submit(make_job(NEIGHBOUR_JOB))
    rig.run_for(0.1)
    (running,) = [backend for backend in backends if backend.active]
    running.listed = running.listed._replace(is_draining=True)
    rig.list_backends()
    running.crash(rig.now)
    rig.run_for(2)
    task = TaskKey(NEIGHBOUR_JOB, 0, 0)
    assert rig.cell.commander.crashes.assess(task) is Assessment.CLEAR
    assert rig.done_tasks() == [task]


def test_crash_during_a_change_of_the_owner_is_not_counted():
    rig, backends = make_site()
    rig.submit(make_job(CRASHING_JOB))
    rig.run_for(0.05)
    rig.take_over('m#2')
    rig.submit(make_job(CRASHING_JOB), may_have_run=True)
    play(rig, 15)
    assert len(starts_of_job(backends, CRASHING_JOB)) == 3
    check_starts(backends, CRASHING_JOB)
    assert [report.is_done for report in rig.reports] == [False]


def test_durable_job_that_crashes_its_back_ends_never_ends():
    rig, backends = make_site()
    rig.store(JobAccepted(make_job(CRASHING_JOB), (('z',),)))
    play(rig, 12)
    ended = rig.table.ended_by_id[CRASHING_JOB]
    assert ended.state is JobState.FAILED
    assert len(starts_of_job(backends, CRASHING_JOB)) == 2


def test_crashes_are_missing_from_a_snapshot():
    rig, _ = make_site()
    rig.submit(make_job(CRASHING_JOB))
    play(rig, 12)
    chunks = encode_snapshot(rig.table, 1 << 20)
    restored = read_snapshot([('m', chunk) for chunk in chunks])
    task = TaskKey(CRASHING_JOB, 0, 0)
    assert restored.crashes.assess(task) is Assessment.GIVEN_UP


def test_given_up_task_runs_again_when_its_job_is_sent_again():
    rig, backends = make_site()
    rig.submit(make_job(CRASHING_JOB))
    play(rig, 12)
    starts = starts_of_job(backends, CRASHING_JOB)
    rig.cell.transient._ended.clear()
    rig.submit(make_job(CRASHING_JOB), coordinator='c#2')
    assert [report.coordinator for report in rig.reports] == ['c#1', 'c#2']
    play(rig, 5)
    assert starts_of_job(backends, CRASHING_JOB) == starts


def test_list_of_back_ends_is_not_read_after_a_restart():
    rig, backends = make_site(crashing_jobs=())
    backends[0].crash(rig.now)
    rig.run_for(2.9)
    assert not rig.outdated_lists
    rig.run_for(0.3)
    assert rig.outdated_lists


def test_first_of_two_runs_that_started_at_once_is_suspected():
    rig, backends = make_site()
    slow(backends)
    start_pair(rig, backends)
    rig.run_for(0.5)
    assess = rig.cell.commander.crashes.assess
    assert assess(TaskKey(NEIGHBOUR_JOB, 0, 0)) is Assessment.DOUBTED
    assert assess(TaskKey(CRASHING_JOB, 0, 0)) is Assessment.SUSPECTED


def test_back_end_stays_reserved_for_a_task_that_was_dropped():
    rig, backends = make_site(count=2, crashing_jobs=())
    slow(backends)
    rig.submit(make_job(NEIGHBOUR_JOB))
    rig.run_for(0.1)
    (crashed,) = [backend for backend in backends if backend.active]
    crashed.crash(rig.now)
    rig.run_for(1.0)
    rig.submit(make_job('b' * 16, count=2))
    rig.run_for(0.3)
    (reserved,) = [
        runs
        for runs in rig.cell.registry.runs_by_backend.values()
        if runs.listed.backend_id != crashed.listed.backend_id
    ]
    assert not reserved.is_empty_for(TaskKey('b' * 16, 0, 0))
    rig.cell.assignments.drop_job(NEIGHBOUR_JOB, rig.now)
    rig.execute_effects()
    rig.run_for(1)
    assert reserved.free == reserved.listed.capacity
