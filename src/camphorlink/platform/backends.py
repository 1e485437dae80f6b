"""Orders to the platform's runners, which are our back ends."""

from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from camphorlink.internal.core.connection.backend_commands import (
    ActiveRun,
    FinishedRun,
    ListedBackend,
    RenewalAnswer,
    RenewalVerdict,
    RenewLeases,
    RunResult,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.shell.connection.http_owner import HttpOwner
from camphorlink.internal.shell.process.logs import PartLog

#: Time for the answer to an order, in seconds: they take a few ms.
ORDER_TIMEOUT_S = 0.25
#: The same for a look at the runs, besides the time that it is to wait.
HOLD_TIMEOUT_S = 0.35
#: Time to open a connection, in seconds: a round trip takes 2 ms at the most;
#: a machine that is away does not answer at all.
CONNECT_TIMEOUT_S = 0.15
#: Any longer call would outlast a lease.
CALL_TIMEOUT_S = 2.0
#: Occurrence of a job that has none.
ONLY_OCCURRENCE = 0
_INSTANCE_HEADER = 'Camphorlink-Expect-Instance'
#: What a call without a usable answer raises.
_BROKEN = (aiohttp.ClientError, OSError, TimeoutError, orjson.JSONDecodeError)
#: Of these, what a call raises that was never sent.
_UNREACHABLE = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_VERDICT_BY_STATUS = {
    HTTPStatus.OK: StartVerdict.STARTED,
    HTTPStatus.TOO_MANY_REQUESTS: StartVerdict.UNHEALTHY,
    HTTPStatus.SERVICE_UNAVAILABLE: StartVerdict.UNHEALTHY,
    HTTPStatus.MISDIRECTED_REQUEST: StartVerdict.OTHER_INCARNATION,
    HTTPStatus.BAD_REQUEST: StartVerdict.INVALID,
}
_VERDICT_BY_REASON = {
    'fence': StartVerdict.FENCED,
    'old': StartVerdict.RUN_TOO_LOW,
    'late': StartVerdict.TOO_LATE,
    'room': StartVerdict.NO_CAPACITY,
}


class RunnerClient(HttpOwner):
    """Calls of runners; implements ``BackendPort``."""

    timeout_s = CALL_TIMEOUT_S

    def __init__(self) -> None:
        """Opens nothing before its context does."""
        self._log = PartLog('runners')

    async def start(self, order: StartRun) -> StartAnswer:
        """Orders to start a run."""
        body = {
            'task': _task_name(order.task),
            'run_id': order.run,
            'spec': order.spec,
            'deadline_ms': order.lease_until_clock_ms,
            'fencing_token': order.term,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        answered = await self._post(
            order.backend,
            'run-start',
            body,
            ORDER_TIMEOUT_S,
        )
        if isinstance(answered, RenewalVerdict):
            return StartAnswer(StartVerdict.UNANSWERED)
        status, document = answered
        clock_ms = document.get('clock_ms')
        if status == HTTPStatus.CONFLICT:
            verdict = _VERDICT_BY_REASON.get(
                document.get('reason', ''),
                StartVerdict.INVALID,
            )
        else:
            # Another status does not tell whether the run was started.
            verdict = _VERDICT_BY_STATUS.get(
                HTTPStatus(status),
                StartVerdict.UNANSWERED,
            )
        return StartAnswer(verdict, _whole(clock_ms))

    async def stop(self, order: StopRun) -> bool:
        """Orders to stop a run; tells whether that was acknowledged."""
        body = {
            'task': _task_name(order.task),
            'run_id': order.run,
            'fencing_token': order.term,
        }
        answered = await self._post(
            order.backend,
            'run-stop',
            body,
            ORDER_TIMEOUT_S,
        )
        if isinstance(answered, RenewalVerdict):
            return False
        return answered[0] == HTTPStatus.OK

    async def hold(self, order: RenewLeases) -> RenewalAnswer:
        """Renews the lease and lists the runs."""
        body: dict[str, int] = {
            'fencing_token': order.term,
            'acknowledged': order.acknowledged,
        }
        if order.lease_until_clock_ms is not None:
            body['deadline_ms'] = order.lease_until_clock_ms
        if order.wait_ms:
            body['wait_ms'] = order.wait_ms
        answered = await self._post(
            order.backend,
            'hold',
            body,
            HOLD_TIMEOUT_S + order.wait_ms / 1000,
        )
        if isinstance(answered, RenewalVerdict):
            return RenewalAnswer(answered)
        status, document = answered
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return RenewalAnswer(RenewalVerdict.OTHER_INCARNATION)
        if status == HTTPStatus.CONFLICT:
            return RenewalAnswer(RenewalVerdict.FENCED)
        if status != HTTPStatus.OK:
            return RenewalAnswer(RenewalVerdict.UNANSWERED)
        try:
            return _read_lists(document)
        except (LookupError, TypeError, ValueError) as exc:
            self._log.error('unreadable list', extra={'error': repr(exc)})
            return RenewalAnswer(RenewalVerdict.UNANSWERED)

    async def _post(
        self,
        backend: ListedBackend,
        call: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[int, dict[str, Any]] | RenewalVerdict:
        """Returns status and body, or why there is none."""
        try:
            async with self._session.post(
                f'http://{backend.address}/v1/{call}',
                data=orjson.dumps(body),
                headers={
                    'Content-Type': 'application/json',
                    _INSTANCE_HEADER: backend.backend_id,
                },
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s,
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
            ) as response:
                content = await response.read()
                status = response.status
                document = orjson.loads(content) if content else {}
        except _UNREACHABLE as exc:
            self._log.debug('no connection', extra={'error': repr(exc)})
            return RenewalVerdict.UNREACHABLE
        except _BROKEN as exc:
            self._log.debug('no answer', extra={'error': repr(exc)})
            return RenewalVerdict.UNANSWERED
        return status, document if isinstance(document, dict) else {}


def _read_lists(document: dict[str, Any]) -> RenewalAnswer:
    return RenewalAnswer(
        verdict=RenewalVerdict.LISTED,
        clock_ms=int(document['clock_ms']),
        started_ms=int(document.get('born', 0)),
        # A fifth entry, a rough load figure, is not used.
        active=tuple(
            ActiveRun(
                _task_key(entry[0]),
                int(entry[1]),
                str(entry[2]),
                int(entry[3]),
            )
            for entry in document['active']
        ),
        finished=tuple(
            FinishedRun(
                int(number),
                _task_key(task),
                int(run),
                RunResult(result),
                str(saved),
            )
            for number, task, run, result, saved in document['finished']
        ),
    )


def _task_name(task: TaskKey) -> str:
    return f'{task.job_id}.{ONLY_OCCURRENCE}.{task.step}.{task.number}'


def _task_key(name: str) -> TaskKey:
    job_id, _, step, index = name.split('.')
    return TaskKey(job_id, int(step), int(index))


def _whole(found: Any) -> int | None:
    return found if isinstance(found, int) else None
