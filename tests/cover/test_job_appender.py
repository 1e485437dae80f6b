"""Records are appended exactly once; refused records are never stored.

The store refuses appends, or loses the request or the answer.
"""

import asyncio

import pytest

from camphorlink.internal.shell.process.job_appender import JobAppender
from camphorlink.store_errors import (
    JobNotStoredError,
    StoreRefusedError,
    StoreUnansweredError,
)


class ScriptedStore:
    """Store that answers appends with scripted outcomes, then accepts all."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.records = []
        self.offset_by_sequence = {}
        self.calls = []

    async def append(self, topic, records, timeout_s, append_id=None):
        self.calls.append((append_id.sequence, tuple(records)))
        outcome = self.outcomes.pop(0) if self.outcomes else 'done'
        if outcome == 'refused':
            raise StoreRefusedError('busy')
        if outcome == 'lost-before':
            raise StoreUnansweredError('no answer')
        if append_id.sequence not in self.offset_by_sequence:
            self.offset_by_sequence[append_id.sequence] = len(self.records)
            self.records.extend(records)
        if outcome == 'lost-after':
            raise StoreUnansweredError('no answer')
        return self.offset_by_sequence[append_id.sequence]


def run(store, scenario):
    async def body():
        appended = []
        appender = JobAppender(
            store,
            'topic',
            'me',
            lambda offset, records: appended.append((offset, list(records))),
        )
        async with appender:
            await asyncio.wait_for(scenario(appender), 5)
        return appended

    return asyncio.run(body())


def test_records_queued_together_share_an_append():
    store = ScriptedStore()

    async def scenario(appender):
        offsets = await asyncio.gather(
            *(appender.append(bytes((n,)), is_durable=True) for n in range(5)),
        )
        assert offsets == [0, 1, 2, 3, 4]

    run(store, scenario)
    assert len(store.calls) == 1


@pytest.mark.parametrize('lost', ['lost-before', 'lost-after'])
def test_an_unanswered_append_is_retried_with_the_same_sequence_number(lost):
    store = ScriptedStore(lost, lost)

    async def scenario(appender):
        assert await appender.append(b'a', is_durable=False) == 0

    appended = run(store, scenario)
    assert store.records == [b'a']
    assert {sequence for sequence, _ in store.calls} == {1}
    assert appended == [(0, [b'a'])]


def test_a_record_refused_on_every_attempt_is_not_stored():
    store = ScriptedStore('refused')

    async def scenario(appender):
        with pytest.raises(JobNotStoredError):
            await appender.append(b'a', is_durable=False)
        assert await appender.append(b'b', is_durable=False) == 0

    run(store, scenario)
    assert store.records == [b'b']


def test_a_record_that_may_be_stored_is_never_reported_as_refused():
    store = ScriptedStore('lost-after', 'refused', 'refused')

    async def scenario(appender):
        assert await appender.append(b'a', is_durable=False) == 0

    run(store, scenario)
    assert store.records == [b'a']


def test_a_durable_record_is_retried_after_refusals():
    store = ScriptedStore('refused', 'refused')

    async def scenario(appender):
        assert await appender.append(b'a', is_durable=True) == 0

    run(store, scenario)


def test_unanswered_appends_mark_the_appender_as_stalled():
    store = ScriptedStore(*['lost-before'] * 30)

    async def scenario(appender):
        appender.append(b'a', is_durable=True)
        while not appender.is_stalled:
            await asyncio.sleep(0.05)
        assert appender.counts['unanswered'] > 1

    run(store, scenario)


def test_unforeseen_error_ends_all_appends(caplog):
    store = ScriptedStore()
    append = store.append
    failures = [ValueError('unforeseen'), RecursionError('unforeseen')]

    async def fail_twice(*arguments):
        if failures:
            raise failures.pop()
        return await append(*arguments)

    async def scenario(appender):
        store.append = fail_twice
        assert await appender.append(b'a', is_durable=False) == 0
        assert await appender.append(b'b', is_durable=True) == 1

    run(store, scenario)
    assert store.records == [b'a', b'b']
    assert 'append failed unexpectedly' in caplog.text


def test_stored_record_that_can_t_be_applied_ends_all_appends(caplog):
    def fail(offset, records):
        raise LookupError('unforeseen')

    async def body():
        async with JobAppender(
            ScriptedStore(), 'topic', 'me', fail
        ) as appender:
            for offset in range(2):
                stored = appender.append(b'a', is_durable=True)
                assert await asyncio.wait_for(stored, 5) == offset

    asyncio.run(body())
    assert 'unforeseen' in caplog.text
