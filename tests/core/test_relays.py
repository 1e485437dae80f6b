"""Checks submissions that reach an entry VM other than their home."""

import random

import pytest

from camphorlink.internal.core.connection import submission_messages as peers
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.core.request import relays
from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.core.request.reasons import Reason
from cores import Cores, build_job


@pytest.fixture
def cores():
    new_cores = Cores('a', 'b', rng=random.Random(4))
    new_cores.show_members()
    return new_cores


def test_a_relayed_submission_takes_two_messages(cores):
    caller = cores.submit('a', cores.mint('b'), build_job(3))
    cores.run(1)
    answer = cores.answer_of(caller)
    assert answer.outcome is Outcome.COMPLETE
    assert set(answer.results_by_task) == {'t0', 't1', 't2'}
    assert [type(message) for _from, _to, message in cores.sent] == [
        peers.RelayJob,
        peers.RelayAnswer,
    ]
    assert cores.core_by_vm['a'].is_idle


def test_a_relayed_job_carries_the_remaining_deadline(cores):
    cores.run(2)
    cores.submit('a', cores.mint('b'), build_job(deadline_s=5.0))
    assert cores.sent[0][2].remaining_ms == pytest.approx(3000)


def test_transit_time_is_subtracted_from_the_deadline(cores):
    cores.silent_tasks = True
    held = []
    cores.lose = lambda _sender, _to, message: held.append(message) or True
    cores.submit('a', cores.mint('b'), build_job(deadline_s=5.0))
    cores.run(60)
    sender = cores.core_by_vm['a'].home
    cores.post('b', messages.PeerSaid(sender, held[0]))
    cores.run(0)
    assert not cores.starts


def test_resubmissions_at_several_vms_start_each_task_once(cores):
    submission_id = cores.mint('b')
    callers = [
        cores.submit(vm, submission_id, build_job(4)) for vm in 'ababaabb'
    ]
    cores.run(1)
    answers = [cores.answer_of(caller) for caller in callers]
    assert all(answer.outcome is Outcome.COMPLETE for answer in answers)
    assert set(cores.starts.values()) == {1}


def test_a_lost_job_is_resent_and_starts_once(cores):
    lost = iter([True, False])
    cores.lose = lambda *_what: next(lost, False)
    caller = cores.submit('a', cores.mint('b'), build_job())
    cores.run(2)
    assert cores.answer_of(caller).outcome is Outcome.COMPLETE
    assert set(cores.starts.values()) == {1}


def test_a_lost_answer_is_requested_without_resending_the_job(cores):
    answers = iter([True, False])
    cores.lose = lambda _sender, _to, message: (
        isinstance(message, peers.RelayAnswer) and next(answers, False)
    )
    caller = cores.submit('a', cores.mint('b'), build_job())
    cores.run(2)
    assert cores.answer_of(caller).outcome is Outcome.COMPLETE
    kinds = [type(message) for _from, _to, message in cores.sent]
    assert kinds.count(peers.RelayJob) == 1
    assert set(cores.starts.values()) == {1}


def test_another_job_under_the_same_identifier_has_its_own_answer(cores):
    submission_id = cores.mint('b')
    first = cores.submit('a', submission_id, build_job(digest='one'))
    other = cores.submit('a', submission_id, build_job(digest='two'))
    cores.run(1)
    assert cores.answer_of(first).outcome is Outcome.COMPLETE
    assert cores.answer_of(other).reason is Reason.OTHER_JOB


def test_a_silent_home_is_reported_as_unreachable(cores):
    cores.lose = lambda *_what: True
    caller = cores.submit('a', cores.mint('b'), build_job(deadline_s=60.0))
    cores.run(12)
    answer = cores.answer_of(caller)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.reason is Reason.HOME_UNREACHABLE
    assert answer.retry_after_s


def test_a_home_that_is_gone_is_reported_at_once(cores):
    submission_id = cores.mint('b')
    cores.down.add('b')
    waiting = cores.submit('a', submission_id, build_job())
    cores.show_members({'b': MemberState.GONE})
    assert cores.answer_of(waiting).reason is Reason.HOME_GONE
    later = cores.submit('a', submission_id, build_job())
    assert cores.answer_of(later).outcome is Outcome.UNKNOWN
    assert cores.answer_of(later).reason is Reason.HOME_GONE


