"""Guards against hand-over faults found by mutating the specification."""

import random

from test_handover import find_owners

from camphorlink.internal.core.connection.submission_messages import (
    ChunkReply,
    TableChunk,
)
from camphorlink.internal.core.process import messages
from cores import Cores, build_job

RESEND_PERIOD_S = 0.3


def drain_and_seal(cores, vm):
    cores.post(vm, messages.Drain())
    cores.post(vm, messages.Seal())


def start_cores(*vms):
    new_cores = Cores(*vms, rng=random.Random(7))
    new_cores.show_members()
    return new_cores


def list_successors(cores):
    return [
        to for _vm, to, message in cores.sent if isinstance(message, TableChunk)
    ]


def test_a_restarted_successor_ignores_chunks_for_its_former_incarnation():
    cores = start_cores('a', 'b')
    cores.lose = lambda _from, _to, message: isinstance(message, ChunkReply)
    submission_id = cores.mint('a')
    drain_and_seal(cores, 'a')
    cores.run(RESEND_PERIOD_S / 2)
    cores.submit('b', submission_id, build_job())
    cores.run(RESEND_PERIOD_S / 4)
    assert set(cores.starts.values()) == {1}
    cores.start('b')
    cores.run(RESEND_PERIOD_S)
    cores.submit('b', submission_id, build_job())
    cores.run(1)
    assert set(cores.starts.values()) == {1}


def test_a_successor_that_refused_a_table_never_owns_it():
    cores = start_cores('a', 'b', 'c')
    home = cores.core_by_vm['a'].home
    drain_and_seal(cores, 'a')
    first = list_successors(cores)[0]
    chunk = next(message for _f, _to, message in cores.sent)
    full = chunk._replace(total=2)
    receiver = cores.core_by_vm[first]
    for number in range(4):
        table = f'larissa.x.{number:016x}'
        message = messages.PeerSaid(home, full._replace(table=table))
        cores.post(first, message)
    cores.run(RESEND_PERIOD_S / 2)
    refusals = [
        message
        for _vm, _to, message in cores.sent
        if isinstance(message, ChunkReply) and not message.is_accepted
    ]
    assert refusals
    # The receiver has capacity again when a duplicate of the chunk arrives.
    receiver.timers.advance(cores.now + 61)
    cores.post(first, messages.PeerSaid(home, chunk))
    cores.run(2)
    assert len([vm for vm in find_owners(cores, home) if vm != 'a']) == 1
