"""Promises of a cell: each task runs, never twice at once, and is reported."""

from camphorlink.internal.core.connection.backend_commands import StartRun
from camphorlink.internal.core.process.cell_load import MAX_ROOMS, loads_of
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    Accepted,
    Cancelled,
    End,
    Ended,
)
from camphorlink.internal.core.request.transient_jobs import GiveTasks
from order_takers import CellRig, OrderTaker, listed, make_job


def make_rig(count=2, **fields):
    takers = [OrderTaker(listed(f'i-{n}'), **fields) for n in range(count)]
    rig = CellRig(takers)
    rig.run_for(0.1)
    return rig, takers


def starts_of(takers):
    return [start for taker in takers for start in taker.starts]


def holder_and_other(takers):
    """Returns the one of two back ends that runs a task, and the other."""
    first, second = takers
    return (first, second) if first.active else (second, first)


def test_tasks_of_a_transient_job_are_done_and_reported():
    rig, takers = make_rig()
    rig.submit(make_job(count=4))
    rig.run_for(0.5)
    assert len(rig.done_tasks()) == 4
    assert len(starts_of(takers)) == 4


def test_what_has_no_room_waits_for_an_end():
    rig, takers = make_rig(count=1)
    rig.submit(make_job(count=5))
    assert len(takers[0].starts) == 2
    rig.run_for(1)
    assert len(rig.done_tasks()) == 5


def test_a_failing_task_runs_as_often_as_it_may_and_is_reported():
    rig, takers = make_rig()
    for taker in takers:
        taker.fails = True
    rig.submit(make_job(max_attempts=3))
    rig.run_for(2)
    assert len(starts_of(takers)) == 3
    assert [report.is_done for report in rig.reports] == [False]


def test_an_order_without_an_answer_is_stopped_before_it_runs_elsewhere():
    rig, takers = make_rig()
    takers[0].loses_answers = True
    takers[1].loses_answers = True
    rig.submit(make_job(count=1))
    rig.run_for(0.2)
    for taker in takers:
        taker.loses_answers = False
    for _ in range(40):
        rig.run_for(0.05)
        assert not rig.overlapping_runs()
    assert len(rig.done_tasks()) == 1


def test_a_silent_back_end_keeps_its_task_until_its_lease_has_lapsed():
    rig, takers = make_rig(run_s=5.0)
    rig.submit(make_job())
    rig.run_for(0.2)
    holder, other = holder_and_other(takers)
    holder.is_silent = True
    rig.run_for(0.6)
    assert not other.starts
    for _ in range(30):
        rig.run_for(0.1)
        assert not rig.overlapping_runs()
    assert other.starts


def test_a_new_owner_adopts_what_runs():
    rig, takers = make_rig(run_s=0.6)
    job = make_job(count=2)
    rig.submit(job)
    rig.run_for(0.2)
    rig.take_over('m#2')
    rig.run_for(0.05)
    rig.submit(job, may_have_run=True)
    rig.run_for(1.5)
    assert len(rig.done_tasks()) == 2
    assert len(starts_of(takers)) == 2


def test_an_end_that_came_before_its_coordinator_is_reported():
    rig, takers = make_rig(run_s=0.1)
    job = make_job()
    rig.submit(job)
    rig.take_over('m#2')
    rig.run_for(0.3)
    rig.submit(job, may_have_run=True)
    rig.run_for(0.5)
    assert len(rig.done_tasks()) == 1
    assert len(starts_of(takers)) == 1


def test_a_dropped_job_stops():
    rig, takers = make_rig(run_s=5.0)
    rig.submit(make_job(count=3))
    rig.run_for(0.1)
    rig.cell.drop_transient('a' * 16, rig.now)
    rig.carry_out()
    rig.run_for(0.3)
    assert not any(taker.active for taker in takers)
    assert not rig.reports


def test_a_coordinator_who_is_gone_loses_its_tasks():
    rig, takers = make_rig(run_s=5.0)
    rig.submit(make_job(count=3), coordinator='c#7')
    rig.run_for(0.1)
    rig.cell.drop_coordinator('c#7', rig.now)
    rig.carry_out()
    rig.run_for(0.3)
    assert not any(taker.active for taker in takers)


def test_no_start_without_a_confirmed_ownership():
    rig, takers = make_rig()
    rig.confirmed_s = rig.now - 11
    rig.submit(make_job())
    rig.cell.take_effects()
    before = len(starts_of(takers))
    rig.run_for(0.5)
    assert len(starts_of(takers)) == before


