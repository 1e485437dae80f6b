"""Tests how a VM follows the job log, and helps a peer that can't."""

import asyncio

import cbor2

from camphorlink.internal.core.process.job_snapshot import (
    encode_snapshot,
    read_snapshot,
)
from camphorlink.internal.core.process.job_table import JobTable
from camphorlink.internal.core.request.job_record_codec import encode_record
from camphorlink.internal.core.request.job_records import CellClaimed
from camphorlink.internal.shell.ports import LogPage
from camphorlink.internal.shell.process import job_log
from camphorlink.store_errors import StoreUnansweredError
from processes import wait_until_async


class Store:
    """One topic in memory, whose reads at the end wait for a record."""

    def __init__(self):
        self.records = []
        self.reads = 0
        self.is_away = False

    async def read(self, topic, offset, timeout_s, wait_s=0):
        self.reads += 1
        if self.is_away:
            raise StoreUnansweredError('away')
        deadline = asyncio.get_running_loop().time() + wait_s
        while len(self.records) <= offset:
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(0.005)
        return LogPage(tuple(self.records[offset:]), len(self.records))

    async def read_newest(self, topic, timeout_s):
        return [], 0


class Listener:
    def __init__(self):
        self.changes = []

    def handle_change(self, change):
        self.changes.append(change)

    def handle_reset(self):
        raise AssertionError('no snapshot was written')

    def announce(self, offset, records):
        raise AssertionError('nothing was appended')


def claim(term):
    return encode_record(CellClaimed('z', term, f'm#{term}'))


async def wait_until(condition):
    await wait_until_async(condition, 5)


def follow(scenario):
    async def run():
        store = Store()
        log = job_log.JobLog(store, 'me', Listener())
        async with log:
            await wait_until(lambda: log.is_caught_up)
            await scenario(store, log)

    asyncio.run(run())


def test_a_record_is_applied_as_soon_as_it_is_stored():
    async def scenario(store, log):
        for term in range(3):
            store.records.append(claim(term))
            await asyncio.sleep(0.2)
            assert log.table.owner_of('z').member == f'm#{term}'

    follow(scenario)


def test_an_idle_log_is_confirmed_by_about_one_read_a_second():
    async def scenario(store, log):
        reads = store.reads
        confirmed_s = log.confirmed_s
        await asyncio.sleep(2 * job_log.FOLLOW_WAIT_S + 0.2)
        assert log.confirmed_s > confirmed_s
        assert store.reads - reads <= 3

    follow(scenario)


def test_records_that_come_all_the_time_do_not_cause_a_read_each():
    async def scenario(store, log):
        reads = store.reads
        for term in range(100):
            store.records.append(claim(term))
            await asyncio.sleep(0.005)
        await wait_until(lambda: log.table.next_offset == 100)
        assert store.reads - reads <= 20

    follow(scenario)


def test_nothing_is_confirmed_while_the_store_is_away():
    async def scenario(store, log):
        store.is_away = True
        await asyncio.sleep(job_log.FOLLOW_WAIT_S + 0.2)
        confirmed_s = log.confirmed_s
        await asyncio.sleep(0.5)
        assert log.confirmed_s == confirmed_s

    follow(scenario)


def test_a_peer_gets_the_records_from_its_offset_on():
    async def scenario(store, log):
        store.records.extend(claim(term) for term in range(4))
        await wait_until(lambda: log.table.next_offset == 4)
        assert log.recent_records(1) == tuple(store.records[1:])
        assert log.recent_records(4) == ()
        assert log.recent_records(9) == ()

    follow(scenario)


NESTED = b'\x81' * 390 + b'\x00'
#: Records of other writers: no CBOR, unknown kinds, fields of other types.
ODD_RECORDS = (
    b'',
    b'\xff',
    NESTED,
    cbor2.dumps(5),
    cbor2.dumps(['unknown', 1]),
    cbor2.dumps([['cancelled'], 'a']),
    cbor2.dumps(['cancelled', ['a']]),
    cbor2.dumps(['claimed', ['z'], 0, 'm']),
    cbor2.dumps(['accepted', 5, 5]),
    cbor2.dumps(['accepted', [['a'], {}, None], [5]]),
    cbor2.dumps(['ended', 'z', 0, [['a', 0, 0, 1, True]] * 2]),
    cbor2.dumps(['commanded', 'z', 0, [['i', 10**400]], [5]]),
    cbor2.dumps(['crashed', 'i', 1, [['a', 0]], 'observed']),
    cbor2.dumps(['survived', ['i'], 1]),
    cbor2.dumps(['snapshot', 'odd']),
)


def test_odd_record_ends_the_reader_of_the_log():
    async def scenario(store, log):
        for number, odd in enumerate(ODD_RECORDS):
            store.records += [odd, claim(number)]
            await wait_until(
                lambda: log.table.next_offset == len(store.records)
            )
            assert log.table.owner_of('z').term == number + 1
        assert log.counts['unreadable-record'] >= len(ODD_RECORDS) - 2

    follow(scenario)


def test_change_that_can_t_be_handled_ends_the_reader_of_the_log(caplog):
    async def scenario(store, log):
        def fail(change):
            raise LookupError('unforeseen')

        log._listener.handle_change = fail
        store.records.append(claim(0))
        await wait_until(lambda: log.table.next_offset == 1)
        store.records.append(claim(1))
        await wait_until(lambda: log.table.next_offset == 2)

    follow(scenario)
    assert 'unforeseen' in caplog.text


def test_unforeseen_error_of_a_read_ends_the_reader_of_the_log(caplog):
    async def scenario(store, log):
        read = store.read
        failures = [RecursionError('unforeseen')]

        async def fail_once(*arguments):
            if failures:
                raise failures.pop()
            return await read(*arguments)

        store.read = fail_once
        await wait_until(lambda: not failures)
        store.records.append(claim(0))
        await wait_until(lambda: log.table.next_offset == 1)

    follow(scenario)
    assert 'unforeseen' in caplog.text


def test_odd_chunk_hides_the_newest_snapshot():
    table = JobTable()
    table.apply(CellClaimed('z', 0, 'm#1'))
    odd = [NESTED, b'\xff', cbor2.dumps([1, 2]), cbor2.dumps([None] * 4)]
    odd += [cbor2.dumps([99, 0, 1, b'\xff']), cbor2.dumps([[], 0, 1, b''])]
    unreadable = []
    chunks = [('odd', chunk) for chunk in odd]
    chunks += [('m', chunk) for chunk in encode_snapshot(table, 1 << 20)]
    restored = read_snapshot(chunks, lambda *args: unreadable.append(args))
    assert restored.owner_of('z').member == 'm#1'
    assert len(unreadable) == len(odd)