def test_a_restarted_vm_reports_that_it_is_not_the_home(cores):
    submission_id = cores.mint('b')
    cores.start('b')
    cores.show_members()
    caller = cores.submit('a', submission_id, build_job())
    cores.run(0.01)
    assert cores.answer_of(caller).reason is Reason.HOME_GONE
    assert cores.answer_of(caller).outcome is Outcome.UNKNOWN


def test_a_paused_home_does_not_run_an_expired_job(cores):
    cores.down.add('b')
    submission_id = cores.mint('b')
    caller = cores.submit('a', submission_id, build_job(deadline_s=2.0))
    cores.run(60)
    assert cores.answer_of(caller).outcome is Outcome.UNKNOWN
    cores.down.clear()
    again = cores.submit('a', submission_id, build_job(deadline_s=65.0))
    cores.run(2)
    assert cores.answer_of(again).outcome is Outcome.COMPLETE
    assert set(cores.starts.values()) == {1}


def test_a_cancellation_reaches_the_home(cores):
    cores.silent_tasks = True
    submission_id = cores.mint('b')
    caller = cores.submit('a', submission_id, build_job())
    cores.run(0.1)
    cores.post('a', messages.Cancel(str(submission_id)))
    cores.run(0.1)
    assert cores.answer_of(caller).reason is Reason.CANCELLED


def test_a_cancellation_that_overtakes_its_job_prevents_its_start(cores):
    submission_id = cores.mint('b')
    cores.post('a', messages.Cancel(str(submission_id)))
    cores.run(0.1)
    caller = cores.submit('a', submission_id, build_job())
    cores.run(1)
    assert cores.answer_of(caller).outcome is Outcome.NOT_RUN
    assert cores.answer_of(caller).reason is Reason.CANCELLED
    assert not cores.starts


def test_a_caller_that_leaves_cancels_nothing(cores):
    submission_id = cores.mint('b')
    caller = cores.submit('a', submission_id, build_job())
    cores.post('a', messages.Leave(str(submission_id), caller))
    cores.run(1)
    assert cores.answer_of(caller) is None
    assert set(cores.starts.values()) == {1}
    again = cores.submit('a', submission_id, build_job())
    cores.run(1)
    assert cores.answer_of(again).outcome is Outcome.COMPLETE


def test_relays_are_bounded_and_never_report_not_run(cores, monkeypatch):
    monkeypatch.setattr(relays, 'MAX_RELAYS', 2)
    cores.lose = lambda *_what: True
    callers = [
        cores.submit('a', cores.mint('b'), build_job()) for _number in range(3)
    ]
    refused = cores.answer_of(callers[2])
    assert refused.outcome is Outcome.UNKNOWN
    assert refused.reason is Reason.RELAYS_FULL
    cores.run(6)
    outcomes = {cores.answer_of(caller).outcome for caller in callers}
    assert outcomes == {Outcome.UNKNOWN}


def test_a_duplicated_report_starts_no_further_attempt(cores):
    cores.silent_tasks = True
    tickets = []
    cores.on_effect = lambda _vm, effect: (
        tickets.append(effect.ticket)
        if isinstance(effect, messages.StartTask)
        else None
    )
    cores.submit('a', cores.mint('a'), build_job())
    refused = messages.TaskNotStarted(tickets[0], Reason.BACKEND_BUSY)
    for _number in range(3):
        cores.post('a', refused)
        cores.run(1)
    assert len(tickets) == 2


def test_an_answer_too_large_for_a_link_is_reported_as_unknown(cores):
    cores.silent_tasks = True
    tickets = []
    cores.on_effect = lambda _vm, effect: (
        tickets.append(effect.ticket)
        if isinstance(effect, messages.StartTask)
        else None
    )
    submission_id = cores.mint('b')
    far = cores.submit('a', submission_id, build_job())
    near = cores.submit('b', submission_id, build_job())
    cores.run(0.1)
    large = 'x' * 8 * 1024 * 1024
    cores.post('b', messages.TaskFinished(tickets[0], large))
    cores.run(1)
    assert cores.answer_of(near).results_by_task == {'t0': large}
    assert cores.answer_of(far).outcome is Outcome.UNKNOWN
    assert cores.answer_of(far).reason is Reason.ANSWER_TOO_LARGE
