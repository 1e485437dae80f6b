"""Faults of planned stops that the specification's mutations point at."""

import random

from test_handover import owners_of

from camphorlink.internal.core.connection.submission_messages import (
    ChunkReply,
    TableChunk,
)
from camphorlink.internal.core.process import messages
from cores import Cores, job_of

RESEND_S = 0.3


def seal(cores, vm):
    cores.post(vm, messages.Drain())
    cores.post(vm, messages.Seal())


def started(*vms):
    made = Cores(*vms, rng=random.Random(7))
    made.show_members()
    return made


def named_successor(cores):
    return [to for _vm, to, said in cores.sent if isinstance(said, TableChunk)]


def test_a_successor_that_starts_again_takes_no_part_meant_for_the_old_one():
    cores = started('a', 'b')
    cores.lose = lambda _from, _to, said: isinstance(said, ChunkReply)
    named = cores.mint('a')
    seal(cores, 'a')
    cores.run(RESEND_S / 2)
    cores.submit('b', named, job_of())
    cores.run(RESEND_S / 4)
    assert set(cores.starts.values()) == {1}
    cores.start('b')
    cores.run(RESEND_S)
    cores.submit('b', named, job_of())
    cores.run(1)
    assert set(cores.starts.values()) == {1}


def test_a_successor_that_refused_a_table_never_owns_it():
    cores = started('a', 'b', 'c')
    home = cores.core_by_vm['a'].home
    seal(cores, 'a')
    first = named_successor(cores)[0]
    chunk = next(said for _f, _to, said in cores.sent)
    full = chunk._replace(total=2)
    taker = cores.core_by_vm[first]
    for number in range(4):
        table = f'larissa.x.{number:016x}'
        said = messages.PeerSaid(home, full._replace(table=table))
        cores.post(first, said)
    cores.run(RESEND_S / 2)
    refusals = [
        said
        for _vm, _to, said in cores.sent
        if isinstance(said, ChunkReply) and not said.is_accepted
    ]
    assert refusals
    # Room again, and a copy of the part that comes late.
    taker.timers.advance(cores.now + 61)
    cores.post(first, messages.PeerSaid(home, chunk))
    cores.run(2)
    assert len([vm for vm in owners_of(cores, home) if vm != 'a']) == 1
