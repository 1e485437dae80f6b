"""Tests that a cancelled job does not run, whatever the asked VM knew of it.

All times are virtual; see ``simulated_fleet``.
"""

import asyncio
from random import Random

import pytest

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.shell.process.job_log import TOPIC
from camphorlink.internal.shell.request import job_handler
from camphorlink.internal.shell.request.job_handler import Verdict
from simulated_backends import make_job
from simulated_fleet import run_in_fleet

VMS = {f'{zone}-{number}': zone for zone in 'xyz' for number in (1, 2)}
ACKNOWLEDGED = {Verdict.DONE, Verdict.NO_SUCH_JOB}
#: Time after an acknowledged cancellation from which on no task may start, and
#: none may run on, in seconds: bounds of the platform.
CANCEL_S = 3.0
STOP_S = 0.05
CUT_S = 5.5


def other_vms(fleet):
    """Returns the VMs that own no cell."""
    owners = {fleet.owner_of(zone) for zone in fleet.zones}
    return sorted(set(VMS) - owners)


def late_runs(fleet, job_id, cancelled_s):
    """Returns the runs that started or went on too late after a cancel."""
    return [
        span
        for span in fleet.spans
        if span.task.job_id == job_id
        and (
            span.start_s > cancelled_s + CANCEL_S
            or span.end_s > cancelled_s + CANCEL_S + STOP_S
        )
    ]


def play(scenario):
    run_in_fleet(scenario, VMS)


def test_job_is_stored_and_runs_after_its_cancel_was_answered():
    async def scenario(fleet):
        entry, other, *_ = other_vms(fleet)
        fleet.vm_by_name[entry].store.is_cut = True
        job = fleet.build_job(0.2)
        answer = await fleet.store_job(job, entry)
        assert answer.verdict is Verdict.UNKNOWN
        answer = await fleet.cancel(job.job_id, other)
        assert answer.verdict is Verdict.NO_SUCH_JOB
        await asyncio.sleep(CUT_S)
        fleet.heal()
        await asyncio.sleep(3)
        assert not fleet.spans
        assert fleet.states_of(job.job_id) == {JobState.CANCELLED}

    play(scenario)


@pytest.mark.parametrize('delay_s', [0.0, 0.01, 0.05])
def test_job_that_is_cancelled_right_after_its_ack_runs_on(delay_s):
    async def scenario(fleet):
        entry, other, *_ = other_vms(fleet)
        cancelled_s = {}
        for _ in range(20):
            job = fleet.build_job(6.0)
            answer = await fleet.store_job(job, entry)
            assert answer.verdict is Verdict.DONE
            await asyncio.sleep(delay_s)
            answer = await fleet.cancel(job.job_id, other)
            assert answer.verdict is Verdict.DONE
            cancelled_s[job.job_id] = fleet.now_s
        await asyncio.sleep(7)
        for job_id, acknowledged_s in cancelled_s.items():
            assert not late_runs(fleet, job_id, acknowledged_s)
            assert fleet.states_of(job_id) == {JobState.CANCELLED}

    play(scenario)


@pytest.mark.parametrize('is_cut', [False, True])
def test_transient_job_runs_on_after_its_cancel_was_answered(is_cut):
    async def scenario(fleet):
        entry, other, *_ = other_vms(fleet)
        job = fleet.build_job(6.0)
        caller = asyncio.create_task(fleet.submit(job, entry))
        await fleet.wait_until(lambda: fleet.spans)
        fleet.vm_by_name[entry].store.is_cut = is_cut
        answer = await fleet.cancel(job.job_id, other)
        assert answer.verdict is Verdict.NO_SUCH_JOB
        cancelled_s = fleet.now_s
        await asyncio.sleep(7)
        assert not late_runs(fleet, job.job_id, cancelled_s)
        if not is_cut:
            assert caller.done()
            assert caller.result().state is JobState.CANCELLED
        await caller

    play(scenario)


def test_transient_job_starts_after_its_cancel_was_answered():
    async def scenario(fleet):
        entry, other, *_ = other_vms(fleet)
        job = fleet.build_job(0.2)
        await fleet.cancel(job.job_id, other)
        answer = await fleet.submit(job, entry)
        assert answer.state is JobState.CANCELLED
        answer = await fleet.submit(fleet.build_job(0.2), entry)
        assert answer.state is JobState.COMPLETED
        assert len(fleet.spans) == 1

    play(scenario)


