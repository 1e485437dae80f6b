"""Checks that a table handed over in a planned stop has at most one owner."""

import random

import pytest

from camphorlink.internal.core.connection import submission_messages as peers
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.core.request.home_table import (
    Ending,
    HomeTable,
    TableLimits,
)
from camphorlink.internal.core.request.identifiers import (
    Home,
    mint_submission_id,
)
from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.table_chunks import (
    restore_table,
    split_table,
)
from cores import WALL_S, Cores, build_job


def start_cores(*vms):
    new_cores = Cores(*vms, rng=random.Random(4))
    new_cores.show_members()
    return new_cores


def stop_planned(cores, vm, seconds=5):
    """Performs a planned stop: drains, waits, seals and hands over."""
    cores.post(vm, messages.Drain())
    cores.run(1)
    cores.post(vm, messages.Seal())
    cores.run(seconds)


def find_owners(cores, home):
    return [
        vm
        for vm, core in cores.core_by_vm.items()
        if core.tables.find(home) is not None
        and not core.tables.is_sealed(home)
    ]


def test_the_successor_answers_for_the_table_without_rerunning_tasks():
    cores = start_cores('a', 'b', 'c')
    ran, refused, unseen = cores.mint('a'), cores.mint('a'), cores.mint('a')
    cores.submit('a', ran, build_job(2))
    cores.run(1)
    cores.post('a', messages.Drain())
    cores.submit('a', refused, build_job())
    cores.post('a', messages.Seal())
    cores.run(2)
    home = cores.core_by_vm['a'].home
    assert cores.core_by_vm['a'].is_handed_over
    assert len(find_owners(cores, home)) == 1
    cores.down.add('a')
    deadline = cores.now + 5
    callers = {
        submission_id: [
            cores.submit(vm, submission_id, build_job(2, deadline))
            for vm in 'bc'
        ]
        for submission_id in (ran, unseen)
    }
    late = [cores.submit(vm, refused, build_job(1, deadline)) for vm in 'bc']
    cores.run(2)
    for asked in callers.values():
        for caller in asked:
            assert cores.answer_of(caller).outcome is Outcome.COMPLETE
    for caller in late:
        assert cores.answer_of(caller).outcome is Outcome.NOT_RUN
    assert set(cores.starts.values()) == {1}
    assert (str(refused), 't0') not in cores.starts


def test_a_late_submission_at_the_sealed_home_runs_at_the_successor():
    cores = start_cores('a', 'b')
    submission_id = cores.mint('a')
    cores.post('a', messages.Drain())
    cores.post('a', messages.Seal())
    caller = cores.submit('a', submission_id, build_job())
    cores.run(2)
    assert cores.answer_of(caller).outcome is Outcome.COMPLETE
    assert set(cores.starts.values()) == {1}


def test_a_lost_chunk_is_resent():
    cores = start_cores('a', 'b')
    cores.submit('a', cores.mint('a'), build_job())
    cores.run(1)
    lost = iter([True, False])
    cores.lose = lambda *_what: next(lost, False)
    stop_planned(cores, 'a')
    assert find_owners(cores, cores.core_by_vm['a'].home) == ['b']


@pytest.mark.parametrize('seed', range(60))
def test_an_interrupted_hand_over_leaves_one_owner_or_none(seed):
    rng = random.Random(seed)
    cores = start_cores('a', 'b', 'c', 'd')
    for _number in range(60):
        submission_id = cores.mint('a')
        cores.submit('a', submission_id, build_job(3, payload='x' * 9000))
    cores.run(1)
    home = cores.core_by_vm['a'].home
    cut_after = rng.randrange(1, 40)
    loss = rng.choice((0.1, 0.4))

    def lose(_sender, _to, _message):
        if len(cores.sent) > cut_after:
            cores.down.add(rng.choice('abcd'))
            return True
        return rng.random() < loss

    cores.lose = lose
    stop_planned(cores, 'a', seconds=20)
    assert len(find_owners(cores, home)) <= 1


def test_a_successor_that_stops_replying_before_the_commit_is_replaced():
    cores = start_cores('a', 'b', 'c')
    cores.submit('a', cores.mint('a'), build_job())
    cores.submit('a', cores.mint('a'), build_job(digest='e'))
    cores.run(1)
    first = []

    def lose(_sender, to, message):
        if isinstance(message, peers.TableChunk):
            first[:] = first or [to]
        return to in first

    table = cores.core_by_vm['a'].table
    table.endings.add(cores.mint('a'), Ending(Outcome.NOT_RUN, None))
    cores.lose = lose
    stop_planned(cores, 'a', seconds=10)
    owners = find_owners(cores, cores.core_by_vm['a'].home)
    assert len(owners) == 1
    assert owners != first


def test_a_stop_without_a_live_peer_completes_without_an_owner():
    cores = start_cores('a', 'b')
    cores.show_members({'b': MemberState.SUSPECT})
    stop_planned(cores, 'a')
    assert cores.core_by_vm['a'].is_handed_over
    assert find_owners(cores, cores.core_by_vm['a'].home) == []


def test_a_table_is_handed_on_by_its_successor():
    cores = start_cores('a', 'b', 'c')
    submission_id = cores.mint('a')
    cores.submit('a', submission_id, build_job())
    cores.run(1)
    stop_planned(cores, 'a')
    cores.down.add('a')
    home = cores.core_by_vm['a'].home
    (second,) = find_owners(cores, home)
    cores.show_members({'a': MemberState.GONE})
    stop_planned(cores, second)
    cores.down.add(second)
    (third,) = find_owners(cores, home)
    assert third not in ('a', second)
    caller = cores.submit(third, submission_id, build_job(1, cores.now + 5))
    cores.run(1)
    assert cores.answer_of(caller).outcome is Outcome.COMPLETE
    assert set(cores.starts.values()) == {1}


def test_a_job_still_running_at_the_seal_is_unknown():
    cores = start_cores('a', 'b')
    cores.silent_tasks = True
    caller = cores.submit('a', cores.mint('a'), build_job())
    cores.post('a', messages.Seal())
    answer = cores.answer_of(caller)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.reason is Reason.VM_STOPPED


def test_a_table_split_into_chunks_is_restored():
    rng = random.Random(4)
    home = Home('larissa', 'a', '0' * 16)
    table = HomeTable(TableLimits(10_000))
    submission_ids = [
        mint_submission_id(home, WALL_S + number / 100, rng)
        for number in range(6000)
    ]
    for number, submission_id in enumerate(submission_ids[:2000]):
        run = table.open_run(
            submission_id, build_job(2, digest=f'd{number}'), 1
        )
        run.mark_started(0)
        run.finish_task(0, 'x' * 2000)
        run.mark_started(1)
        run.finish_task(1, number)
    for submission_id in submission_ids[2000:]:
        table.endings.add(
            submission_id, Ending(Outcome.NOT_RUN, Reason.QUEUE_FULL)
        )
    table.endings.raise_floor(5)
    chunks = split_table(home, 1, table)
    assert all(len(chunk.answers) < 200 for chunk in chunks)
    other = restore_table(reversed(chunks), table.limits)
    assert other.endings.floor_ms == 5
    for number, submission_id in enumerate(submission_ids):
        run = other.find(str(submission_id))
        if run is None:
            assert other.refusal(submission_id, WALL_S + 60) is not None
        else:
            assert run.answer.results_by_task['t1'] == number
            assert run.job.digest == f'd{number}'
    assert other.find(str(submission_ids[1999])) is not None
