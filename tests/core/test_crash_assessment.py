"""Tests which crashes accuse which tasks, and how many suspects run at once."""

import pytest

from camphorlink.internal.core.connection.backend_runs import BackendRuns, Run
from camphorlink.internal.core.process.crash_monitor import (
    COMMON_FAILURE_S,
    have_common_cause,
)
from camphorlink.internal.core.process.crash_table import (
    MAX_CRASHES_KEPT,
    CrashTable,
)
from camphorlink.internal.core.process.lease_limit import longest_lease_s
from camphorlink.internal.core.request.crash_assessment import (
    MAX_CRASHES,
    Assessment,
    Crash,
    CrashKind,
    assess,
)
from camphorlink.internal.core.request.durable_job import Resources, TaskKey
from camphorlink.internal.core.request.job_records import (
    BackendCrashed,
    BackendSurvived,
)
from camphorlink.internal.core.request.suspect_limit import (
    OUTAGE_S,
    SuspectLimit,
)
from simulated_backends import listed

ALONE = Crash(CrashKind.OBSERVED, was_alone=True, was_newest=True)
NEWEST = Crash(CrashKind.OBSERVED, was_alone=False, was_newest=True)
BESIDE = Crash(CrashKind.OBSERVED, was_alone=False, was_newest=False)
COMMON = Crash(CrashKind.COMMON, was_alone=False, was_newest=False)
INFERRED = Crash(CrashKind.INFERRED, was_alone=False, was_newest=False)
UNCONFIRMED = Crash(CrashKind.OBSERVED, False, False, was_running=False)
UNCERTAIN_ALONE = ALONE._replace(is_certain=False)
UNCERTAIN_COMMON = COMMON._replace(is_certain=False)
TASK = TaskKey('a' * 16, 0, 0)
OTHER = TaskKey('b' * 16, 0, 0)


@pytest.mark.parametrize(
    ('crashes', 'assessment'),
    [
        ([], Assessment.CLEAR),
        ([COMMON, COMMON], Assessment.CLEAR),
        ([BESIDE], Assessment.DOUBTED),
        ([BESIDE, BESIDE], Assessment.DOUBTED),
        ([INFERRED, COMMON], Assessment.CLEAR),
        ([INFERRED] * MAX_CRASHES, Assessment.CLEAR),
        ([NEWEST], Assessment.SUSPECTED),
        ([ALONE], Assessment.SUSPECTED),
        ([ALONE, COMMON], Assessment.SUSPECTED),
        ([BESIDE, ALONE], Assessment.GIVEN_UP),
        ([INFERRED, ALONE], Assessment.SUSPECTED),
        ([UNCONFIRMED], Assessment.DOUBTED),
        ([UNCONFIRMED] * MAX_CRASHES, Assessment.DOUBTED),
        ([UNCONFIRMED, ALONE], Assessment.SUSPECTED),
        ([COMMON] * MAX_CRASHES, Assessment.GIVEN_UP),
        ([UNCERTAIN_ALONE], Assessment.SUSPECTED),
        ([ALONE, UNCERTAIN_ALONE], Assessment.WITHHELD),
        ([UNCERTAIN_ALONE] * MAX_CRASHES, Assessment.WITHHELD),
        ([ALONE, ALONE, UNCERTAIN_ALONE], Assessment.GIVEN_UP),
        (
            [UNCERTAIN_COMMON, *[COMMON] * (MAX_CRASHES - 1)],
            Assessment.WITHHELD,
        ),
    ],
)
def test_assessment_by_crashes(crashes, assessment):
    assert assess(crashes) is assessment


def make_runs(number, silent_s=None, rack='r1'):
    runs = BackendRuns(listed(f'i-{number}', labels=('a', rack)), 0.0, 1)
    runs.silent_since_s = silent_s
    return runs


def test_rack_that_fails_at_once_has_a_common_cause():
    rack = [make_runs(number, 5 + number / 10) for number in range(3)]
    others = [make_runs(number, rack='r2') for number in range(3, 6)]
    assert have_common_cause(rack[0], rack + others)
    rack[1].silent_since_s = None
    assert not have_common_cause(rack[0], rack + others)


