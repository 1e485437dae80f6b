"""Tests that a cell runs each task, never twice at once, and reports it."""

from camphorlink.internal.core.connection.backend_commands import StartRun
from camphorlink.internal.core.connection.backend_runs import (
    STOP_CONFIRMATION_S,
)
from camphorlink.internal.core.process.cell_effects import (
    CountEvent,
    LogEvent,
)
from camphorlink.internal.core.process.cell_load import (
    MAX_REPORTED_BACKENDS,
    list_loads,
)
from camphorlink.internal.core.process.coordinator_leases import (
    COORDINATOR_LEASE_S,
)
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.process.run_registry import NUMBERS_PER_TERM
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    JobAccepted,
    JobCancelled,
    RunCompletion,
    RunsCompleted,
)
from camphorlink.internal.core.request.transient_jobs import AssignTasks
from simulated_backends import CellRig, SimulatedBackend, listed, make_job


def make_rig(count=2, **fields):
    backends = [
        SimulatedBackend(listed(f'i-{n}'), **fields) for n in range(count)
    ]
    rig = CellRig(backends)
    rig.run_for(0.1)
    return rig, backends


def starts_of(backends):
    return [start for backend in backends for start in backend.starts]


def running_and_idle(backends):
    """Returns the back end that runs a task and the idle one, out of two."""
    first, second = backends
    return (first, second) if first.active else (second, first)


def test_tasks_of_a_transient_job_are_done_and_reported():
    rig, backends = make_rig()
    rig.submit(make_job(count=4))
    rig.run_for(0.5)
    assert len(rig.done_tasks()) == 4
    assert len(starts_of(backends)) == 4


def test_a_task_without_capacity_waits_for_a_completion():
    rig, backends = make_rig(count=1)
    rig.submit(make_job(count=5))
    assert len(backends[0].starts) == 2
    rig.run_for(1)
    assert len(rig.done_tasks()) == 5


def test_a_failing_task_runs_max_attempts_times_and_is_reported():
    rig, backends = make_rig()
    for backend in backends:
        backend.fails = True
    rig.submit(make_job(max_attempts=3))
    rig.run_for(2)
    assert len(starts_of(backends)) == 3
    assert [report.is_done for report in rig.reports] == [False]


def test_an_unanswered_start_is_stopped_before_the_task_runs_elsewhere():
    rig, backends = make_rig()
    backends[0].loses_answers = True
    backends[1].loses_answers = True
    rig.submit(make_job(count=1))
    rig.run_for(0.2)
    for backend in backends:
        backend.loses_answers = False
    for _ in range(40):
        rig.run_for(0.05)
        assert not rig.overlapping_runs()
    assert len(rig.done_tasks()) == 1


def test_a_silent_back_end_keeps_its_task_until_its_lease_has_lapsed():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job())
    rig.run_for(0.2)
    running, idle = running_and_idle(backends)
    running.is_silent = True
    rig.run_for(0.6)
    assert not idle.starts
    for _ in range(30):
        rig.run_for(0.1)
        assert not rig.overlapping_runs()
    assert idle.starts


def test_a_new_owner_adopts_running_tasks():
    rig, backends = make_rig(run_s=0.6)
    job = make_job(count=2)
    rig.submit(job)
    rig.run_for(0.2)
    rig.take_over('m#2')
    rig.run_for(0.05)
    rig.submit(job, may_have_run=True)
    rig.run_for(1.5)
    assert len(rig.done_tasks()) == 2
    assert len(starts_of(backends)) == 2


def test_a_completion_listed_before_its_coordinator_reconnects_is_reported():
    rig, backends = make_rig(run_s=0.1)
    job = make_job()
    rig.submit(job)
    rig.take_over('m#2')
    rig.run_for(0.3)
    rig.submit(job, may_have_run=True)
    rig.run_for(0.5)
    assert len(rig.done_tasks()) == 1
    assert len(starts_of(backends)) == 1


def test_a_dropped_job_is_stopped():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job(count=3))
    rig.run_for(0.1)
    rig.cell.assignments.drop_job('a' * 16, rig.now)
    rig.execute_effects()
    rig.run_for(0.3)
    assert not any(backend.active for backend in backends)
    assert not rig.reports


def test_tasks_of_a_lost_coordinator_are_stopped():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job(count=3), coordinator='c#7')
    rig.run_for(0.1)
    rig.cell.assignments.drop_coordinator('c#7', rig.now)
    rig.execute_effects()
    rig.run_for(0.3)
    assert not any(backend.active for backend in backends)


