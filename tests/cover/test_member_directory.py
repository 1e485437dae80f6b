"""Tests that an odd entry among those of the VMs hides no VM."""

import asyncio

import cbor2
import pytest

from camphorlink.internal.core.process.cell_ownership import ListedMember
from camphorlink.internal.shell.connection.mesh import Address
from camphorlink.internal.shell.process import member_directory
from processes import wait_until_async
from simulated_store import SimulatedStore, StoreAccess

ODD_ENTRIES = (
    b'\xff',
    b'\x81' * 390 + b'\x00',
    cbor2.dumps(5),
    cbor2.dumps(['m', '10.0.0.1', 80, 'z']),
    cbor2.dumps(['m', '10.0.0.1', 99999, 'z', 1.0]),
    cbor2.dumps(['m', '10.0.0.1', -1, 'z', 1.0]),
    cbor2.dumps(['m', '10.0.0.1', 'http', 'z', 1.0]),
    cbor2.dumps(['m', 5, 80, 'z', 1.0]),
    cbor2.dumps(['m', '10.0.0.1', 80, ['z'], 1.0]),
    cbor2.dumps(['m', '10.0.0.1', 80, 'z', 10**400]),
    cbor2.dumps(['m', '10.0.0.1', 80, 'z', float('inf')]),
    cbor2.dumps(['m', '10.0.0.1', 80, 'z', []]),
)


class Mesh:
    address = Address('10.0.0.9', 80)


def follow(scenario, on_change):
    async def run():
        store = StoreAccess(SimulatedStore())
        directory = member_directory.MemberDirectory(
            'me', ListedMember('me#1', 'z', 1.0), Mesh, store, on_change
        )
        async with directory:
            await scenario(store, directory)

    asyncio.run(run())


@pytest.fixture(autouse=True)
def short_periods(monkeypatch):
    monkeypatch.setattr(member_directory, 'CHANGES_PAUSE_S', 0.01)
    monkeypatch.setattr(member_directory, 'STORE_RETRY_DELAY_S', 0.05)


async def add_vm(store, directory, name):
    entry = cbor2.dumps([f'{name}#1', '10.0.0.1', 80, 'z', 1.0])
    await store.append(
        member_directory.MEMBERS_TOPIC, [store.encode_keyed(name, entry)], 1
    )
    await wait_until_async(
        lambda: f'{name}#1' in {entry.member for entry in directory.listed}, 5
    )


def test_vm_that_joins_after_an_odd_entry_is_never_known():
    async def scenario(store, directory):
        for number, odd in enumerate(ODD_ENTRIES):
            record = store.encode_keyed(f'odd-{number}', odd)
            await store.append(member_directory.MEMBERS_TOPIC, [record], 1)
            await add_vm(store, directory, f'vm-{number}')
        assert len(directory.listed) == len(ODD_ENTRIES)

    follow(scenario, lambda entries: None)


def test_unforeseen_error_ends_the_reader_of_the_members(caplog):
    failures = [LookupError('unforeseen')]

    def fail_once(entries):
        if failures:
            raise failures.pop()

    async def scenario(store, directory):
        await wait_until_async(lambda: not failures, 5)
        await add_vm(store, directory, 'vm-1')

    follow(scenario, fail_once)
    assert 'unforeseen' in caplog.text
