"""Stand-in runner with leases, fencing and numbered completions."""

import asyncio
import itertools
import time
from typing import Any, NamedTuple

import orjson
from aiohttp import web

MS_PER_S = 1000
ALL_PERCENT = 100
MAX_LEASE_MS = 1000
#: Period of the check for runs that have ended, in seconds.
TICK_S = 0.005
INSTANCE_HEADER = 'Camphorlink-Expect-Instance'


class RunnerSettings(NamedTuple):
    """Settings of a stand-in runner.

    Attributes:
        runner_id: Identifier of the runner.
        service: Service that it serves.
        zone: Its availability zone.
        cpu: Its capacity, in thousandths of a core.
        run_ms: Duration of each of its runs, in ms.
    """

    runner_id: str
    service: str
    zone: str
    cpu: int = 32_000
    run_ms: int = 40


class RunSpan(NamedTuple):
    """Time in which a run was active, on the clock of all stand-in runners.

    Attributes:
        task: Name of the task.
        run_id: Number of the run.
        start_ms: Time of its start, in ms.
        end_ms: Time of its end, in ms.
        outcome: How it ended.
    """

    task: str
    run_id: int
    start_ms: float
    end_ms: float
    outcome: str


class _ActiveRun(NamedTuple):
    run_id: int
    start_ms: float
    end_ms: float
    cpu: int
    must_fail: bool


#: Prefix of the specs of tasks that fail in each run.
FAILING_SPEC = 'fail'
#: Prefix of the specs of tasks that take ``SLOW_EXTRA_MS`` longer.
SLOW_SPEC = 'slow'
SLOW_EXTRA_MS = 1500
#: Prefix of the specs of tasks that state their duration, in ms.
TIMED_SPEC = 'ms:'
#: CPU of every task, in thousandths of a core: start commands don't state it.
TASK_CPU = 14_000


