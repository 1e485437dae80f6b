"""A simulated store, and the directory of back ends in it.

Each VM reaches the store through an access of its own, which the faults of
that VM apply to.
"""

import asyncio
import collections

from camphorlink.internal.core.version.zone_drains import DrainRecord
from camphorlink.internal.shell.ports import JobConfig, KeyedRecord, LogPage
from camphorlink.store_errors import StoreTrimmedError, StoreUnansweredError

STORE_CALL_S = 0.004
CONFIG_TOPIC = 'keyed.config'
BACKENDS_TOPIC = 'keyed.backends'
DRAIN_PREFIX = 'drain/'
_DRAIN_BY_CONTENT = {
    b'{}': DrainRecord.REQUESTED,
    b'': DrainRecord.CANCELLED,
}


class _Topic:
    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.offset_by_append = {}
        self.changed = asyncio.Event()

    def append(self, records, append_id):
        """Appends records once for each append identifier."""
        if append_id in self.offset_by_append:
            return self.offset_by_append[append_id]
        offset = len(self.records)
        self.records.extend(records)
        if append_id is not None:
            self.offset_by_append[append_id] = offset
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class SimulatedStore:
    """Topics in memory."""

    def __init__(self):
        self.topics = collections.defaultdict(_Topic)


class StoreAccess:
    """Access of one VM to the store; implements ``LogPort``.

    Attributes:
        is_cut: Whether neither calls nor answers arrive.
        loses_answers: Whether calls are executed and not answered.
        unanswered_topics: Topics whose calls are executed and not answered.
        delay_s: Additional delay of each call, in seconds.
    """

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self.loses_answers = False
        self.unanswered_topics = set()
        self.delay_s = 0.0

    async def append(self, topic, records, timeout_s, append_id=None):
        await self._request(timeout_s)
        offset = self._store.topics[topic].append(records, append_id)
        await self._answer(topic, timeout_s)
        return offset

    async def read(self, topic, offset, timeout_s, wait_s=0):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        await self._request(timeout_s)
        stored = self._store.topics[topic]
        if offset < stored.first_offset:
            raise StoreTrimmedError(stored.first_offset)
        wait_end_s = loop.time() + wait_s
        while len(stored.records) <= offset and loop.time() < wait_end_s:
            try:
                await asyncio.wait_for(
                    stored.changed.wait(), wait_end_s - loop.time()
                )
            except TimeoutError:
                break
        if offset < stored.first_offset:
            raise StoreTrimmedError(stored.first_offset)
        page = LogPage(tuple(stored.records[offset:]), len(stored.records))
        await self._answer(topic, end_s - loop.time())
        return page

    async def read_newest(self, topic, timeout_s):
        await self._request(timeout_s)
        records = self._store.topics[topic].records
        newest = dict(map(decode_keyed, records))
        items = [
            KeyedRecord(key, content)
            for key, content in newest.items()
            if content
        ]
        end_offset = len(records)
        await self._answer(topic, timeout_s)
        return items, end_offset

    def encode_keyed(self, key, content):
        encoded = key.encode()
        return bytes((len(encoded),)) + encoded + content

    async def _request(self, timeout_s):
        await asyncio.sleep(STORE_CALL_S / 2 + self.delay_s)
        if self.is_cut:
            await self._time_out(timeout_s)

    async def _answer(self, topic, timeout_s):
        await asyncio.sleep(STORE_CALL_S / 2)
        is_lost = self.loses_answers or topic in self.unanswered_topics
        if self.is_cut or is_lost:
            await self._time_out(timeout_s)

    async def _time_out(self, timeout_s):
        await asyncio.sleep(max(timeout_s, 0))
        raise StoreUnansweredError('no answer')


def decode_keyed(record):
    """Returns key and content of a record of a keyed topic."""
    length = record[0]
    return record[1 : length + 1].decode(), record[length + 1 :]


class SimulatedDirectory:
    """Back ends by the keys of the records; implements ``DirectoryPort``."""

    config_topic = CONFIG_TOPIC
    backends_topic = BACKENDS_TOPIC

    def __init__(self, listed_by_id):
        self._listed_by_id = listed_by_id
        self.counts = collections.Counter()
        self.clock_by_id = {}

    def decode_config(self, records):
        return JobConfig(1, (), 1 << 20) if records else None

    def decode_drains(self, records):
        return {
            key.removeprefix(DRAIN_PREFIX): _DRAIN_BY_CONTENT.get(
                content, DrainRecord.UNREADABLE
            )
            for key, content in map(decode_keyed, records)
            if key.startswith(DRAIN_PREFIX)
        }

    def decode_backends(self, records):
        keys = [key for key, _ in map(decode_keyed, records)]
        return {key: self._listed_by_id.get(key) for key in keys}