def test_stopped_tasks_of_a_lost_coordinator_are_logged():
    rig, _ = make_rig(run_s=5.0)
    rig.submit(make_job(count=3), coordinator='c#7')
    rig.run_for(0.1)
    rig.cell.assignments.drop_coordinator('c#7', rig.now)
    logged = [
        effect
        for effect in rig.cell.take_effects()
        if isinstance(effect, LogEvent)
    ]
    assert [event.facts['jobs'] for event in logged] == [['a' * 16]]


def test_unanswered_stops_are_counted():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job())
    rig.run_for(0.1)
    for backend in backends:
        backend.loses_stops = True
    rig.cell.assignments.drop_job('a' * 16, rig.now)
    rig.execute_effects()
    rig.run_for(0.4)
    assert CountEvent('lost_orders', 'stop') in rig.counts


def test_an_unconfirmed_owner_starts_nothing():
    rig, backends = make_rig()
    rig.confirmed_s = rig.now - 11
    rig.submit(make_job())
    rig.cell.take_effects()
    before = len(starts_of(backends))
    rig.run_for(0.5)
    assert len(starts_of(backends)) == before


def test_a_durable_job_is_completed_when_its_completions_are_stored():
    rig, backends = make_rig()
    rig.store(JobAccepted(make_job(count=4), (('z',),) * 3))
    rig.run_for(0.6)
    assert rig.table.ended_by_id['a' * 16].state is JobState.COMPLETED
    assert len(starts_of(backends)) == 4
    assert not any(backend.finished for backend in backends)


def test_a_cancelled_durable_job_is_stopped():
    rig, backends = make_rig(run_s=5.0)
    rig.store(JobAccepted(make_job(count=4), (('z',),) * 3))
    rig.run_for(0.1)
    rig.store(JobCancelled('a' * 16))
    rig.run_for(0.3)
    assert rig.table.ended_by_id['a' * 16].state is JobState.CANCELLED
    assert not any(backend.active for backend in backends)


def test_a_new_owner_finishes_durable_jobs():
    rig, backends = make_rig(run_s=0.4)
    rig.store(JobAccepted(make_job(count=6), (('z',),) * 3))
    rig.run_for(0.2)
    rig.take_over('m#2')
    rig.run_for(3)
    assert rig.table.ended_by_id['a' * 16].state is JobState.COMPLETED
    assert len(starts_of(backends)) == 6


def test_an_unanswered_start_is_polled_soon():
    rig, backends = make_rig()
    for backend in backends:
        backend.loses_starts = True
    rig.submit(make_job(count=1))
    for backend in backends:
        backend.loses_starts = False
    rig.run_for(0.25)
    assert not rig.overlapping_runs()
    assert len(rig.done_tasks()) == 1


def test_a_completion_in_a_lost_answer_is_polled_soon():
    rig, backends = make_rig(run_s=0.1)
    rig.submit(make_job(estimate_ms=100))
    rig.run_for(0.05)
    for backend in backends:
        backend.loses_waiting_renewals = True
    rig.run_for(0.3)
    assert len(rig.done_tasks()) == 1


def test_a_stored_failure_listed_again_starts_no_new_run():
    rig, backends = make_rig(run_s=0.4)
    rig.store(JobAccepted(make_job(max_attempts=9), (('z',),)))
    task = TaskKey('a' * 16, 0, 0)
    rig.run_for(0.1)
    rig.store(
        RunsCompleted('z', rig.cell.term, (RunCompletion(task, 1, False),))
    )
    before = len(starts_of(backends))
    rig.store(
        RunsCompleted('z', rig.cell.term, (RunCompletion(task, 1, False),))
    )
    assert len(starts_of(backends)) == before


def test_a_resubmitted_job_does_not_run_beside_its_earlier_run():
    rig, _ = make_rig(run_s=0.5)
    job = make_job(count=2)
    rig.submit(job, coordinator='c#1')
    rig.run_for(0.1)
    rig.take_over('m#2')
    rig.run_for(0.05)
    rig.submit(job, coordinator='c#2')
    for _ in range(40):
        assert not rig.overlapping_runs()
        rig.run_for(0.05)
    assert len(rig.done_tasks()) == 2


def test_a_new_task_waits_for_back_ends_that_have_not_answered_the_owner():
    rig, backends = make_rig(run_s=0.7)
    job = make_job(estimate_ms=700)
    rig.submit(job, coordinator='c#1')
    rig.run_for(0.1)
    running, _ = running_and_idle(backends)
    running.is_silent = True
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(job, coordinator='c#2')
    for _ in range(60):
        assert not rig.overlapping_runs()
        rig.run_for(0.05)
    assert len(rig.done_tasks()) == 1


