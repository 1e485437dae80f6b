"""Checks the entries and evictions of the table of one home."""

import random

import pytest

from camphorlink.internal.core.request.home_table import (
    HomeTable,
    TableLimits,
    oldest_issue_ms,
)
from camphorlink.internal.core.request.identifiers import (
    Home,
    SubmissionId,
    mint_submission_id,
)
from camphorlink.internal.core.request.job import (
    Job,
    Outcome,
    TaskOutcome,
    TaskSpec,
    build_not_run_answer,
)
from camphorlink.internal.core.request.reasons import Reason

WALL_S = 1_800_000_000.0
HOME = Home('larissa', 'entry-0', '0' * 16)
JOB = Job('caster', 'surveyors', (TaskSpec('t', None),), 9.0, False, 'd')


@pytest.fixture
def rng():
    return random.Random(4)


def build_table(max_entries=10, answer_bytes=10**6, max_endings=10):
    return HomeTable(TableLimits(max_entries, answer_bytes, max_endings))


def mint(rng, later_s=0.0):
    return mint_submission_id(HOME, WALL_S + later_s, rng)


def complete(table, submission_id, size=1):
    run = table.open_run(submission_id, JOB, 1)
    run.mark_started(0)
    run.finish_task(0, 'x' * size)
    return run


def test_an_evicted_answer_is_reported_as_gone_and_never_rerun(rng):
    table = build_table(answer_bytes=20_000)
    submission_ids = [mint(rng, number) for number in range(8)]
    for submission_id in submission_ids:
        complete(table, submission_id, size=6_000)
    assert table.held_bytes <= 20_000
    assert table.find(str(submission_ids[0])) is None
    answer = table.refusal(submission_ids[0], WALL_S + 8)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.reason is Reason.ANSWER_GONE
    assert 'complete' in answer.detail


def test_an_evicted_ending_is_never_accepted_as_new(rng):
    table = build_table(max_entries=1, max_endings=4)
    submission_ids = [mint(rng, number) for number in range(30)]
    for submission_id in submission_ids:
        complete(table, submission_id)
    for submission_id in submission_ids:
        known = table.find(str(submission_id)) is not None
        assert known or table.refusal(submission_id, WALL_S + 30) is not None
    forgotten = table.refusal(submission_ids[0], WALL_S + 30)
    assert forgotten.outcome is Outcome.UNKNOWN
    assert forgotten.reason is Reason.IDENTIFIER_EXPIRED


def test_a_refused_submission_stays_not_run_after_eviction(rng):
    table = build_table(max_endings=4)
    submission_ids = [mint(rng, number) for number in range(30)]
    for submission_id in submission_ids:
        table.refuse(submission_id, build_not_run_answer(Reason.QUEUE_FULL))
    assert len(table.endings) <= 4
    for submission_id in submission_ids:
        assert (
            table.refusal(submission_id, WALL_S + 30).outcome is Outcome.NOT_RUN
        )


def test_an_identifier_below_the_floor_that_may_have_run_is_unknown(rng):
    table = build_table(max_entries=1, max_endings=1)
    for number in range(10, 20):
        complete(table, mint(rng, number))
    unseen_old = table.refusal(mint(rng, 1), WALL_S + 20)
    assert unseen_old.outcome is Outcome.UNKNOWN


def test_an_unseen_identifier_outside_the_window_is_not_run(rng):
    table = build_table()
    answer = table.refusal(mint(rng), WALL_S + 601)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.reason is Reason.IDENTIFIER_EXPIRED
    assert table.refusal(mint(rng), WALL_S + 599) is None


def test_an_identifier_from_the_future_is_unknown_not_not_run(rng):
    answer = build_table().refusal(mint(rng, 120), WALL_S)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.reason is Reason.BAD_IDENTIFIER


def test_future_issue_times_do_not_refuse_present_ones(rng):
    table = build_table(max_endings=4)
    for _number in range(4):
        table.refuse(mint(rng, 59), build_not_run_answer(Reason.QUEUE_FULL))
    for number in range(20):
        table.refuse(
            mint(rng, number / 10), build_not_run_answer(Reason.QUEUE_FULL)
        )
    assert table.refusal(mint(rng, 30), WALL_S + 30) is None


def test_open_runs_are_counted_and_bounded(rng):
    table = build_table(max_entries=3)
    runs = [table.open_run(mint(rng), JOB, 1) for _number in range(3)]
    assert table.is_full
    runs[1].close(Reason.CANCELLED)
    runs[1].close(Reason.CANCELLED)
    assert table.open_count == 2
    assert not table.is_full


def test_a_late_result_updates_only_the_task_outcome(rng):
    run = build_table().open_run(mint(rng), JOB, 1)
    run.mark_started(0)
    answer = run.close(Reason.DEADLINE_PASSED)
    assert answer.outcome is Outcome.UNKNOWN
    assert run.finish_task(0, 'late') is None
    assert run.answer is answer
    assert run.task_outcomes == [TaskOutcome.FINISHED]
    assert run.job.tasks[0].payload is None


def test_reports_of_an_earlier_attempt_are_not_awaited(rng):
    run = build_table().open_run(mint(rng), JOB, 1)
    run.mark_started(0)
    run.mark_not_started(0)
    assert not run.is_current_attempt(0, 1)
    run.mark_started(0)
    assert run.is_current_attempt(0, 2)
    assert not run.is_current_attempt(0, 1)


def test_the_window_moves_with_the_clock():
    assert oldest_issue_ms(1000.0) == 400_000
    assert SubmissionId(HOME, 1, '0' * 20).issued_ms == 1
