"""Tests that an unforeseen error of a call leaves a back end usable."""

import asyncio

from camphorlink.internal.core.connection.backend_commands import (
    RenewalVerdict,
    RenewLeases,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.shell.process.backend_calls import BackendCalls
from simulated_backends import CellRig, SimulatedBackend, listed

BACKEND = listed()
TASK = TaskKey('a' * 16, 0, 0)


class Backends:
    async def fail(self, command):
        raise ValueError('unforeseen')

    start = stop = renew_leases = fail


class Commander:
    def __init__(self):
        self.answers = []

    def handle_start_answer(self, command, answer, sent_s, now):
        self.answers.append(answer.verdict)

    def handle_stop_answer(self, command, is_answered, sent_s, now):
        self.answers.append(is_answered)

    def handle_renewal_answer(self, command, answer, now):
        self.answers.append(answer.verdict)


def send_all(commander, on_answered):
    async def scenario():
        calls = BackendCalls(Backends(), commander, on_answered)
        calls.send(StartRun(BACKEND, 1, TASK, 1, '', 1, ''))
        calls.send(StopRun(BACKEND, 1, TASK, 1))
        calls.send(RenewLeases(BACKEND, 1, 0, None, 0, 1))
        await asyncio.sleep(0.05)
        assert not calls._calls

    asyncio.run(scenario())


def test_call_that_fails_unexpectedly_is_never_answered(caplog):
    commander = Commander()
    send_all(commander, lambda: None)
    assert commander.answers == [
        StartVerdict.UNANSWERED,
        False,
        RenewalVerdict.UNANSWERED,
    ]
    assert 'unforeseen' in caplog.text


def test_answer_that_can_t_be_processed_leaves_no_log_line(caplog):
    def fail():
        raise LookupError('not processed')

    send_all(Commander(), fail)
    assert 'not processed' in caplog.text


def test_leases_are_never_renewed_after_a_list_that_can_t_be_processed():
    rig = CellRig([SimulatedBackend(BACKEND)])
    rig.run_for(0.5)
    runs = rig.cell.registry.runs_by_backend[BACKEND.backend_id]
    monitor = rig.cell.commander.crashes
    record_answer = monitor.record_answer

    def fail_once(answered):
        monitor.record_answer = record_answer
        raise LookupError('unforeseen')

    monitor.record_answer = fail_once
    try:
        rig.run_for(1)
    except LookupError:
        rig.lose_pending_answers()
    rig.run_for(1)
    assert monitor.record_answer is record_answer
    assert rig.now - runs.polled_s < 0.5
