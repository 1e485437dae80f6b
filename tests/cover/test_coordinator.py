"""Tests of the moves of transient tasks away from a lost cell owner."""

import asyncio
import logging

import pytest

from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    FreeCapacity,
)
from camphorlink.internal.core.request.cell_wait import must_wait
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)
from camphorlink.internal.core.request.transient_jobs import (
    AssignTasks,
    DropJob,
    JobRefused,
)
from camphorlink.internal.core.version.zone_drains import UNKNOWN_DRAINS
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.steady_clock import now_s
from simulated_backends import listed, make_job


def load(cell):
    free = (FreeCapacity(1.0, 64_000, ('a', 'r1')),)
    return CellLoad(cell, 's', 1, free, 0, 0, 64_000, 64_000)


def make_coordinator(send, zone='y'):
    return Coordinator(zone, 'm#1', RunSpeeds(), send, lambda: UNKNOWN_DRAINS)


def collect_into(sent):
    """Returns a function that appends each command and its cell to a list."""
    return lambda *command: sent.append(command)


def test_moved_jobs_are_logged(caplog):
    caplog.set_level(logging.INFO)
    sent = []

    async def scenario():
        coordinator = make_coordinator(collect_into(sent))
        coordinator.update_backends([listed('i-2', 'z')])
        coordinator.record_load(load('z'))
        run = asyncio.create_task(coordinator.run(make_job(), 2.0))
        await asyncio.sleep(0)
        coordinator.update_backends([listed('i-1', 'y'), listed('i-2', 'z')])
        coordinator.record_load(load('y'))
        coordinator.contacts.record_owner('z', 'm#2', now_s())
        coordinator.contacts.record_loss('m#2', now_s() - 60)
        coordinator.move_lost_tasks()
        run.cancel()

    asyncio.run(scenario())
    assert [cell for cell, _ in sent] == ['z', 'y', 'y']
    moves = [
        record
        for record in caplog.records
        if 'moving tasks away from a lost owner' in record.getMessage()
    ]
    assert [(move.cell, move.jobs) for move in moves] == [('z', ['a' * 16])]


def run_before_a_cell_is_known(job, wait_s, load_after_s, backends=()):
    """Submits a job to a coordinator that gets a load only later."""
    sent = []

    async def scenario():
        coordinator = make_coordinator(collect_into(sent))
        coordinator.update_backends(backends)
        run = asyncio.create_task(coordinator.run(job, wait_s))
        await asyncio.sleep(load_after_s)
        coordinator.update_backends([listed('i-1', 'y')])
        coordinator.record_load(load('y'))
        await asyncio.sleep(0.01)
        if run.done():
            return run.result()
        run.cancel()
        return None

    return asyncio.run(scenario()), sent


def test_a_job_waits_for_a_takeover_instead_of_being_refused():
    job = make_job(estimate_ms=300)
    refusal, sent = run_before_a_cell_is_known(job, 5.0, 0.1)
    assert refusal is None
    assert isinstance(sent[0][1], AssignTasks)


def test_a_job_that_has_no_time_to_wait_for_a_takeover_is_refused():
    job = make_job(estimate_ms=300)
    refusal, sent = run_before_a_cell_is_known(job, 0.3, 0.05)
    assert isinstance(refusal, JobRefused)
    assert not sent


def test_a_job_that_no_back_end_can_run_does_not_wait():
    other = [listed('i-1', 'y')._replace(service='other')]
    refusal, _ = run_before_a_cell_is_known(make_job(), 5.0, 0.02, other)
    assert isinstance(refusal, JobRefused)


def test_a_return_during_an_assignment_follows_the_other_assignments():
    """Otherwise the drop precedes an assignment, whose tasks run for nobody."""
    sent = []

    def send(cell, command):
        sent.append((cell, type(command)))
        if len(sent) == 1:
            rows = [
                ReturnedTask(task, command.number) for task in command.tasks
            ]
            coordinator.take_back(cell, rows, ReturnReason.OUT_OF_REACH)

    coordinator = make_coordinator(send, zone='z')
    coordinator.update_backends([listed('i-1', 'y'), listed('i-2', 'z')])
    for cell in 'yz':
        free = (FreeCapacity(1.0, 14_000),)
        coordinator.record_load(load(cell)._replace(free_capacities=free))
    ended = asyncio.run(coordinator.run(make_job(count=2), 0.2))
    assert ended.state is None
    first, second = 'zy'
    assert sent == [
        (first, AssignTasks),
        (second, AssignTasks),
        (second, DropJob),
        # The other cell has not told whether it has begun the job.
        (second, DropJob),
    ]


def test_a_repeated_job_of_an_open_one_is_not_placed_again():
    """Its first caller may be gone unnoticed; its tasks would run twice."""
    sent = []

    async def scenario():
        coordinator = make_coordinator(collect_into(sent), zone='z')
        coordinator.update_backends([listed('i-1', 'y'), listed('i-2', 'z')])
        for cell in 'zy':
            coordinator.record_load(load(cell))
        first = asyncio.create_task(coordinator.run(make_job(), 0.1))
        await asyncio.sleep(0)
        second = asyncio.create_task(coordinator.run(make_job(), 0.2))
        await asyncio.sleep(0)
        coordinator.record_completion(sent[0][1].tasks[0], is_done=True)
        return await first, await second

    first, second = asyncio.run(scenario())
    assert len(sent) == 1
    assert first.state is None
    assert second.state is JobState.COMPLETED


def test_jobs_that_waited_for_a_takeover_use_all_cells():
    """All of them went to the first cell, which refused most of them."""
    sent = []

    async def scenario():
        coordinator = make_coordinator(collect_into(sent))
        coordinator.update_backends([listed('i-1', 'y'), listed('i-2', 'z')])
        runs = [
            asyncio.create_task(
                coordinator.run(make_job(f'j{n}', 1, estimate_ms=300), 2.0)
            )
            for n in range(8)
        ]
        await asyncio.sleep(0.05)
        coordinator.record_load(load('z'))
        await asyncio.sleep(0.03)
        assert not sent
        coordinator.record_load(load('y'))
        await asyncio.sleep(0.03)
        assigned = sent.copy()
        for run in runs:
            run.cancel()
        return assigned

    assigned = asyncio.run(scenario())
    assert {cell for cell, _ in assigned} == {'y', 'z'}
    # 1.6 times 0.3 s and the target, less the time that has passed.
    objectives = [command.objective_s for _, command in assigned]
    assert max(objectives) < 1.6 * 0.3 + 0.06 - 0.07


@pytest.mark.parametrize(
    ('reported', 'listed_cells', 'since_first_s', 'expected'),
    [
        (0, 0, 9.0, False),
        (0, 2, 9.0, True),
        (1, 2, 0.05, True),
        (1, 2, 0.15, False),
        (2, 2, 0.05, False),
    ],
)
def test_a_job_waits_for_more_cells_right_after_a_takeover_only(
    reported, listed_cells, since_first_s, expected
):
    assert must_wait(reported, listed_cells, 1.0, 1.0 + since_first_s) is (
        expected
    )