def test_a_silent_back_end_delays_new_tasks_by_one_lease_at_most():
    rig, backends = make_rig()
    backends[0].is_silent = True
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(make_job())
    assert not backends[1].starts
    rig.run_for(1.25)
    assert len(starts_of(backends)) == 1


def test_a_new_task_starts_at_once_when_all_back_ends_have_answered():
    rig, backends = make_rig()
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(make_job())
    assert len(starts_of(backends)) == 1


def test_a_task_waits_until_a_late_run_of_an_earlier_owner_is_over():
    rig, backends = make_rig(run_s=5.0)
    job = make_job(estimate_ms=5000)
    rig.submit(job)
    rig.run_for(0.1)
    running, idle = running_and_idle(backends)
    task = TaskKey(job.job_id, 0, 0)
    idle.is_silent = True
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(0.1)
    # The earlier owner considered the run lapsed, and starts the task again on
    # a back end that has no command with the new term yet.
    late_start = StartRun(
        idle.listed, idle.fence, task, 10_000_002, 'x', 1_500, ''
    )
    idle.execute(late_start, rig.now)
    idle.is_silent = False
    rig.run_for(0.02)
    running.advance(running.lease_end_s + 1)
    idle.loses_stops = True
    for _ in range(20):
        rig.run_for(0.02)
        assert not rig.overlapping_runs()
    idle.loses_stops = False
    rig.run_for(0.5)
    assert len(rig.running_tasks()) == 1


def test_a_duplicate_run_is_stopped_before_its_task_restarts():
    rig, backends = make_rig(run_s=5.0)
    job = make_job(estimate_ms=5000)
    rig.submit(job)
    rig.run_for(0.1)
    running, idle = running_and_idle(backends)
    idle.is_silent = True
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(0.1)
    task = TaskKey(job.job_id, 0, 0)
    late_start = StartRun(
        idle.listed, idle.fence, task, 10_000_002, 'x', 9_000, ''
    )
    idle.execute(late_start, rig.now)
    idle.is_silent = False
    idle.loses_stops = True
    rig.run_for(0.3)
    assert rig.overlapping_runs()
    running.advance(running.lease_end_s + 1)
    rig.run_for(0.2)
    assert not rig.overlapping_runs()
    idle.loses_stops = False
    rig.run_for(1.5)
    assert len(rig.running_tasks()) == 1
    assert len(starts_of(backends)) == 3


def test_a_silent_run_lapses_only_after_the_owner_is_confirmed():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job(estimate_ms=5000))
    rig.run_for(0.1)
    running, _ = running_and_idle(backends)
    running.is_silent = True
    rig.confirmed_s = rig.now
    rig.run_for(3)
    assert len(starts_of(backends)) == 1
    rig.confirmed_s = None
    rig.run_for(0.1)
    assert len(starts_of(backends)) == 2


def test_a_back_end_that_lost_calls_gets_the_new_term_soon():
    rig, backends = make_rig()
    backends[0].is_silent = True
    rig.take_over('m#2')
    rig.run_for(0.1)
    backends[0].is_silent = False
    rig.run_for(0.08)
    assert backends[0].fence // NUMBERS_PER_TERM == rig.cell.term


def test_an_adopted_run_on_a_silent_back_end_is_kept_for_one_lease():
    rig, backends = make_rig(run_s=0.9)
    job = make_job(estimate_ms=900)
    rig.submit(job)
    rig.run_for(0.1)
    running, _ = running_and_idle(backends)
    # The first lease renewal is lost; a later list call is answered.
    running.is_silent = True
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(0.1)
    running.is_silent = False
    rig.run_for(0.08)
    running.is_silent = True
    for _ in range(80):
        rig.run_for(0.05)
        assert not rig.overlapping_runs()
    assert len(starts_of(backends)) == 2


def test_a_large_cell_reports_the_back_ends_with_the_most_free_capacity():
    backends = [
        SimulatedBackend(listed(f'i-{n}', cpu=16_000 + 100 * n))
        for n in range(60)
    ]
    rig = CellRig(backends)
    rig.run_for(0.1)
    (load,) = list_loads(rig.cell, rig.now)
    assert len(load.free_capacities) == MAX_REPORTED_BACKENDS
    assert (
        min(
            free_capacity.free_cpu_milli
            for free_capacity in load.free_capacities
        )
        == 16_000 + 100 * 36
    )
    assert load.cpu == sum(
        backend.listed.capacity.cpu_milli for backend in backends
    )


def test_new_tasks_do_not_wait_for_a_back_end_that_takes_no_connection():
    rig, backends = make_rig()
    backends[0].is_unreachable = True
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(make_job())
    rig.run_for(0.2)
    assert len(backends[1].starts) == 1