def test_cancels_of_one_unknown_job_fill_the_log():
    async def scenario(fleet):
        topic = fleet.store.topics[TOPIC]
        records = len(topic.records)
        answers = await asyncio.gather(
            *(fleet.cancel('d' * 16, vm) for vm in VMS for _ in range(100))
        )
        assert {answer.verdict for answer in answers} == {Verdict.NO_SUCH_JOB}
        assert len(topic.records) - records <= len(VMS)
        assert {len(vm.node.table.withdrawn_by_id) for vm in fleet.live_vms()}

    play(scenario)


def test_cancels_of_many_unknown_jobs_fill_the_log(monkeypatch):
    monkeypatch.setattr(job_handler, 'MAX_WITHDRAWN_JOBS', 10)

    async def scenario(fleet):
        vm = other_vms(fleet)[0]
        verdicts = []
        for number in range(20):
            answer = await fleet.cancel(f'{number:016x}', vm)
            verdicts.append(answer.verdict)
        assert verdicts == [Verdict.NO_SUCH_JOB] * 10 + [Verdict.REFUSED] * 10
        assert answer.retry_after_s > 0
        # A job that is known can be cancelled all the same.
        job = make_job('e' * 16, estimate_ms=6000, spec='6.0')
        await fleet.store_job(job, vm)
        assert (await fleet.cancel(job.job_id, vm)).verdict is Verdict.DONE

    play(scenario)


class RandomCancels:
    """Callers that hand in and cancel jobs at VMs that lose the store.

    Attributes:
        cancelled_s: Time of the first acknowledged cancellation of each job.
    """

    def __init__(self, fleet, random):
        self.cancelled_s = {}
        self._fleet = fleet
        self._random = random

    async def play(self, duration_s):
        """Plays callers beside faults, and checks all jobs in the end."""
        end_s = self._fleet.now_s + duration_s
        async with asyncio.TaskGroup() as group:
            group.create_task(self._disturb(end_s))
            while self._fleet.now_s < end_s:
                group.create_task(self._call())
                await asyncio.sleep(self._random.uniform(0, 0.4))
        self._fleet.heal()
        await asyncio.sleep(10)
        for job_id, cancelled_s in self.cancelled_s.items():
            late = late_runs(self._fleet, job_id, cancelled_s)
            assert not late, (job_id, cancelled_s, late)
            assert len(self._fleet.states_of(job_id)) == 1

    async def _disturb(self, end_s):
        while self._fleet.now_s < end_s:
            vm = self._random.choice(self._fleet.live_vms())
            fault = self._random.choice(('is_cut', 'loses_answers', 'delay_s'))
            setattr(vm.store, fault, self._random.choice((True, 0.3)))
            await asyncio.sleep(self._random.uniform(0, CUT_S))
            self._fleet.heal()
            await asyncio.sleep(self._random.uniform(0, 1))

    async def _call(self):
        job = self._fleet.build_job(self._random.choice((0.1, 1.0, 6.0)))
        hand_in = asyncio.create_task(
            self._random.choice((self._fleet.store_job, self._fleet.submit))(
                job, self._choose_vm()
            )
        )
        if self._random.random() < 1 / 2:
            await asyncio.wait({hand_in}, timeout=1.5)
        await asyncio.sleep(self._random.choice((0, 0.01, 0.05, 0.3)))
        answer = await self._fleet.cancel(job.job_id, self._choose_vm())
        if answer.verdict in ACKNOWLEDGED:
            self.cancelled_s[job.job_id] = self._fleet.now_s
        if self._random.random() < 1 / 3:
            await self._fleet.store_job(job, self._choose_vm())
        await hand_in

    def _choose_vm(self):
        return self._random.choice(sorted(VMS))


@pytest.mark.parametrize('seed', range(10))
def test_cancelled_job_runs_under_random_faults(seed):
    async def scenario(fleet):
        await RandomCancels(fleet, Random(seed)).play(20)

    play(scenario)