def test_back_ends_that_failed_before_are_no_common_cause():
    earlier = [make_runs(number, 2.0) for number in range(3)]
    failed = make_runs(3, 2.0 + 2 * COMMON_FAILURE_S)
    assert not have_common_cause(failed, [*earlier, failed])


def test_back_ends_of_suspects_count_until_they_are_back():
    limit = SuspectLimit()
    runs = make_runs(1)
    runs.add(Run(TASK, 1, Resources(1), 0.0))
    assert limit.may_start(8, 0.0)
    limit.record_start(runs, TASK, 0.0)
    assert not limit.may_start(8, 0.1)
    assert limit.may_start(16, 0.1)
    runs.silent_since_s = 0.1
    runs.drop(TASK)
    assert not limit.may_start(8, OUTAGE_S - 0.1)
    assert limit.may_start(8, OUTAGE_S + 0.1)


def test_suspect_that_ends_makes_way_for_the_next():
    limit = SuspectLimit()
    runs = make_runs(1)
    runs.add(Run(TASK, 1, Resources(1), 0.0))
    limit.record_start(runs, TASK, 0.0)
    runs.drop(TASK)
    assert limit.may_start(8, 0.1)


def record(table, number, *tasks, is_certain=True):
    table.record(
        BackendCrashed(
            f'i-{number}',
            1,
            tasks,
            CrashKind.OBSERVED,
            is_certain=is_certain,
        )
    )


def test_crash_that_is_recorded_twice_counts_once():
    table = CrashTable()
    record(table, 1, TASK)
    record(table, 1, TASK)
    assert table.assess(TASK) is Assessment.SUSPECTED
    assert table.find_given_up(TASK.job_id) is None
    record(table, 2, TASK, OTHER)
    assert table.find_given_up(TASK.job_id) == TASK
    assert table.assess(OTHER) is Assessment.DOUBTED


def test_task_is_given_up_by_crashes_that_may_be_retracted():
    table = CrashTable()
    record(table, 1, TASK)
    record(table, 2, TASK, is_certain=False)
    assert table.find_given_up(TASK.job_id) is None
    assert table.assess(TASK) is Assessment.WITHHELD
    record(table, 2, TASK)
    assert table.find_given_up(TASK.job_id) == TASK


def test_certain_crash_is_retracted():
    table = CrashTable()
    record(table, 1, TASK)
    table.retract(BackendSurvived('i-1', 1))
    assert table.assess(TASK) is Assessment.SUSPECTED
    assert not table.uncertain()


def test_crash_that_is_recorded_again_gets_other_tasks():
    table = CrashTable()
    record(table, 1, TASK, is_certain=False)
    record(table, 1, OTHER)
    assert [crash.tasks for crash in table.records] == [(TASK,)]
    assert table.assess(OTHER) is Assessment.CLEAR


def test_retracted_crash_accuses_nobody():
    table = CrashTable()
    record(table, 1, TASK, is_certain=False)
    table.retract(BackendSurvived('i-1', 1))
    assert table.assess(TASK) is Assessment.CLEAR


def test_oldest_crashes_are_forgotten():
    table = CrashTable()
    record(table, 0, TASK)
    for number in range(1, MAX_CRASHES_KEPT + 1):
        record(table, number, OTHER)
    assert table.assess(TASK) is Assessment.CLEAR
    assert len(table.records) == MAX_CRASHES_KEPT


def test_lease_ends_with_the_first_coordinator_s():
    runs = make_runs(1)
    end_s_by_task = {TASK: 1.5, OTHER: 9.0}
    assert longest_lease_s(runs, end_s_by_task.get, 1.0) == 1.0
    for task in end_s_by_task:
        runs.add(Run(task, 1, Resources(1), 0.0))
    lease_s = longest_lease_s(runs, end_s_by_task.get, 1.0)
    assert lease_s == pytest.approx(0.6)
    runs.run_by_task[OTHER].must_end_s = 0.5
    assert longest_lease_s(runs, end_s_by_task.get, 1.0) < 0
