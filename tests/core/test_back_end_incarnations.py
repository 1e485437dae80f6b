"""Tests that nothing of one incarnation of a back end is applied to the next.

A back end that starts again under its identifier runs nothing, and counts its
completions and its clock anew.
"""

import pytest

from camphorlink.internal.core.connection.backend_commands import (
    FinishedRun,
    RenewLeases,
    RunResult,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.connection.backend_runs import RunState
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.crash_assessment import Assessment
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import JobAccepted
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

FIRST_JOB = 'a' * 16
LATER_JOB = 'b' * 16
RUN_S = 0.3
DOWN_S = 0.3
CPU = 3000


def make_site(count=1):
    backends = [SimulatedBackend(listed(f'i-{n}'), RUN_S) for n in range(count)]
    for backend in backends:
        backend.restart_s = DOWN_S
        backend.cpu_by_job = {FIRST_JOB: CPU, LATER_JOB: CPU}
    rig = CellRig(backends)
    rig.run_for(0.1)
    return rig, backends


def accept(rig, job_id, count):
    job = make_job(job_id, count=count, cpu=CPU, estimate_ms=300)
    rig.store(JobAccepted(job, (('z',),)))


def start_counts(backends, job_id):
    starts = [
        task
        for backend in backends
        for task, _, _ in backend.starts
        if task.job_id == job_id
    ]
    return {task: starts.count(task) for task in starts}


@pytest.mark.parametrize('count', [1, 8])
def test_ends_of_the_next_incarnation_are_acknowledged_unhandled(count):
    rig, (backend,) = make_site()
    accept(rig, FIRST_JOB, count)
    rig.is_store_down = True
    rig.run_for(RUN_S + 0.2)
    assert len(backend.finished) == count
    backend.crash(rig.now)
    rig.run_for(DOWN_S + 0.2)
    rig.list_backends()
    rig.run_for(0.2)
    rig.end_store_outage()
    rig.run_for(1)
    assert rig.table.ended_by_id[FIRST_JOB].state is JobState.COMPLETED
    accept(rig, LATER_JOB, 10)
    rig.run_for(2)
    assert rig.table.ended_by_id[LATER_JOB].state is JobState.COMPLETED
    assert set(start_counts([backend], LATER_JOB).values()) == {1}
    assert len(backend.noted) == 10


def test_ends_after_an_outage_are_never_acknowledged():
    rig, (backend,) = make_site()
    accept(rig, FIRST_JOB, 8)
    rig.is_store_down = True
    rig.run_for(RUN_S + 0.2)
    rig.end_store_outage()
    rig.run_for(0.5)
    assert len(backend.noted) == 8
    assert TaskKey(FIRST_JOB, 0, 0) in {entry.task for entry in backend.noted}


def lose_owner_with_ended_task(rig):
    """A transient task ends, and its owner is lost before it hears of that."""
    rig.submit(make_job(FIRST_JOB, cpu=CPU, estimate_ms=300))
    rig.run_for(RUN_S - 0.05)
    rig.lose_pending_answers()
    for backend in rig.backend_by_id.values():
        backend.advance(rig.now + 0.1)
    rig.take_over('m#2')


def restart(rig, backend):
    backend.restart_s = 0.05
    rig.run_for(0.02)
    backend.crash(rig.now)
    rig.run_for(0.15)
    rig.list_backends()
    rig.run_for(0.02)


def test_unclaimed_end_is_acknowledged_to_the_next_incarnation():
    rig, (backend,) = make_site()
    lose_owner_with_ended_task(rig)
    restart(rig, backend)
    accept(rig, LATER_JOB, 1)
    rig.run_for(3)
    assert start_counts([backend], LATER_JOB) == {TaskKey(LATER_JOB, 0, 0): 1}
    assert [entry.task.job_id for entry in backend.noted] == [LATER_JOB]


def test_reported_unclaimed_end_is_acknowledged_to_the_next_incarnation():
    rig, (backend,) = make_site()
    lose_owner_with_ended_task(rig)
    restart(rig, backend)
    accept(rig, LATER_JOB, 1)
    job = make_job(FIRST_JOB, cpu=CPU, estimate_ms=300)
    rig.submit(job, may_have_run=True)
    rig.run_for(3)
    assert [report.is_done for report in rig.reports] == [True]
    assert start_counts([backend], FIRST_JOB) == {TaskKey(FIRST_JOB, 0, 0): 1}
    assert start_counts([backend], LATER_JOB) == {TaskKey(LATER_JOB, 0, 0): 1}


def test_run_of_the_former_incarnation_is_adopted_on_the_next():
    rig, (backend,) = make_site()
    backend.run_s = 5.0
    job = make_job(FIRST_JOB, cpu=CPU, estimate_ms=5000)
    rig.submit(job)
    rig.run_for(0.1)
    rig.take_over('m#2')
    rig.run_for(0.02)
    backend.is_silent = True
    restart(rig, backend)
    rig.submit(job, may_have_run=True)
    assert TaskKey(FIRST_JOB, 0, 0) not in rig.cell.registry.backends_by_task
    backend.is_silent = False
    rig.run_for(2)
    assert start_counts([backend], FIRST_JOB) == {TaskKey(FIRST_JOB, 0, 0): 2}


def list_two_ends(rig, *, is_done_first):
    """Two back ends list ends of one task to an owner that doesn't know it."""
    task = TaskKey(FIRST_JOB, 0, 0)
    results = [RunResult.DONE, RunResult.LAPSED]
    if not is_done_first:
        results.reverse()
    for run, backend in enumerate(rig.backend_by_id.values(), 1):
        number = next(backend.numbers)
        result = results[run - 1]
        end = FinishedRun(number, task, run, result, '')
        backend.finished.append(end)
    rig.take_over('m#2')
    rig.run_for(0.1)


@pytest.mark.parametrize('is_done_first', [False, True])
def test_second_unclaimed_end_of_a_task_is_never_acknowledged(is_done_first):
    rig, backends = make_site(2)
    list_two_ends(rig, is_done_first=is_done_first)
    rig.run_for(1)
    assert [len(backend.noted) for backend in backends] == [1, 1]


@pytest.mark.parametrize('is_done_first', [False, True])
def test_task_runs_again_though_one_of_its_unclaimed_ends_is_done(
    is_done_first,
):
    rig, backends = make_site(2)
    list_two_ends(rig, is_done_first=is_done_first)
    job = make_job(FIRST_JOB, cpu=CPU, estimate_ms=300)
    rig.submit(job, may_have_run=True)
    rig.run_for(2)
    assert [report.is_done for report in rig.reports] == [True]
    assert not start_counts(backends, FIRST_JOB)
    assert [len(backend.noted) for backend in backends] == [1, 1]


@pytest.mark.parametrize('is_listed', [False, True])
def test_numbers_of_the_former_incarnation_are_acknowledged_to_the_next(
    is_listed,
):
    rig, (backend,) = make_site()
    accept(rig, FIRST_JOB, 8)
    rig.run_for(RUN_S + 0.3)
    assert len(backend.noted) == 8
    backend.crash(rig.now)
    acknowledged = []
    execute = backend.execute

    def note_acknowledged(command, now):
        if isinstance(command, RenewLeases):
            acknowledged.append(command.acknowledged)
        return execute(command, now)

    backend.execute = note_acknowledged
    if is_listed:
        rig.run_for(DOWN_S)
        rig.list_backends()
    rig.run_for(DOWN_S + 0.3)
    assert acknowledged
    assert not any(acknowledged)


def test_stop_of_the_former_incarnation_confirms_one_on_the_next():
    rig, (backend,) = make_site()
    accept(rig, FIRST_JOB, 1)
    (task,) = start_counts([backend], FIRST_JOB)
    former = rig.cell.registry.runs_by_backend['i-0']
    run = former.run_by_task[task]
    stop = StopRun(former.listed, rig.cell.term, task, run.number)
    rig.cell.registry.stop(former, run, rig.now)
    backend.crash(rig.now)
    backend.down_until_s = rig.now
    rig.list_backends()
    assert rig.cell.registry.runs_by_backend['i-0'].run_by_task[task] is run
    rig.cell.commander.handle_stop_answer(stop, True, rig.now, rig.now)
    assert run.state is RunState.STOPPING


@pytest.mark.parametrize('verdict', list(StartVerdict))
def test_answer_to_a_start_sets_the_clock_of_the_next_incarnation(verdict):
    rig, (backend,) = make_site()
    accept(rig, FIRST_JOB, 1)
    (task,) = start_counts([backend], FIRST_JOB)
    former = rig.cell.registry.runs_by_backend['i-0']
    run = former.run_by_task[task]
    start = StartRun(
        former.listed, rig.cell.term, task, run.number, 'x', 1000, ''
    )
    backend.crash(rig.now)
    backend.down_until_s = rig.now
    rig.list_backends()
    later = rig.cell.registry.runs_by_backend['i-0']
    rig.cell.commander.handle_start_answer(
        start, StartAnswer(verdict, 10**9), rig.now, rig.now
    )
    assert later.clock is None
    assert run.state is not RunState.RUNNING
    is_open = verdict in {StartVerdict.STARTED, StartVerdict.UNANSWERED}
    assert (task in later.run_by_task) == is_open


def test_list_of_the_former_incarnation_is_applied_to_the_next():
    rig, (backend,) = make_site()
    accept(rig, FIRST_JOB, 1)
    (task,) = start_counts([backend], FIRST_JOB)
    entry = backend.listed._replace(started_ms=2)
    rig.cell.update_backends({'i-0': entry}, rig.now)
    rig.execute_effects()
    later = rig.cell.registry.runs_by_backend['i-0']
    rig.run_for(1)
    assert not later.has_listed_runs
    assert later.acknowledged == 0
    assert 'stale_answers' in {count.family for count in rig.counts}
    assert FIRST_JOB in rig.table.live_by_id
    assert start_counts([backend], FIRST_JOB) == {task: 1}


def test_suspect_carried_over_from_the_former_incarnation_never_starts_again():
    rig, backends = make_site(2)
    accept(rig, FIRST_JOB, 1)
    rig.run_for(0.1)
    running, other = sorted(backends, key=lambda entry: not entry.active)
    running.crash(rig.now)
    other.loses_starts = True
    task = TaskKey(FIRST_JOB, 0, 0)
    commanded = {task: {other.listed.backend_id}}
    end_s = rig.now + 5
    while rig.cell.registry.backends_by_task != commanded:
        assert rig.now < end_s
        rig.run_for(0.02)
    assert rig.cell.commander.crashes.assess(task) is Assessment.SUSPECTED
    other.crash(rig.now)
    other.down_until_s = rig.now
    rig.list_backends()
    other.loses_starts = False
    rig.run_for(3)
    assert rig.table.ended_by_id[FIRST_JOB].state is JobState.COMPLETED
