"""Stand-in platform in one process: store, runners and configuration."""

import asyncio
import itertools
from typing import Any, Self

import orjson
from aiohttp import web

from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.platform.standin.runner import (
    RunnerSettings,
    RunnerStandin,
)
from camphorlink.platform.standin.store import StoreFaults, StoreStandin
from camphorlink.standin.servers import LocalServer

LOOPBACK = '127.0.0.1'
HEARTBEAT_S = 0.5
#: Service of the only queue of the stand-in site.
SERVICE = 'caster'
HOST = 'jobs.example'
PREFIX = '/corrections/'
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'corrections',
            'host': HOST,
            'path_prefix': PREFIX,
            'kind': 'non_idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 60,
            'priority': 0,
            'service': SERVICE,
            'max_attempts': 3,
            'slack_factor': 1.6,
        },
    ],
    'services': [
        {
            'name': SERVICE,
            'health_path': '/healthz',
            'max_conns': 64,
            'protocol': 'h1',
            'tls': False,
            'admission_control': True,
            'standby': False,
        },
    ],
    'limits': {
        'max_header_bytes': 16_384,
        'max_body_bytes': 262_144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15_000,
    },
}


class StandinSite(StackOwner):
    """Serves a stand-in store and stand-in runners on loopback.

    Attributes:
        store: The store.
        runners: All runners.
        store_address: IP address and port of the store.
    """

    def __init__(self, zones: tuple[str, ...], runners_per_zone: int) -> None:
        """Initializes the store and the runners of each zone."""
        super().__init__()
        self.store = StoreStandin()
        self.store_address = ''
        self.runners = [
            RunnerStandin(RunnerSettings(f'i-{zone}-{number}', SERVICE, zone))
            for zone in zones
            for number in range(runners_per_zone)
        ]

    async def __aenter__(self) -> Self:
        """Starts all servers and publishes the configuration and runners."""
        app = self.store.build_app()
        app.router.add_post('/standin/faults', self.set_faults)
        app.router.add_post('/standin/publish', self.publish)
        app.router.add_get('/standin/starts', self.show_starts)
        app.router.add_get('/standin/spans', self.show_spans)
        app.router.add_post('/standin/capacity', self.set_capacity)
        server = LocalServer(app, LOOPBACK, 0)
        await self._stack.enter_async_context(server)
        self.store_address = server.address
        self.store.publish('keyed.op', 'config', CONFIG)
        loop = asyncio.get_running_loop()
        for runner in self.runners:
            runner_server = LocalServer(runner.build_app(), LOOPBACK, 0)
            await self._stack.enter_async_context(runner_server)
            for coroutine in (
                runner.end_runs_forever(),
                self._register_forever(runner, runner_server.address),
            ):
                task = loop.create_task(coroutine)
                self._stack.callback(task.cancel)
        return self

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets the injected faults of the store."""
        document = orjson.loads(await request.read())
        self.store.faults = StoreFaults(**document)
        return web.json_response({})

    async def publish(self, request: web.Request) -> web.Response:
        """Publishes a record as an operator or a runner does."""
        document: dict[str, Any] = orjson.loads(await request.read())
        self.store.publish(**document)
        return web.json_response({})

    async def show_starts(self, request: web.Request) -> web.Response:
        """Lists all runs that were started."""
        starts = itertools.chain.from_iterable(
            runner.starts for runner in self.runners
        )
        return web.json_response({'starts': list(starts)})

    async def show_spans(self, request: web.Request) -> web.Response:
        """Lists all runs that have ended, with their times in ms."""
        spans = itertools.chain.from_iterable(
            runner.spans for runner in self.runners
        )
        return web.json_response({'spans': list(spans)})

    async def set_capacity(self, request: web.Request) -> web.Response:
        """Changes the capacity of a runner, which it reports from then on."""
        document = orjson.loads(await request.read())
        for runner in self.runners:
            if runner.settings.runner_id == document['runner']:
                runner.cpu = document['cpu']
        return web.json_response({})

    async def _register_forever(
        self,
        runner: RunnerStandin,
        address: str,
    ) -> None:
        for sequence in itertools.count():
            entry = runner.build_registration(address, sequence)
            runner_id = runner.settings.runner_id
            self.store.publish('keyed.servers', runner_id, entry)
            await asyncio.sleep(HEARTBEAT_S)
