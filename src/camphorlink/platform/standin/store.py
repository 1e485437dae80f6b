"""HTTP server of the stand-in store, with fault injection for tests."""

import asyncio
import base64
import struct
from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson
from aiohttp import web

from camphorlink.platform.standin.consumer_groups import ConsumerGroups
from camphorlink.platform.standin.topics import (
    AppendId,
    AppendRefusedError,
    Partition,
    decode_records,
    encode_records,
)

_BOUNDS = struct.Struct('>QQ')
#: Longest body of an append, in bytes.
MAX_CALL_BYTES = 2 * 1024 * 1024
MS_PER_S = 1000
#: Prefix of the paths by which tests control the stand-in.
CONTROL_PREFIX = '/standin/'
#: Topics that only the platform may write to.
PLATFORM_TOPICS = frozenset(('keyed.op', 'keyed.servers'))


class StoreFaults(NamedTuple):
    """Faults that are injected into the store.

    Attributes:
        busy: Whether it refuses each call with status 503.
        delay_s: Delay before each call, in seconds.
        loses_answers: Whether it executes each call and closes the connection
            without an answer.
    """

    busy: bool = False
    delay_s: float = 0
    loses_answers: bool = False


class StoreStandin:
    """Store with topics in memory and the platform's HTTP interface.

    Attributes:
        faults: Faults that are injected at present.
        calls: Number of received calls.
    """

    def __init__(self) -> None:
        """Initializes an empty store without faults."""
        self.faults = StoreFaults()
        self.calls = 0
        self._partition_by_name: dict[tuple[str, str], Partition] = {}
        self._groups = ConsumerGroups()

    def build_app(self) -> web.Application:
        """Returns the application with all calls of the store."""
        app = web.Application(
            client_max_size=MAX_CALL_BYTES,
            middlewares=[self._inject_faults],
        )
        app.add_routes(
            [
                web.post('/v1/log-append', self.append),
                web.get('/v1/log-read', self.read),
                web.post('/v1/log-trim', self.trim),
                web.get('/v1/log-newest', self.read_newest),
                web.post('/v1/log-join', self._groups.join),
                web.post('/v1/log-leave', self._groups.leave),
                web.post('/v1/log-commit', self._groups.commit),
                web.get('/v1/log-owners', self._groups.owners),
            ],
        )
        return app

    def partition(self, topic: str, part: str = '0') -> Partition:
        """Returns a partition, which is created on first use."""
        return self._partition_by_name.setdefault((topic, part), Partition())

    def publish(self, topic: str, key: str, document: Any) -> None:
        """Publishes a document under a key; ``None`` deletes the key."""
        value = b'' if document is None else orjson.dumps(document)
        encoded = key.encode()
        record = bytes((len(encoded),)) + encoded + value
        self.partition(topic).append([record], None, None)

    async def append(self, request: web.Request) -> web.Response:
        """Appends the records in the body of a request."""
        query = request.query
        if query['topic'] in PLATFORM_TOPICS:
            return web.json_response({}, status=403)
        append_id = _read_append_id(query)
        records = decode_records(await request.read())
        expected_offset = query.get('at')
        partition = self.partition(query['topic'], query['part'])
        try:
            answer = partition.append(
                records,
                None if expected_offset is None else int(expected_offset),
                append_id,
            )
        except AppendRefusedError as exc:
            return web.json_response(exc.answer, status=exc.status)
        return web.json_response(answer)

    async def read(self, request: web.Request) -> web.Response:
        """Returns records from an offset, waiting for one if requested."""
        query = request.query
        partition = self.partition(query['topic'], query['part'])
        offset = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / MS_PER_S
        if offset >= partition.end_offset and wait_s:
            appended = partition.appended
            try:
                await asyncio.wait_for(appended.wait(), wait_s)
            except TimeoutError:
                offset = max(offset, partition.end_offset)
        if offset < partition.first_offset:
            error_body = {'first_offset': partition.first_offset}
            return web.json_response(error_body, status=410)
        records = partition.records[offset - partition.first_offset :]
        bounds = _BOUNDS.pack(partition.end_offset, partition.first_offset)
        return web.Response(body=bounds + encode_records(records))

    async def trim(self, request: web.Request) -> web.Response:
        """Deletes the records before an offset."""
        document = await request.json()
        partition = self.partition(document['topic'], str(document['part']))
        partition.trim(int(document['before_offset']))
        return web.json_response({})

    async def read_newest(self, request: web.Request) -> web.Response:
        """Returns the newest record of each key."""
        partition = self.partition(
            request.query['topic'],
            request.query['part'],
        )
        items = [
            {
                'key': key,
                'value': base64.b64encode(entry).decode(),
                'offset': offset,
            }
            for key, (offset, entry) in sorted(partition.read_newest().items())
        ]
        answer = {
            'items': items,
            'has_more': False,
            'end_offset': partition.end_offset,
        }
        return web.json_response(answer)

    @web.middleware
    async def _inject_faults(
        self,
        request: web.Request,
        handler: Any,
    ) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.busy:
            return web.json_response({}, status=503)
        response = await handler(request)
        if self.faults.loses_answers and request.transport is not None:
            request.transport.abort()
        return response


def _read_append_id(query: Mapping[str, str]) -> AppendId | None:
    producer = query.get('producer')
    if producer is None:
        return None
    return AppendId(producer, int(query['epoch']), int(query['sequence']))
