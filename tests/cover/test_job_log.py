"""Tests how a VM follows the job log, and helps a peer that can't."""

import asyncio

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
