"""Tests that odd entries of other writers name no back end and stop no reader.

One entry with a deeply nested field, a number out of range or an address that
is none made all VMs stop to follow the list of back ends.
"""

import asyncio

import orjson
import pytest

from camphorlink.internal.shell.ports import KeyedRecord, LogPage
from camphorlink.internal.shell.process import published_state
from camphorlink.internal.shell.process.published_drains import (
    PublishedDrains,
)
from camphorlink.platform.directory import Directory
from camphorlink.platform.standin.site import CONFIG
from odd_documents import Nested, encode
from platform_site import RUNNER

#: Depths around that at which formatting a value exhausts the stack.
DEPTHS = (40, 400, 970, *range(990, 1020, 3))


def keyed(key, content):
    return bytes((len(key),)) + key.encode() + content


def decode(content):
    directory = Directory()
    records = [keyed('odd', content), keyed('good', orjson.dumps(RUNNER))]
    return directory, directory.decode_backends(records)


def check_skipped(content):
    directory, backends = decode(content)
    assert list(backends) == ['good']
    assert directory.counts['runner'] == 1


@pytest.mark.parametrize('field', [name for name in RUNNER if name not in
    {'version', 'slots', 'cold_remaining_ms', 'clock_ms', 'sequence'}
])  # fmt: skip
@pytest.mark.parametrize('depth', DEPTHS)
@pytest.mark.parametrize('as_object', [False, True])
def test_deeply_nested_field_stops_the_reader(field, depth, as_object):
    check_skipped(encode(RUNNER | {field: Nested(depth, as_object)}))


def test_deeply_nested_label_stops_the_reader():
    for depth in DEPTHS:
        check_skipped(encode(RUNNER | {'labels': ['a', Nested(depth)]}))


@pytest.mark.parametrize(
    'address',
    [
        '', ':80', '10.0.0.1', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:-1',
        '10.0.0.1:99999', '10.0.0.1:http', '10.0.0.1:8 0', '10.0.0.1:80/x',
        'user@10.0.0.1:80', '[::1]:80', 'larissa:80', '10.0.0.1:٣', 80,
        '10.0.0.1:' + '9' * 5000, '10.0.0.1:' + '0' * 5000,
    ],
)  # fmt: skip
def test_back_end_is_listed_at_an_address_that_is_none(address):
    check_skipped(orjson.dumps(RUNNER | {'address': address}))


@pytest.mark.parametrize('number', [2**64 - 1, 2**53, -1, -0.5, 1e308, '1'])
@pytest.mark.parametrize('field', ['born', 'remaining_ms', 'cpu', 'gpu'])
def test_back_end_is_listed_with_a_number_out_of_range(field, number):
    odd = RUNNER | {'state': 'draining', field: number}
    if field in RUNNER['capacity']:
        odd['capacity'] = RUNNER['capacity'] | {field: number}
    check_skipped(orjson.dumps(odd))


def test_time_with_a_fraction_hides_that_a_back_end_drains():
    draining = RUNNER | {'state': 'draining', 'remaining_ms': 1.5}
    _, backends = decode(orjson.dumps(draining))
    assert backends['odd'].is_draining
    assert backends['odd'].remaining_ms == 1


@pytest.mark.parametrize(
    'content', [b'', b'\xff', b'1e400', b'[' * 5000, b'{"a":' * 1100, b'""']
)
def test_bytes_that_are_no_entry_stop_the_reader(content):
    _, backends = decode(content)
    assert backends['good'].address == RUNNER['address']


def test_deeply_nested_configuration_replaces_the_last_version():
    directory = Directory()
    odd = CONFIG | {'version': 99, 'routes': [Nested(1000)]}
    share = CONFIG['routes'][0] | {'share': Nested(1000)}
    records = [
        keyed('config', encode(document))
        for document in (CONFIG, odd, CONFIG | {'routes': [share]})
    ]
    config = directory.decode_config(records)
    assert config.version == CONFIG['version']
    assert directory.counts['config'] == 2


class Store:
    """A store with a list of back ends; it has no other records."""

    def __init__(self):
        self.entries = []

    async def read(self, topic, offset, timeout_s, wait_s=0):
        await asyncio.sleep(wait_s)
        if topic != Directory.backends_topic:
            return LogPage((), 0)
        records = tuple(keyed(*entry) for entry in self.entries)
        return LogPage(records[offset:], len(records))

    async def read_newest(self, topic, timeout_s):
        if topic != Directory.backends_topic:
            return [], 0
        return [KeyedRecord(*entry) for entry in self.entries], len(
            self.entries
        )

    encode_keyed = staticmethod(keyed)


def follow(scenario, monkeypatch, on_listing=None):
    """Plays a scenario, a coroutine function of a store and what is read."""
    monkeypatch.setattr(published_state, 'DISTANT_BACKENDS_PERIOD_S', 0.02)
    monkeypatch.setattr(published_state, 'MIN_BACKENDS_PERIOD_S', 0.01)
    monkeypatch.setattr(published_state, 'RETRY_DELAY_S', 0.02)

    async def run():
        store = Store()
        directory = Directory()
        drains = PublishedDrains(directory, ('z',), lambda *_: None)
        state = published_state.PublishedState(
            store, directory, on_listing or (lambda _: None), drains
        )
        async with state:
            await scenario(store, state, directory)

    asyncio.run(run())


async def wait_for(condition):
    for _ in range(100):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError('not in time')


async def add_back_ends(store, state, _directory):
    """Lists an odd entry, then a back end, which must be used."""
    for depth in DEPTHS:
        odd = encode(RUNNER | {'zone': Nested(depth)})
        store.entries.append((f'odd-{depth}', odd))
        good = f'good-{depth}'
        store.entries.append((good, orjson.dumps(RUNNER)))
        await wait_for(lambda name=good: name in state.listed_by_id)


def test_back_end_that_joins_after_an_odd_entry_is_never_used(monkeypatch):
    follow(add_back_ends, monkeypatch)


def test_unforeseen_error_ends_the_reader_of_the_list(monkeypatch, caplog):
    failures = [LookupError('unforeseen'), RecursionError('unforeseen')]

    def fail_twice(_is_changed):
        if failures:
            raise failures.pop()

    async def scenario(store, state, directory):
        store.entries.append(('i-1', orjson.dumps(RUNNER)))
        await wait_for(lambda: not failures)
        store.entries.append(('i-2', orjson.dumps(RUNNER)))
        await wait_for(lambda: 'i-2' in state.listed_by_id)

    follow(scenario, monkeypatch, fail_twice)
    assert 'unforeseen' in caplog.text


def test_unforeseen_error_of_one_entry_hides_the_others(monkeypatch, caplog):
    def fail(directory, entry):
        if entry.key == 'odd':
            raise AttributeError('unforeseen')
        return read(directory, entry)

    read = Directory._read_report
    monkeypatch.setattr(Directory, '_read_report', fail)
    _, backends = decode(orjson.dumps(RUNNER))
    assert list(backends) == ['good']
    assert 'runner entry skipped' in caplog.text