def test_a_durable_job_is_completed_when_its_ends_are_stored():
    rig, takers = make_rig()
    rig.store(Accepted(make_job(count=4), (('z',),) * 3))
    rig.run_for(0.6)
    assert rig.table.ended_by_id['a' * 16].state is JobState.COMPLETED
    assert len(starts_of(takers)) == 4
    assert not any(taker.finished for taker in takers)


def test_a_durable_job_that_is_cancelled_stops():
    rig, takers = make_rig(run_s=5.0)
    rig.store(Accepted(make_job(count=4), (('z',),) * 3))
    rig.run_for(0.1)
    rig.store(Cancelled('a' * 16))
    rig.run_for(0.3)
    assert rig.table.ended_by_id['a' * 16].state is JobState.CANCELLED
    assert not any(taker.active for taker in takers)


def test_a_new_owner_finishes_durable_jobs():
    rig, takers = make_rig(run_s=0.4)
    rig.store(Accepted(make_job(count=6), (('z',),) * 3))
    rig.run_for(0.2)
    rig.take_over('m#2')
    rig.run_for(3)
    assert rig.table.ended_by_id['a' * 16].state is JobState.COMPLETED
    assert len(starts_of(takers)) == 6


def test_a_start_without_an_answer_is_looked_for_soon():
    rig, takers = make_rig()
    for taker in takers:
        taker.loses_starts = True
    rig.submit(make_job(count=1))
    for taker in takers:
        taker.loses_starts = False
    rig.run_for(0.25)
    assert not rig.overlapping_runs()
    assert len(rig.done_tasks()) == 1


def test_an_end_in_a_lost_answer_is_looked_for_soon():
    rig, takers = make_rig(run_s=0.1)
    rig.submit(make_job(estimate_ms=100))
    rig.run_for(0.05)
    for taker in takers:
        taker.loses_waiting_holds = True
    rig.run_for(0.3)
    assert len(rig.done_tasks()) == 1


def test_a_stored_failure_that_is_listed_again_starts_nothing_anew():
    rig, takers = make_rig(run_s=0.4)
    rig.store(Accepted(make_job(max_attempts=9), (('z',),)))
    task = TaskKey('a' * 16, 0, 0)
    rig.run_for(0.1)
    rig.store(Ended('z', rig.cell.term, (End(task, 1, False),)))
    before = len(starts_of(takers))
    rig.store(Ended('z', rig.cell.term, (End(task, 1, False),)))
    assert len(starts_of(takers)) == before


def test_a_job_that_is_sent_again_starts_nothing_beside_its_earlier_run():
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
    rig, takers = make_rig(run_s=0.7)
    job = make_job(estimate_ms=700)
    rig.submit(job, coordinator='c#1')
    rig.run_for(0.1)
    holder, _ = holder_and_other(takers)
    holder.is_silent = True
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(job, coordinator='c#2')
    for _ in range(60):
        assert not rig.overlapping_runs()
        rig.run_for(0.05)
    assert len(rig.done_tasks()) == 1


def test_a_silent_back_end_holds_new_tasks_up_for_a_lease_at_most():
    rig, takers = make_rig()
    takers[0].is_silent = True
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(make_job())
    assert not takers[1].starts
    rig.run_for(1.25)
    assert len(starts_of(takers)) == 1


def test_a_new_task_waits_for_nothing_when_all_back_ends_have_answered():
    rig, takers = make_rig()
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(make_job())
    assert len(starts_of(takers)) == 1


def test_a_task_waits_until_a_late_run_of_an_earlier_owner_is_over():
    rig, takers = make_rig(run_s=5.0)
    job = make_job(estimate_ms=5000)
    rig.submit(job)
    rig.run_for(0.1)
    holder, other = holder_and_other(takers)
    task = TaskKey(job.job_id, 0, 0)
    other.is_silent = True
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(0.1)
    # The earlier owner took its run as lapsed and starts the task again where
    # nobody has told of the new owner.
    late = StartRun(other.listed, 1, task, 10_000_002, 'x', 1_500, '')
    other.take(late, rig.now)
    other.is_silent = False
    rig.run_for(0.02)
    holder.advance(holder.lease_end_s + 1)
    other.loses_stops = True
    for _ in range(20):
        rig.run_for(0.02)
        assert not rig.overlapping_runs()
    other.loses_stops = False
    rig.run_for(0.5)
    assert len(rig.running_tasks()) == 1


