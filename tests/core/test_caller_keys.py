"""Checks that each caller key maps to one submission despite log faults."""

import random

import pytest

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import (
    Member,
    MemberState,
    build_view,
)
from camphorlink.internal.core.request import claim_writer
from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    choose_claimer,
    decode_claim,
    stream_name,
)
from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.core.request.reasons import Reason
from cores import Cores, SimulatedLog, build_job


@pytest.fixture
def cores():
    new_cores = Cores('a', 'b', 'c', rng=random.Random(4))
    new_cores.show_members()
    return new_cores


def show_only_itself(cores, vm):
    """Gives one core a view in which it is the only live entry VM."""
    view = build_view(
        Member(
            core.home,
            other,
            MemberState.LIVE if other == vm else MemberState.SUSPECT,
        )
        for other, core in cores.core_by_vm.items()
    )
    cores.post(vm, messages.MembersChanged(view))


def assert_completed_once(cores, callers):
    for caller in callers:
        assert cores.answer_of(caller).outcome is Outcome.COMPLETE
    assert set(cores.starts.values()) == {1}


def test_a_key_used_at_several_vms_runs_once_for_all(cores):
    callers = [cores.submit_key(vm, 'B-7', build_job(3)) for vm in 'abcabc']
    cores.run(2)
    assert_completed_once(cores, callers)
    assert len(cores.starts) == 3
    assert cores.log.appends == 1


def test_a_reused_key_returns_the_first_answer(cores):
    first = cores.submit_key('a', 'B-7', build_job())
    cores.run(2)
    callers = [
        cores.submit_key(vm, 'B-7', build_job(1, cores.now + 5)) for vm in 'abc'
    ]
    cores.run(2)
    assert_completed_once(cores, [first, *callers])
    assert cores.log.appends == 1


def test_another_job_under_a_used_key_is_refused(cores):
    first = cores.submit_key('a', 'B-7', build_job())
    other = cores.submit_key('b', 'B-7', build_job(digest='other'))
    cores.run(2)
    answers = [cores.answer_of(first), cores.answer_of(other)]
    reasons = {answer.reason for answer in answers}
    assert reasons == {None, Reason.OTHER_JOB}
    assert set(cores.starts.values()) == {1}


def test_vms_that_disagree_about_the_members_still_agree_about_the_key(cores):
    for vm in 'abc':
        show_only_itself(cores, vm)
    callers = [cores.submit_key(vm, 'B-7', build_job()) for vm in 'abc']
    cores.run(1)
    claims = cores.log.records_by_stream[
        stream_name(CallerKey('caster', 'B-7'))
    ]
    assert len(claims) == 3
    cores.show_members()
    cores.run(8)
    assert sum(cores.starts.values()) == 1
    outcomes = {cores.answer_of(caller).outcome for caller in callers}
    assert Outcome.COMPLETE in outcomes
    assert Outcome.NOT_RUN not in outcomes


@pytest.mark.parametrize(
    'append_result', ['unanswered', 'lost', 'late', 'refused']
)
def test_an_unanswered_append_is_resolved_by_reading(cores, append_result):
    append_results = iter([append_result])
    cores.log.on_append = lambda _effect: next(append_results, 'ok')
    callers = [cores.submit_key(vm, 'B-7', build_job()) for vm in 'ab']
    cores.run(2)
    cores.log.land()
    again = cores.submit_key('c', 'B-7', build_job(1, cores.now + 5))
    cores.run(2)
    assert_completed_once(cores, [*callers, again])


def test_an_abandoned_claim_appended_later_starts_no_task(cores):
    cores.log.on_append = lambda _effect: 'late'
    caller = cores.submit_key('a', 'B-7', build_job(deadline_s=1.0))
    cores.run(3)
    answer = cores.answer_of(caller)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.reason is Reason.KEY_UNRESOLVED
    cores.log.land()
    cores.log.on_append = lambda _effect: 'ok'
    cores.run(20)
    assert not cores.starts
    again = cores.submit_key('b', 'B-7', build_job(1, cores.now + 5))
    cores.run(3)
    assert_completed_once(cores, [again])


def test_keys_wait_until_their_deadline_while_the_log_is_down(cores):
    cores.log.is_down = True
    waiting = cores.submit_key('a', 'B-7', build_job(deadline_s=4.0))
    short = cores.submit_key('a', 'B-8', build_job(deadline_s=1.0))
    homed = cores.submit('a', cores.mint('a'), build_job())
    cores.run(2)
    assert cores.answer_of(short).reason is Reason.KEY_UNRESOLVED
    assert cores.answer_of(homed).outcome is Outcome.COMPLETE
    cores.log.is_down = False
    cores.run(2.5)
    assert cores.answer_of(waiting).outcome is Outcome.COMPLETE


def test_a_key_older_than_the_retention_is_refused(cores):
    first = cores.submit_key('a', 'B-7', build_job())
    cores.run(2)
    assert_completed_once(cores, [first])
    cores.log.expire()
    for vm in 'abc':
        cores.start(vm)
    cores.show_members()
    cores.run(7200)
    old = cores.submit_key('b', 'B-7', build_job(1, cores.now + 5), issued_s=0)
    new = cores.submit_key('b', 'B-8', build_job(1, cores.now + 5))
    cores.run(3)
    assert cores.answer_of(old).outcome is Outcome.UNKNOWN
    assert cores.answer_of(old).reason is Reason.KEY_EXPIRED
    assert cores.answer_of(new).outcome is Outcome.COMPLETE


