"""Tests of admission control: prompt refusals and fairness among teams."""

from camphorlink.bench.experiment import Fleet
from camphorlink.bench.experiment_cases import (
    CASES,
    JobPlan,
    TaskPlan,
    plan_jobs,
)
from camphorlink.internal.core.request.admission import (
    Backlog,
    PoisonJobs,
    refuse_for_deadline,
    refuse_for_queue,
)
from camphorlink.internal.core.request.due_times import DueTimes
from camphorlink.internal.core.request.job import Job, Outcome, TaskSpec
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.version.manifest import Team


def build_job(count, deadline_s=10, digest='d', team='a'):
    tasks = tuple(TaskSpec(str(n), None) for n in range(count))
    return Job('s', team, tasks, deadline_s, idempotent=False, digest=digest)


def test_a_flooding_team_is_refused_before_other_teams():
    flooding = Backlog(
        1000, 700, team_waiting_tasks=690, team_count=2, backlog_s=7
    )
    other = Backlog(1000, 700, team_waiting_tasks=10, team_count=2, backlog_s=7)
    refusal = refuse_for_queue(build_job(20), flooding)
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is Reason.QUEUE_FULL
    assert refusal.retry_after_s > 0
    assert refuse_for_queue(build_job(20), other) is None
    assert refuse_for_queue(build_job(301), other) is not None


def test_a_job_that_can_not_meet_its_deadline_is_refused():
    assert refuse_for_deadline(build_job(1, deadline_s=4), 1, 1, now=2) is None
    never = refuse_for_deadline(build_job(1, deadline_s=2.5), 1, 0, now=2)
    assert never.reason is Reason.DEADLINE_UNREACHABLE
    assert never.retry_after_s is None
    later = refuse_for_deadline(build_job(1, deadline_s=4), 1, 9, now=2)
    assert later.retry_after_s == 9


def test_a_poison_job_is_refused_after_repeated_failures():
    poison = PoisonJobs()
    for number in range(3):
        assert poison.refuse(build_job(1), now=number) is None
        poison.record_failure('d', f'sub{number}', f'b{number}', number)
    refusal = poison.refuse(build_job(1), now=3)
    assert refusal.reason is Reason.JOB_KEEPS_FAILING
    assert poison.refuse(build_job(1, digest='other'), now=3) is None
    assert poison.refuse(build_job(1), now=100) is None


def test_failures_at_a_single_back_end_do_not_make_a_job_poison():
    poison = PoisonJobs()
    for number in range(9):
        poison.record_failure('d', f'sub{number}', 'b0', number)
    assert poison.refuse(build_job(1), now=9) is None


def test_a_team_far_above_its_share_gets_later_due_times():
    times = DueTimes()
    a_team, b_team = Team('a', None, None, 5), Team('b', None, None, 5)
    times.charge('b', 1, 10, 0)
    times.charge('a', 1000, 10, 0)
    a_due = times.due_s(build_job(1, 999), a_team, 1, 60, 0)
    b_due = times.due_s(build_job(1, 999), b_team, 1, 60, 0)
    assert a_due > b_due + 100
    assert times.due_s(build_job(1, 999), a_team, 1, 0, 0) == b_due


def test_impossible_jobs_are_refused_and_start_nothing():
    fleet = Fleet(CASES['steady-50'], 'camphorlink', 1)
    fleet.add_vms()
    for plan in plan_jobs(fleet.case, 5, 1):
        fleet.clock.call_at(plan.arrival_s, fleet.submit, plan)
    fleet.clock.run(30)
    # One task with a minute of work, and a deadline long before that.
    long_task = TaskPlan(0.01, 60, 'fix')
    starts = fleet.counts['starts']
    fleet.submit(JobPlan(30, 'volos', 'north', (long_task,), 'x'))
    assert fleet.records[-1].reason == 'deadline-unreachable'
    fleet.clock.run(40)
    assert fleet.counts['starts'] == starts


def test_a_zone_without_back_ends_refuses_jobs_with_that_reason():
    fleet = Fleet(CASES['steady-50'], 'camphorlink', 1)
    fleet.add_vms()
    names = [b.name for b in fleet.backends_by_zone['larissa']]
    fleet.publish_manifest(names)
    task = TaskPlan(0.1, 0.1, 'fix')
    fleet.submit(JobPlan(0, 'larissa', 'north', (task,), 'short'))
    fleet.clock.run(5)
    assert fleet.counts['refusals:no-backend'] == 1
    assert [record.reason for record in fleet.records] == ['']