def test_an_adopted_task_that_completed_is_not_restarted():
    backends = [
        SimulatedBackend(listed('i-0', cpu=16_000), 0.3),
        SimulatedBackend(listed('i-1', cpu=16_000), 5.0),
    ]
    rig = CellRig(backends)
    rig.run_for(0.1)
    job = make_job(count=2, estimate_ms=5000)
    rig.submit(job)
    rig.run_for(0.1)
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(1.5)
    assert len(rig.done_tasks()) == 1
    assert len(starts_of(backends)) == 2


def test_a_task_of_an_unknown_job_does_not_block_other_tasks():
    rig, _backends = make_rig()
    unknown_job = make_job('b' * 16)
    # Both tasks are late from the start, and this one is queued first.
    rig.cell.waiting.add(TaskKey('b' * 16, 0, 0), unknown_job, rig.now - 2, 0.1)
    job = make_job()
    assignment = AssignTasks(
        'z', job, (TaskKey(job.job_id, 0, 0),), -1.0, False
    )
    rig.coordinators.add('c#1')
    rig.cell.assignments.accept(assignment, 'c#1', rig.now)
    rig.run_for(0.5)
    assert len(rig.done_tasks()) == 1
    assert not rig.cell.waiting


def test_a_task_restarts_soon_after_its_start_and_first_stop_were_lost():
    """Replays late orders: half of the commands get no answer for a while.

    A short job has an objective of 0.16 s, so that a retry must take less.
    """
    rig, backends = make_rig()
    for backend in backends:
        backend.loses_starts = True
        backend.loses_stops = True
    rig.submit(make_job(count=1))
    rig.run_for(0.08)
    assert not starts_of(backends)
    for backend in backends:
        backend.loses_starts = False
        backend.loses_stops = False
    rig.run_for(0.1)
    assert len(starts_of(backends)) == 1
    rig.run_for(0.15)
    assert len(rig.done_tasks()) == 1


def test_stops_of_a_run_are_sent_less_and_less_often():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job())
    rig.run_for(0.1)
    for backend in backends:
        backend.loses_stops = True
    stops = []
    send_stop = rig.cell.registry.send_stop
    rig.cell.registry.send_stop = lambda *command: (
        stops.append(rig.now),
        send_stop(*command),
    )
    rig.cell.assignments.drop_job('a' * 16, rig.now)
    rig.execute_effects()
    rig.run_for(2.0)
    assert 5 <= len(stops) <= 9


def test_run_whose_stops_are_lost_outlives_its_coordinator_by_a_lease():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job(estimate_ms=5000))
    rig.run_for(0.5)
    running, _ = running_and_idle(backends)
    running.loses_stops = True
    rig.coordinators.clear()
    rig.run_for(COORDINATOR_LEASE_S + STOP_CONFIRMATION_S + 0.05)
    assert not running.active


def test_run_whose_owner_is_lost_outlives_its_coordinator_by_a_lease():
    rig, backends = make_rig(run_s=5.0)
    rig.submit(make_job(estimate_ms=5000))
    rig.run_for(0.5)
    running, _ = running_and_idle(backends)
    rig.coordinators.clear()
    rig.run_for(COORDINATOR_LEASE_S * 0.9)
    for backend in backends:
        backend.is_silent = True
    rig.run_for(COORDINATOR_LEASE_S * 0.1 + STOP_CONFIRMATION_S + 0.05)
    assert not running.active


def lose_at_takeover(rig):
    """Loses back end i-1 at a takeover, and then its entry in the list."""
    rig.backend_by_id['i-1'].is_silent = True
    rig.take_over('m#2')
    rig.run_for(3.0)
    rig.backend_by_id.pop('i-1')
    rig.list_backends()


def test_a_back_end_that_was_lost_long_ago_delays_no_later_owner():
    rig, _ = make_rig()
    lose_at_takeover(rig)
    rig.run_for(25.0)
    rig.list_backends()
    rig.take_over('m#3')
    rig.run_for(0.05)
    rig.submit(make_job(), may_have_run=True)
    rig.run_for(0.9)
    assert len(rig.reports) == 1


def test_only_back_ends_of_the_last_owner_delay_new_tasks():
    rig, _ = make_rig()
    lose_at_takeover(rig)
    rig.take_over('m#3')
    rig.run_for(0.05)
    rig.submit(make_job())
    rig.submit(make_job('b' * 16), may_have_run=True)
    rig.run_for(0.5)
    assert [report.task.job_id for report in rig.reports] == ['a' * 16]
    rig.run_for(25.0)
    assert len(rig.reports) == 2