class RunnerStandin:
    """Runner that does no work: its runs end after a fixed time.

    Attributes:
        settings: Settings of the runner.
        cpu: Its capacity at present, in thousandths of a core.
        starts: Task and run number of each run that was started.
        spans: Runs that have ended.
        started_ms: Start time of this incarnation, in ms since the epoch.
    """

    def __init__(self, settings: RunnerSettings) -> None:
        """Starts a new incarnation."""
        self.settings = settings
        self.cpu = settings.cpu
        self.starts: list[tuple[str, int]] = []
        self.spans: list[RunSpan] = []
        self.started_ms = int(time.time() * MS_PER_S)
        self._fencing_token = 0
        self._lease_end_ms = 0.0
        self._active_by_task: dict[str, _ActiveRun] = {}
        self._finished: list[list[Any]] = []
        self._completion_numbers = itertools.count(1)
        self._last_ended_run_by_task: dict[str, int] = {}
        self._completion_event = asyncio.Event()

    def build_app(self) -> web.Application:
        """Returns the application with all calls of a runner."""
        app = web.Application(middlewares=[self._check_instance])
        app.add_routes(
            [
                web.post('/v1/run-start', self.start),
                web.post('/v1/run-stop', self.stop),
                web.post('/v1/hold', self.renew_leases),
            ],
        )
        return app

    def build_registration(self, address: str, sequence: int) -> dict[str, Any]:
        """Returns the entry that the runner publishes in the store."""
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
                'cpu': self.cpu,
                'mem_mb': 131_072,
                'gpu': 0,
            },
            'labels': ['a', 'r1-1'],
            'clock_ms': int(_clock_ms()),
            'born': self.started_ms,
            'sequence': sequence,
        }

    async def end_runs_forever(self) -> None:
        """Periodically ends runs that are complete or whose lease lapsed."""
        while True:
            self._end_due_runs()
            await asyncio.sleep(TICK_S)

    async def start(self, request: web.Request) -> web.Response:
        """Starts a run, or refuses it with a reason."""
        command = orjson.loads(await request.read())
        if not self._accept_fencing_token(command):
            return self._answer(409, reason='fence')
        task, run_id = command['task'], command['run_id']
        self._extend_lease(command['deadline_ms'])
        active_run = self._active_by_task.get(task)
        if active_run is not None and active_run.run_id == run_id:
            return self._answer(200)
        if run_id <= self._last_ended_run_by_task.get(task, 0):
            return self._answer(409, reason='old')
        if command['deadline_ms'] < _clock_ms():
            return self._answer(409, reason='late')
        used = sum(entry.cpu for entry in self._active_by_task.values())
        if used + TASK_CPU > self.cpu:
            return self._answer(409, reason='room')
        self.starts.append((task, run_id))
        self._active_by_task[task] = _ActiveRun(
            run_id,
            _clock_ms(),
            _clock_ms() + self._run_ms(command['spec']),
            TASK_CPU,
            command['spec'].startswith(FAILING_SPEC),
        )
        return self._answer(200)

    def _run_ms(self, spec: str) -> int:
        if spec.startswith(TIMED_SPEC):
            return int(spec.removeprefix(TIMED_SPEC))
        extra_ms = SLOW_EXTRA_MS if spec.startswith(SLOW_SPEC) else 0
        return self.settings.run_ms + extra_ms

    async def stop(self, request: web.Request) -> web.Response:
        """Stops a run and prevents later starts of it."""
        command = orjson.loads(await request.read())
        if not self._accept_fencing_token(command):
            return self._answer(409, reason='fence')
        task, run_id = command['task'], command['run_id']
        self._last_ended_run_by_task[task] = max(
            run_id, self._last_ended_run_by_task.get(task, 0)
        )
        active_run = self._active_by_task.get(task)
        if active_run is not None and active_run.run_id == run_id:
            self._end_run(task, 'stopped')
        return self._answer(200)

    async def renew_leases(self, request: web.Request) -> web.Response:
        """Lists the runs and renews their lease if requested.

        Waits for a completion if the command asks for it.
        """
        command = orjson.loads(await request.read())
        if not self._accept_fencing_token(command):
            return self._answer(409, reason='fence')
        self._extend_lease(command.get('deadline_ms', 0))
        acknowledged = command.get('acknowledged', 0)
        self._finished = [
            entry for entry in self._finished if entry[0] > acknowledged
        ]
        if not self._finished and command.get('wait_ms'):
            await self._wait_for_completion(command['wait_ms'] / MS_PER_S)
        return self._answer(
            200,
            born=self.started_ms,
            active=[
                [task, entry.run_id, '', _percent(entry), 0]
                for task, entry in self._active_by_task.items()
            ],
            finished=self._finished,
        )

    async def _wait_for_completion(self, wait_s: float) -> None:
        try:
            await asyncio.wait_for(self._completion_event.wait(), wait_s)
        except TimeoutError:
            self._end_due_runs()

    def _accept_fencing_token(self, command: dict[str, Any]) -> bool:
        token = command.get('fencing_token', 0)
        if token < self._fencing_token:
            return False
        self._fencing_token = token
        return True

    def _extend_lease(self, deadline_ms: int) -> None:
        longest_ms = _clock_ms() + MAX_LEASE_MS
        self._lease_end_ms = max(
            self._lease_end_ms, min(deadline_ms, longest_ms)
        )

    def _end_due_runs(self) -> None:
        now_ms = _clock_ms()
        for task, entry in list(self._active_by_task.items()):
            if now_ms > self._lease_end_ms:
                self._end_run(task, 'lapsed')
            elif now_ms >= entry.end_ms:
                self._end_run(task, 'failed' if entry.must_fail else 'done')

    def _end_run(self, task: str, run_result: str) -> None:
        entry = self._active_by_task.pop(task)
        self.spans.append(
            RunSpan(task, entry.run_id, entry.start_ms, _clock_ms(), run_result)
        )
        self._last_ended_run_by_task[task] = max(
            entry.run_id, self._last_ended_run_by_task.get(task, 0)
        )
        self._finished.append(
            [
                next(self._completion_numbers),
                task,
                entry.run_id,
                run_result,
                '',
            ],
        )
        completion_event = self._completion_event
        self._completion_event = asyncio.Event()
        completion_event.set()

    def _answer(self, status: int, **fields: Any) -> web.Response:
        document = {'clock_ms': int(_clock_ms()), **fields}
        return web.json_response(document, status=status)

    @web.middleware
    async def _check_instance(
        self,
        request: web.Request,
        handler: Any,
    ) -> web.StreamResponse:
        expected = request.headers.get(INSTANCE_HEADER)
        if expected not in {None, self.settings.runner_id}:
            return self._answer(421)
        return await handler(request)


def _percent(entry: _ActiveRun) -> int:
    duration_ms = max(entry.end_ms - entry.start_ms, 1)
    share = (_clock_ms() - entry.start_ms) / duration_ms
    return min(int(share * ALL_PERCENT), ALL_PERCENT - 1)


def _clock_ms() -> float:
    return time.monotonic() * MS_PER_S
