"""What the home's table remembers, and what it may forget."""

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


def table_of(max_entries=10, answer_bytes=10**6, max_endings=10):
    return HomeTable(TableLimits(max_entries, answer_bytes, max_endings))


def minted(rng, later_s=0.0):
    return mint_submission_id(HOME, WALL_S + later_s, rng)


def complete(table, name, size=1):
    run = table.open_run(name, JOB, 1)
    run.mark_started(0)
    run.finish_task(0, 'x' * size)
    return run


def test_an_evicted_answer_is_said_to_be_gone_and_never_starts_again(rng):
    table = table_of(answer_bytes=20_000)
    names = [minted(rng, number) for number in range(8)]
    for name in names:
        complete(table, name, size=6_000)
    assert table.held_bytes <= 20_000
    assert table.find(str(names[0])) is None
    answer = table.refusal(names[0], WALL_S + 8)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.reason is Reason.ANSWER_GONE
    assert 'complete' in answer.detail


def test_a_forgotten_ending_never_becomes_new_again(rng):
    table = table_of(max_entries=1, max_endings=4)
    names = [minted(rng, number) for number in range(30)]
    for name in names:
        complete(table, name)
    for name in names:
        known = table.find(str(name)) is not None
        assert known or table.refusal(name, WALL_S + 30) is not None
    forgotten = table.refusal(names[0], WALL_S + 30)
    assert forgotten.outcome is Outcome.UNKNOWN
    assert forgotten.reason is Reason.IDENTIFIER_EXPIRED


def test_what_was_only_ever_refused_stays_truly_not_run(rng):
    table = table_of(max_endings=4)
    names = [minted(rng, number) for number in range(30)]
    for name in names:
        table.refuse(name, build_not_run_answer(Reason.QUEUE_FULL))
    assert len(table.endings) <= 4
    for name in names:
        assert table.refusal(name, WALL_S + 30).outcome is Outcome.NOT_RUN


def test_an_identifier_below_the_floor_that_may_have_run_is_unknown(rng):
    table = table_of(max_entries=1, max_endings=1)
    for number in range(10, 20):
        complete(table, minted(rng, number))
    unseen_old = table.refusal(minted(rng, 1), WALL_S + 20)
    assert unseen_old.outcome is Outcome.UNKNOWN


def test_an_unseen_identifier_outside_the_window_is_not_run(rng):
    table = table_of()
    answer = table.refusal(minted(rng), WALL_S + 601)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.reason is Reason.IDENTIFIER_EXPIRED
    assert table.refusal(minted(rng), WALL_S + 599) is None


def test_a_future_identifier_is_not_promised_to_never_run(rng):
    answer = table_of().refusal(minted(rng, 120), WALL_S)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.reason is Reason.BAD_IDENTIFIER


def test_a_future_issue_time_does_not_shut_out_present_ones(rng):
    table = table_of(max_endings=4)
    for _number in range(4):
        table.refuse(minted(rng, 59), build_not_run_answer(Reason.QUEUE_FULL))
    for number in range(20):
        table.refuse(
            minted(rng, number / 10), build_not_run_answer(Reason.QUEUE_FULL)
        )
    assert table.refusal(minted(rng, 30), WALL_S + 30) is None


def test_open_runs_are_counted_and_bound(rng):
    table = table_of(max_entries=3)
    runs = [table.open_run(minted(rng), JOB, 1) for _number in range(3)]
    assert table.is_full
    runs[1].close(Reason.CANCELLED)
    runs[1].close(Reason.CANCELLED)
    assert table.open_count == 2
    assert not table.is_full


def test_a_late_result_updates_the_fate_and_nothing_else(rng):
    run = table_of().open_run(minted(rng), JOB, 1)
    run.mark_started(0)
    answer = run.close(Reason.DEADLINE_PASSED)
    assert answer.outcome is Outcome.UNKNOWN
    assert run.finish_task(0, 'late') is None
    assert run.answer is answer
    assert run.task_outcomes == [TaskOutcome.FINISHED]
    assert run.job.tasks[0].payload is None


def test_a_report_of_an_earlier_try_is_not_awaited(rng):
    run = table_of().open_run(minted(rng), JOB, 1)
    run.mark_started(0)
    run.mark_not_started(0)
    assert not run.is_current_attempt(0, 1)
    run.mark_started(0)
    assert run.is_current_attempt(0, 2)
    assert not run.is_current_attempt(0, 1)


def test_the_window_moves_with_the_clock():
    assert oldest_issue_ms(1000.0) == 400_000
    assert SubmissionId(HOME, 1, '0' * 20).issued_ms == 1
