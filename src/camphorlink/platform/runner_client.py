"""HTTP client of the platform's runners, which serve as back ends."""

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
from camphorlink.internal.shell.process.logs import PartLog, describe_error
from camphorlink.platform.documents import (
    check_duration,
    check_text,
    check_whole,
)

#: Timeout of a start or stop command, in seconds: answers take a few ms.
COMMAND_TIMEOUT_S = 0.25
#: Timeout of a lease renewal in addition to its waiting time, in seconds.
RENEWAL_TIMEOUT_S = 0.35
#: Timeout for opening a connection, in seconds: a round trip takes at most
#: 2 ms; an unreachable machine does not answer at all.
CONNECT_TIMEOUT_S = 0.15
#: Default timeout of a call, in seconds: longer calls would outlast a lease.
CALL_TIMEOUT_S = 2.0
#: Occurrence number in the task names of jobs without repetitions.
SINGLE_OCCURRENCE = 0
_INSTANCE_HEADER = 'Camphorlink-Expect-Instance'
#: Errors of calls without a usable answer.
_CALL_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    orjson.JSONDecodeError,
)
#: Errors of calls whose request was never sent.
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_VERDICT_BY_STATUS: dict[int, StartVerdict] = {
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
    """HTTP client of all runners; implements ``BackendPort``."""

    timeout_s = CALL_TIMEOUT_S

    def __init__(self) -> None:
        """Initializes the client; its context opens the connections."""
        self._log = PartLog('runners')

    async def start(self, command: StartRun) -> StartAnswer:
        """Commands a runner to start a run."""
        body = {
            'task': _task_name(command.task),
            'run_id': command.run,
            'spec': command.spec,
            'deadline_ms': command.lease_until_clock_ms,
            'fencing_token': command.token,
        }
        if command.checkpoint:
            body['checkpoint'] = command.checkpoint
        answer = await self._post(
            command.backend,
            'run-start',
            body,
            COMMAND_TIMEOUT_S,
        )
        if isinstance(answer, RenewalVerdict):
            return StartAnswer(StartVerdict.UNANSWERED)
        status, document = answer
        clock_ms = document.get('clock_ms')
        if status == HTTPStatus.CONFLICT:
            reason = document.get('reason')
            verdict = StartVerdict.INVALID
            if isinstance(reason, str):
                verdict = _VERDICT_BY_REASON.get(reason, verdict)
        else:
            # Other statuses leave open whether the run was started.
            verdict = _VERDICT_BY_STATUS.get(status, StartVerdict.UNANSWERED)
        return StartAnswer(verdict, _whole_or_none(clock_ms))

    async def stop(self, command: StopRun) -> bool:
        """Commands a runner to stop a run; returns whether it confirmed."""
        body = {
            'task': _task_name(command.task),
            'run_id': command.run,
            'fencing_token': command.token,
        }
        answer = await self._post(
            command.backend,
            'run-stop',
            body,
            COMMAND_TIMEOUT_S,
        )
        if isinstance(answer, RenewalVerdict):
            return False
        return answer[0] == HTTPStatus.OK

    async def renew_leases(self, command: RenewLeases) -> RenewalAnswer:
        """Lists a runner's runs and renews their lease if requested."""
        body: dict[str, int] = {
            'fencing_token': command.token,
            'acknowledged': command.acknowledged,
        }
        if command.lease_until_clock_ms is not None:
            body['deadline_ms'] = command.lease_until_clock_ms
        if command.wait_ms:
            body['wait_ms'] = command.wait_ms
        answer = await self._post(
            command.backend,
            'hold',
            body,
            RENEWAL_TIMEOUT_S + command.wait_ms / 1000,
        )
        if isinstance(answer, RenewalVerdict):
            return RenewalAnswer(answer)
        status, document = answer
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return RenewalAnswer(RenewalVerdict.OTHER_INCARNATION)
        if status == HTTPStatus.CONFLICT:
            return RenewalAnswer(RenewalVerdict.FENCED)
        if status != HTTPStatus.OK:
            return RenewalAnswer(RenewalVerdict.UNANSWERED)
        try:
            return _decode_runs(document)
        except (LookupError, TypeError, ValueError) as exc:
            self._log.error(
                'list of runs is malformed',
                extra={'error': describe_error(exc)},
            )
            return RenewalAnswer(RenewalVerdict.UNANSWERED)

    async def _post(
        self,
        backend: ListedBackend,
        call_name: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[int, dict[str, Any]] | RenewalVerdict:
        """Returns status and body, or the verdict of a failed call."""
        try:
            async with self._session.post(
                f'http://{backend.address}/v1/{call_name}',
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
        except _CONNECT_ERRORS as exc:
            self._log.debug('connection failed', extra={'error': repr(exc)})
            return _connect_verdict(exc)
        except _CALL_ERRORS as exc:
            self._log.debug(
                'call got no usable answer', extra={'error': repr(exc)}
            )
            return _lost_answer_verdict(exc)
        return status, document if isinstance(document, dict) else {}


def _connect_verdict(exc: Exception) -> RenewalVerdict:
    cause = getattr(exc, 'os_error', None)
    if isinstance(cause, ConnectionRefusedError):
        return RenewalVerdict.REFUSED
    return RenewalVerdict.UNREACHABLE


def _lost_answer_verdict(exc: Exception) -> RenewalVerdict:
    is_reset = isinstance(exc, aiohttp.ClientConnectionError | ConnectionError)
    if is_reset and not isinstance(exc, TimeoutError):
        return RenewalVerdict.RESET
    return RenewalVerdict.UNANSWERED


def _decode_runs(document: dict[str, Any]) -> RenewalAnswer:
    return RenewalAnswer(
        verdict=RenewalVerdict.LISTED,
        clock_ms=check_duration(document['clock_ms'], 'clock_ms'),
        started_ms=check_whole(document.get('born', 0), 'born'),
        # The fifth element, an approximate load, is not used.
        active=tuple(
            ActiveRun(
                _task_key(entry[0]),
                check_whole(entry[1], 'run'),
                check_text(entry[2], 'checkpoint'),
                check_duration(entry[3], 'percent'),
            )
            for entry in document['active']
        ),
        finished=tuple(
            FinishedRun(
                check_whole(number, 'number'),
                _task_key(task),
                check_whole(run, 'run'),
                RunResult(check_text(result, 'result')),
                check_text(checkpoint, 'checkpoint'),
            )
            for number, task, run, result, checkpoint in document['finished']
        ),
    )


def _task_name(task: TaskKey) -> str:
    return f'{task.job_id}.{SINGLE_OCCURRENCE}.{task.step}.{task.number}'


def _task_key(name: Any) -> TaskKey:
    job_id, _, step, index = check_text(name, 'task').split('.')
    return TaskKey(job_id, int(step), int(index))


def _whole_or_none(field_value: Any) -> int | None:
    try:
        return check_duration(field_value, 'clock_ms')
    except (TypeError, ValueError):
        return None