def test_a_second_run_is_stopped_before_its_task_starts_anew():
    rig, takers = make_rig(run_s=5.0)
    job = make_job(estimate_ms=5000)
    rig.submit(job)
    rig.run_for(0.1)
    holder, other = holder_and_other(takers)
    other.is_silent = True
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(0.1)
    task = TaskKey(job.job_id, 0, 0)
    late = StartRun(other.listed, 1, task, 10_000_002, 'x', 9_000, '')
    other.take(late, rig.now)
    other.is_silent = False
    other.loses_stops = True
    rig.run_for(0.3)
    assert rig.overlapping_runs()
    holder.advance(holder.lease_end_s + 1)
    rig.run_for(0.2)
    assert not rig.overlapping_runs()
    other.loses_stops = False
    rig.run_for(1.5)
    assert len(rig.running_tasks()) == 1
    assert len(starts_of(takers)) == 3


def test_a_silent_run_is_over_only_when_the_owner_was_confirmed_since():
    rig, takers = make_rig(run_s=5.0)
    rig.submit(make_job(estimate_ms=5000))
    rig.run_for(0.1)
    holder, _ = holder_and_other(takers)
    holder.is_silent = True
    rig.confirmed_s = rig.now
    rig.run_for(3)
    assert len(starts_of(takers)) == 1
    rig.confirmed_s = None
    rig.run_for(0.1)
    assert len(starts_of(takers)) == 2


def test_a_back_end_that_loses_answers_hears_of_a_new_owner_soon():
    rig, takers = make_rig()
    takers[0].is_silent = True
    rig.take_over('m#2')
    rig.run_for(0.1)
    takers[0].is_silent = False
    rig.run_for(0.08)
    assert takers[0].fence == rig.cell.term


def test_a_found_run_on_a_silent_back_end_may_last_for_a_lease():
    rig, takers = make_rig(run_s=0.9)
    job = make_job(estimate_ms=900)
    rig.submit(job)
    rig.run_for(0.1)
    holder, _ = holder_and_other(takers)
    # Its first hold is lost, a look after that is answered.
    holder.is_silent = True
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(0.1)
    holder.is_silent = False
    rig.run_for(0.08)
    holder.is_silent = True
    for _ in range(80):
        rig.run_for(0.05)
        assert not rig.overlapping_runs()
    assert len(starts_of(takers)) == 2


def test_a_large_cell_tells_the_back_ends_with_the_most_room():
    takers = [
        OrderTaker(listed(f'i-{n}', cpu=16_000 + 100 * n)) for n in range(60)
    ]
    rig = CellRig(takers)
    rig.run_for(0.1)
    (load,) = loads_of(rig.cell, rig.now)
    assert len(load.rooms) == MAX_ROOMS
    assert min(room.free_cpu for room in load.rooms) == 16_000 + 100 * 36
    assert load.cpu == sum(taker.listed.capacity.cpu_milli for taker in takers)


def test_new_tasks_do_not_wait_for_a_back_end_that_takes_no_connection():
    rig, takers = make_rig()
    takers[0].is_unreachable = True
    rig.take_over('m#2')
    rig.run_for(0.02)
    rig.submit(make_job())
    rig.run_for(0.2)
    assert len(takers[1].starts) == 1


def test_a_found_task_that_ended_is_not_started_again():
    takers = [
        OrderTaker(listed('i-0', cpu=16_000), 0.3),
        OrderTaker(listed('i-1', cpu=16_000), 5.0),
    ]
    rig = CellRig(takers)
    rig.run_for(0.1)
    job = make_job(count=2, estimate_ms=5000)
    rig.submit(job)
    rig.run_for(0.1)
    rig.take_over('m#2')
    rig.submit(job, may_have_run=True)
    rig.run_for(1.5)
    assert len(rig.done_tasks()) == 1
    assert len(starts_of(takers)) == 2


def test_a_task_of_a_job_that_is_gone_keeps_no_other_waiting():
    rig, _takers = make_rig()
    gone = make_job('b' * 16)
    # Late from the start, as is the other, and before it.
    rig.cell.waiting.add(TaskKey('b' * 16, 0, 0), gone, rig.now - 2, 0.1)
    job = make_job()
    given = GiveTasks('z', job, (TaskKey(job.job_id, 0, 0),), -1.0, False)
    rig.cell.run_transient(given, 'c#1', rig.now)
    rig.run_for(0.5)
    assert len(rig.done_tasks()) == 1
    assert not rig.cell.waiting
