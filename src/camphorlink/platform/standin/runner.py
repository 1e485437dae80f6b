"""A stand-in runner: leases, fencing, numbered ends, lifetimes."""

import asyncio
import itertools
import time
from typing import Any, NamedTuple

import orjson
from aiohttp import web

MS_PER_S = 1000
#: Longest lease, in ms.
HOLD_MAX_MS = 1000
#: Period of looking for what has ended, in seconds.
TICK_S = 0.005
INSTANCE_HEADER = 'Camphorlink-Expect-Instance'


class RunnerSettings(NamedTuple):
    """A runner of a site.

    Attributes:
        runner_id: Its identifier.
        service: Service that it serves.
        zone: Its zone.
        cpu: Its capacity, in thousandths of a core.
        run_ms: How long its tasks take.
    """

    runner_id: str
    service: str
    zone: str
    cpu: int = 32_000
    run_ms: int = 40


class _Active(NamedTuple):
    run_id: int
    end_ms: float
    cpu: int
    must_fail: bool


#: Tasks whose spec begins so fail whenever they run.
FAILING_SPEC = 'fail'
#: Tasks whose spec begins so take this much longer, in ms.
SLOW_SPEC = 'slow'
SLOW_MS = 1500
#: What a task takes; the stand-in is not told, so it takes this for all.
TASK_CPU = 14_000


class RunnerStandin:
    """One runner, which waits instead of working.

    Attributes:
        settings: What it is.
        starts: Task and number of each run that began.
    """

    def __init__(self, settings: RunnerSettings) -> None:
        """Starts a lifetime."""
        self.settings = settings
        self.starts: list[tuple[str, int]] = []
        self.started_ms = int(time.time() * MS_PER_S)
        self._fence = 0
        self._lease_ms = 0.0
        self._active: dict[str, _Active] = {}
        self._finished: list[list[Any]] = []
        self._numbers = itertools.count(1)
        self._stopped: dict[str, int] = {}
        self._ended = asyncio.Event()

    def build_app(self) -> web.Application:
        """Returns the application with all calls of a runner."""
        app = web.Application(middlewares=[self._check_lifetime])
        app.add_routes(
            [
                web.post('/v1/run-start', self.start),
                web.post('/v1/run-stop', self.stop),
                web.post('/v1/hold', self.hold),
            ],
        )
        return app

    def registration(self, address: str, sequence: int) -> dict[str, Any]:
        """Returns what the runner says of itself."""
        settings = self.settings
        return {
            'service': settings.service,
            'address': address,
            'zone': settings.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': {
                'cpu': settings.cpu,
                'mem_mb': 131_072,
                'gpu': 0,
            },
            'labels': ['a', 'r1-1'],
            'clock_ms': int(_clock_ms()),
            'born': self.started_ms,
            'sequence': sequence,
        }

    async def work_forever(self) -> None:
        """Ends runs whose time has come, or whose lease has lapsed."""
        while True:
            self._advance()
            await asyncio.sleep(TICK_S)

    async def start(self, request: web.Request) -> web.Response:
        """Starts a run, unless something speaks against it."""
        order = orjson.loads(await request.read())
        if not self._admit(order):
            return self._answer(409, reason='fence')
        task, run_id = order['task'], order['run_id']
        self._extend(order['deadline_ms'])
        known = self._active.get(task)
        if known is not None and known.run_id == run_id:
            return self._answer(200)
        if run_id <= self._stopped.get(task, 0):
            return self._answer(409, reason='old')
        if order['deadline_ms'] < _clock_ms():
            return self._answer(409, reason='late')
        used = sum(entry.cpu for entry in self._active.values())
        if used + TASK_CPU > self.settings.cpu:
            return self._answer(409, reason='room')
        self.starts.append((task, run_id))
        self._active[task] = _Active(
            run_id,
            _clock_ms() + self._run_ms(order['spec']),
            TASK_CPU,
            order['spec'].startswith(FAILING_SPEC),
        )
        return self._answer(200)

    def _run_ms(self, spec: str) -> int:
        extra_ms = SLOW_MS if spec.startswith(SLOW_SPEC) else 0
        return self.settings.run_ms + extra_ms

    async def stop(self, request: web.Request) -> web.Response:
        """Stops a run, and makes sure that it never starts."""
        order = orjson.loads(await request.read())
        if not self._admit(order):
            return self._answer(409, reason='fence')
        task, run_id = order['task'], order['run_id']
        self._stopped[task] = max(run_id, self._stopped.get(task, 0))
        known = self._active.get(task)
        if known is not None and known.run_id == run_id:
            self._end(task, 'stopped')
        return self._answer(200)

    async def hold(self, request: web.Request) -> web.Response:
        """Renews the lease and lists the runs, after an end if asked."""
        order = orjson.loads(await request.read())
        if not self._admit(order):
            return self._answer(409, reason='fence')
        self._extend(order.get('deadline_ms', 0))
        acknowledged = order.get('acknowledged', 0)
        self._finished = [
            entry for entry in self._finished if entry[0] > acknowledged
        ]
        if not self._finished and order.get('wait_ms'):
            await self._wait_for_end(order['wait_ms'] / MS_PER_S)
        return self._answer(
            200,
            born=self.started_ms,
            active=[
                [task, entry.run_id, '', 50, 0]
                for task, entry in self._active.items()
            ],
            finished=self._finished,
        )

    async def _wait_for_end(self, wait_s: float) -> None:
        try:
            await asyncio.wait_for(self._ended.wait(), wait_s)
        except TimeoutError:
            self._advance()

    def _admit(self, order: dict[str, Any]) -> bool:
        token = order.get('fencing_token', 0)
        if token < self._fence:
            return False
        self._fence = token
        return True

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = _clock_ms() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _advance(self) -> None:
        now_ms = _clock_ms()
        for task, entry in list(self._active.items()):
            if now_ms > self._lease_ms:
                self._end(task, 'lapsed')
            elif now_ms >= entry.end_ms:
                self._end(task, 'failed' if entry.must_fail else 'done')

    def _end(self, task: str, how: str) -> None:
        entry = self._active.pop(task)
        self._stopped[task] = max(entry.run_id, self._stopped.get(task, 0))
        self._finished.append(
            [next(self._numbers), task, entry.run_id, how, ''],
        )
        ended = self._ended
        self._ended = asyncio.Event()
        ended.set()

    def _answer(self, status: int, **fields: Any) -> web.Response:
        document = {'clock_ms': int(_clock_ms()), **fields}
        return web.json_response(document, status=status)

    @web.middleware
    async def _check_lifetime(
        self,
        request: web.Request,
        handler: Any,
    ) -> web.StreamResponse:
        expected = request.headers.get(INSTANCE_HEADER)
        if expected not in {None, self.settings.runner_id}:
            return self._answer(421)
        return await handler(request)


def _clock_ms() -> float:
    return time.monotonic() * MS_PER_S