def test_an_evicted_key_is_never_claimed_again(cores, monkeypatch):
    monkeypatch.setattr(claim_writer, 'MAX_KEYS', 4)
    first = cores.submit_key('a', 'B-0', build_job())
    cores.run(1)
    for number in range(1, 60):
        cores.submit_key('a', f'B-{number}', build_job(1, cores.now + 9))
        cores.run(1)
    again = cores.submit_key(
        'b', 'B-0', build_job(1, cores.now + 9), issued_s=0
    )
    cores.run(3)
    assert cores.answer_of(first).outcome is Outcome.COMPLETE
    assert cores.answer_of(again).reason in {Reason.KEY_EXPIRED, None}
    assert set(cores.starts.values()) == {1}


def test_a_second_claim_never_wins_after_the_first_is_evicted(
    cores, monkeypatch
):
    """VM a evicts the first claim and reads a second one afterwards."""
    monkeypatch.setattr(claim_writer, 'MAX_KEYS', 2)
    show_only_itself(cores, 'a')
    show_only_itself(cores, 'b')
    key = CallerKey('caster', 'B-0')
    others = [
        f'C-{number}'
        for number in range(300)
        if stream_name(CallerKey('caster', f'C-{number}')) == stream_name(key)
    ]
    first = cores.submit_key('a', key.name, build_job(deadline_s=9.0))
    cores.run(1)
    for other in others[:2]:
        cores.submit_key('a', other, build_job(deadline_s=9.0))
        cores.run(1)
    cores.run(100)
    # The record that a VM with an empty index appends before it reads.
    record = {
        'kind': 'claim',
        'service': key.service,
        'key': key.name,
        'submission_id': str(cores.mint('b')),
    }
    second = messages.AppendClaims(stream_name(key), 1, (record,))
    cores.log.append(second, cores.now)
    cores.submit_key('a', others[2], build_job(1, 190.0))
    cores.run(1)
    again = cores.submit_key('a', key.name, build_job(1, 190.0), issued_s=0)
    cores.run(3)
    assert cores.answer_of(first).outcome is Outcome.COMPLETE
    assert cores.answer_of(again).reason is Reason.KEY_EXPIRED
    assert set(cores.starts.values()) == {1}


def test_a_key_whose_home_restarted_is_unknown(cores):
    first = cores.submit_key('a', 'B-7', build_job())
    cores.run(2)
    assert cores.answer_of(first).outcome is Outcome.COMPLETE
    cores.start('a')
    cores.show_members()
    again = cores.submit_key('b', 'B-7', build_job(1, cores.now + 5))
    cores.run(2)
    assert cores.answer_of(again).outcome is Outcome.UNKNOWN
    assert cores.answer_of(again).reason is Reason.HOME_GONE


def test_claims_are_batched_within_the_append_budget():
    cores = Cores('a', rng=random.Random(4), claim_appends_per_s=10.0)
    cores.show_members()
    callers = []
    for number in range(1000):
        callers.append(cores.submit_key('a', f'B-{number}', build_job(1, 30.0)))
        cores.run(0.002)
    cores.run(5)
    assert_completed_once(cores, callers)
    assert cores.log.appends <= 7 * 10 + claim_writer.MAX_BURST


def test_lost_claim_messages_only_delay_the_result(cores):
    rng = random.Random(7)
    cores.lose = lambda *_what: rng.random() < 0.3
    callers = [
        cores.submit_key(vm, f'B-{number}', build_job(deadline_s=60.0))
        for number in range(20)
        for vm in 'abc'
    ]
    cores.run(70)
    assert set(cores.starts.values()) == {1}
    outcomes = {cores.answer_of(caller).outcome for caller in callers}
    assert outcomes <= {Outcome.COMPLETE, Outcome.UNKNOWN}


def test_a_key_refused_while_draining_is_unknown_not_not_run(cores):
    cores.post('a', messages.Drain())
    caller = cores.submit_key('a', 'B-7', build_job())
    assert cores.answer_of(caller).outcome is Outcome.UNKNOWN
    assert cores.answer_of(caller).reason is Reason.DRAINING


def test_all_vms_with_one_view_choose_one_claimer(cores):
    homes = [core.home for core in cores.core_by_vm.values()]
    chosen = {
        choose_claimer(f'claims-{number:02d}', homes, homes[0])
        for number in range(16)
    }
    assert chosen == set(homes)
    assert choose_claimer('claims-00', [], homes[1]) == homes[1]


@pytest.mark.parametrize(
    'record',
    [None, [], {}, {'kind': 'claim'}, {'kind': 'claim', 'service': 1}],
)
def test_records_that_are_not_claims_are_ignored(record):
    assert decode_claim(record) is None


def test_the_simulated_log_returns_pages():
    log = SimulatedLog()
    for _number in range(5):
        log.append(messages.AppendClaims('s', 1, ({},)), 0)
    page = log.read(messages.ReadClaims('s', 0))
    assert (len(page.records), page.next_offset) == (3, 5)
