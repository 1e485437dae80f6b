"""Stand-in for the platform's log service: streams of records with offsets.

Records are kept in memory.  Retention, outages, delays and answers lost after
an append can be injected, since the real service has all of them.
"""

import asyncio
import collections
import time
from typing import Any, NamedTuple

import orjson
from aiohttp import web

from camphorlink.standin.vm_list import VmList

MS_PER_S = 1000
MAX_PAGE_RECORDS = 500
MAX_BODY_BYTES = 16 * 1024 * 1024


class StoredRecord(NamedTuple):
    """A record with its offset and the time of its append."""

    offset: int
    appended_ms: int
    record: Any


class Faults(NamedTuple):
    """Faults that are injected into the log service.

    Attributes:
        down: Whether every request is answered with status 503.
        delay_s: Delay of every request, in seconds.
        lose_answers: Whether the connection is closed after each append, so
            that its answer is lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False


class LogService:
    """Serves append-only streams over HTTP.

    Attributes:
        faults: Faults that are injected now.
        appends: Number of append requests that stored records.
        vms: The platform's list of entry VMs.
    """

    def __init__(self, keep_records: int) -> None:
        """Creates a service without records.

        Args:
            keep_records: Retention: the number of newest records that are
                kept of each stream.
        """
        self.faults = Faults()
        self.appends = 0
        self._records_by_stream: dict[str, collections.deque[StoredRecord]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=keep_records),
            )
        )
        self._next_offset_by_stream: dict[str, int] = collections.defaultdict(
            int
        )
        self._appended = asyncio.Condition()
        self.vms = VmList()

    def build_app(self) -> web.Application:
        """Returns the web application with all routes of the service."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post('/v1/streams/{stream}/records', self.append),
                web.get('/v1/streams/{stream}/records', self.read),
                web.get('/v1/vms', self.list_vms),
                web.put('/standin/vms', self.register_vm),
                web.put('/standin/faults', self.change_faults),
            ]
        )
        return app

    async def append(self, request: web.Request) -> web.Response:
        """Appends the records of a request at consecutive offsets."""
        await self._apply_faults()
        stream = request.match_info['stream']
        records = orjson.loads(await request.read())['records']
        first_offset = self._next_offset_by_stream[stream]
        now_ms = int(time.time() * MS_PER_S)
        for number, record in enumerate(records):
            self._records_by_stream[stream].append(
                StoredRecord(first_offset + number, now_ms, record),
            )
        self._next_offset_by_stream[stream] += len(records)
        self.appends += 1
        async with self._appended:
            self._appended.notify_all()
        if self.faults.lose_answers and request.transport is not None:
            request.transport.close()
        return _json({'first_offset': first_offset})

    async def read(self, request: web.Request) -> web.Response:
        """Returns records from an offset on.

        Waits up to ``wait_ms`` for the first one.
        """
        await self._apply_faults()
        stream = request.match_info['stream']
        from_offset = int(request.query.get('from', '0'))
        wait_s = int(request.query.get('wait_ms', '0')) / MS_PER_S
        await self._await_offset(stream, from_offset, wait_s)
        await self._apply_faults()
        kept = self._records_by_stream[stream]
        next_offset = self._next_offset_by_stream[stream]
        page = [stored for stored in kept if stored.offset >= from_offset]
        return _json(
            {
                'records': [
                    stored._asdict() for stored in page[:MAX_PAGE_RECORDS]
                ],
                'earliest_offset': kept[0].offset if kept else next_offset,
                'next_offset': next_offset,
            }
        )

    async def change_faults(self, request: web.Request) -> web.Response:
        """Replaces the injected faults with those of the request."""
        self.faults = Faults(**orjson.loads(await request.read()))
        return _json(self.faults._asdict())

    async def list_vms(self, request: web.Request) -> web.Response:
        """Returns the list of entry VMs, which lags behind registrations."""
        await self._apply_faults()
        return _json({'vms': self.vms.show(time.monotonic())})

    async def register_vm(self, request: web.Request) -> web.Response:
        """Adds or updates an entry VM; the state ``gone`` removes it."""
        entry = orjson.loads(await request.read())
        self.vms.put(entry, time.monotonic())
        return _json(entry)

    async def _await_offset(
        self,
        stream: str,
        offset: int,
        wait_s: float,
    ) -> None:
        async with self._appended:
            waiting = self._appended.wait_for(
                lambda: self._next_offset_by_stream[stream] > offset,
            )
            try:
                await asyncio.wait_for(waiting, wait_s)
            except TimeoutError:
                return

    async def _apply_faults(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable


def _json(document: Any) -> web.Response:
    return web.Response(
        body=orjson.dumps(document),
        content_type='application/json',
    )
