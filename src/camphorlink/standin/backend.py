"""Stand-in for a backend server: its tasks sleep, and it can inject faults."""

import asyncio
import collections
import enum
import os
from typing import Any, NamedTuple

import orjson
from aiohttp import web

MS_PER_S = 1000
DEFAULT_WORK_MS = 100
#: Factor by which tasks take longer in the mode ``slow``.
SLOWDOWN_FACTOR = 10.0
EXIT_CRASHED = 70


class Mode(enum.Enum):
    """Behaviour of a stand-in backend server, normal or with one fault."""

    NORMAL = 'normal'
    FAIL_ALL = 'fail-all'
    SILENT = 'silent'
    REFUSE = 'refuse'
    LEAVING = 'leaving'
    CLOSE = 'close'
    SLOW = 'slow'
    CRASH = 'crash'


class BackendSettings(NamedTuple):
    """Capacity, speed and mode of a stand-in backend server.

    Attributes:
        slots: Maximum number of concurrent tasks; further ones are refused.
        speed: Divisor of the declared work of each task.
        mode: Normal behaviour or the injected fault.
    """

    slots: int = 8
    speed: float = 1.0
    mode: Mode = Mode.NORMAL


class BackendServer:
    """Backend server whose tasks sleep for the ``work_ms`` of their payload.

    Attributes:
        starts_by_reference: Number of starts by task reference.
        running: Number of tasks that run now.
    """

    def __init__(self, settings: BackendSettings) -> None:
        """Creates a server without running tasks."""
        self.settings = settings
        self.starts_by_reference: collections.Counter[str] = (
            collections.Counter()
        )
        self.running = 0

    def build_app(self) -> web.Application:
        """Returns the web application with all routes of the server."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/v1/tasks', self.run_task),
                web.get('/standin/starts', self.show_starts),
                web.put('/standin/mode', self.change_mode),
            ]
        )
        return app

    async def run_task(self, request: web.Request) -> web.Response:
        """Runs one task, or refuses it with a ``Refusal-Code`` header."""
        payload = orjson.loads(await request.read())
        mode = self.settings.mode
        if mode is Mode.REFUSE or self.running >= self.settings.slots:
            return _refusal('busy')
        if mode is Mode.LEAVING:
            return _refusal('leaving')
        self.starts_by_reference[request.headers['Task-Reference']] += 1
        self.running += 1
        try:
            return await self._work(request, payload)
        finally:
            self.running -= 1

    async def show_starts(self, request: web.Request) -> web.Response:
        """Returns the number of starts of each task on this server."""
        return _json(dict(self.starts_by_reference))

    async def change_mode(self, request: web.Request) -> web.Response:
        """Sets the mode for tasks that arrive from now on."""
        mode = Mode(orjson.loads(await request.read())['mode'])
        self.settings = self.settings._replace(mode=mode)
        return _json({'mode': mode.value})

    async def _work(self, request: web.Request, payload: Any) -> web.Response:
        mode = self.settings.mode
        if mode is Mode.CRASH:
            os._exit(EXIT_CRASHED)
        if mode is Mode.CLOSE and request.transport is not None:
            request.transport.close()
        if mode is Mode.SILENT:
            await asyncio.Event().wait()
        if mode is Mode.FAIL_ALL:
            return web.Response(status=500, text='this server fails all')
        work_ms = _work_ms(payload)
        speed = self.settings.speed
        if mode is Mode.SLOW:
            speed /= SLOWDOWN_FACTOR
        await asyncio.sleep(work_ms / MS_PER_S / speed)
        return _json({'echo': payload, 'work_ms': work_ms})


def _work_ms(payload: Any) -> float:
    if isinstance(payload, dict):
        return float(payload.get('work_ms', DEFAULT_WORK_MS))
    return DEFAULT_WORK_MS


def _refusal(code: str) -> web.Response:
    return web.Response(
        status=503,
        headers={'Task-Started': 'no', 'Refusal-Code': code},
    )


def _json(document: Any) -> web.Response:
    return web.Response(
        body=orjson.dumps(document),
        content_type='application/json',
    )
