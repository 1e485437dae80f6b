"""Sends tasks to backend servers, each at most once.

Three events prove that a task was not started: the connection could not be
opened, the request failed before its first byte was written, or the backend
server refused the task with the header ``Task-Started: no``.  After any other
failure the request may have arrived, so the task counts as lost unless the
backend server supports a lookup of its state.
"""

import asyncio
from http import HTTPStatus
from types import TracebackType
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson
from yarl import URL

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.connection.http_owner import (
    MAX_CONNECTIONS,
    NumericConnector,
)
from camphorlink.internal.shell.connection.task_lookup import (
    TaskReport,
    look_up_task,
)

#: Response header that states whether a refused task was started.
STARTED_HEADER = 'Task-Started'
CONNECT_TIMEOUT_S = 1.0
MAX_DETAIL_CHARS = 200
_REASON_BY_CODE = {
    'busy': Reason.BACKEND_BUSY,
    'leaving': Reason.BACKEND_LEAVING,
}


class WriteProgress:
    """Records whether the first byte of a request may have been written."""

    def __init__(self) -> None:
        """Creates the record of a request that has not been written."""
        self.is_write_started = False


class BackendClient:
    """HTTP client of one entry VM for its backend servers."""

    async def __aenter__(self) -> 'BackendClient':
        """Opens the connection pool."""
        # aiohttp does not retry a POST by itself unless it follows redirects;
        # the tests check this.
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_record_write_start)
        # Cookies, unused headers and a timeout object for each request are
        # disabled, because their cost would be paid for each task.
        self._session = aiohttp.ClientSession(
            connector=NumericConnector(
                limit=MAX_CONNECTIONS, use_dns_cache=False
            ),
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
            trace_configs=[trace],
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('Accept', 'Accept-Encoding', 'User-Agent'),
            auto_decompress=False,
        )
        self._url_by_address: dict[str, URL] = {}
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._session.close()

    async def run_task(self, start: messages.StartTask) -> TaskReport:
        """Sends a task once and returns its result or the kind of failure."""
        write_progress = WriteProgress()
        report = await self._try_post(start, write_progress)
        if not isinstance(report, messages.TaskLost):
            return report
        if not write_progress.is_write_started:
            return messages.TaskNotStarted(start.ticket, Reason.CONNECT_FAILED)
        if not start.can_look_up:
            return report
        return await look_up_task(self._session, start, report)

    async def _try_post(
        self,
        start: messages.StartTask,
        write_progress: WriteProgress,
    ) -> TaskReport:
        ticket = start.ticket
        try:
            async with asyncio.timeout(start.timeout_s):
                return await self._post(start, write_progress)
        except orjson.JSONEncodeError:
            return messages.TaskNotStarted(ticket, Reason.BAD_JOB)
        except TimeoutError:
            return messages.TaskLost(ticket, Reason.TASK_TIMEOUT)
        except (aiohttp.ClientError, OSError, ValueError):
            # A value that can't be sent must be reported, too.
            return messages.TaskLost(ticket, Reason.CONNECTION_LOST)

    async def _post(
        self,
        start: messages.StartTask,
        write_progress: WriteProgress,
    ) -> TaskReport:
        ticket = start.ticket
        request = self._session.post(
            self._task_url(start.address),
            data=orjson.dumps(start.payload),
            headers={
                'Content-Type': 'application/json',
                'Task-Reference': task_reference(start),
                'Task-Service': start.service,
            },
            # Following a redirect would send the task a second time.
            allow_redirects=False,
            trace_request_ctx=write_progress,
        )
        async with request as response:
            return _parse_report(ticket, response, await response.read())

    def _task_url(self, address: str) -> URL:
        url = self._url_by_address.get(address)
        if url is None:
            url = URL(f'http://{address}/v1/tasks')
            self._url_by_address[address] = url
        return url


def task_reference(start: messages.StartTask) -> str:
    """Returns the reference of a task, which is the same in each attempt."""
    task_id = quote(start.task_id, safe='')
    return f'{start.ticket.submission_id}/{task_id}'


async def _record_write_start(
    session: aiohttp.ClientSession,
    context: Any,
    sent: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    # aiohttp calls this just before it writes the first byte.
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.is_write_started = True


def _parse_report(
    ticket: messages.Ticket,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> TaskReport:
    if response.status == HTTPStatus.OK:
        try:
            return messages.TaskFinished(ticket, orjson.loads(body))
        except orjson.JSONDecodeError:
            return messages.TaskFailed(ticket, 'its result is no JSON')
    if response.headers.get(STARTED_HEADER) == 'no':
        code = response.headers.get('Refusal-Code', '')
        reason = _REASON_BY_CODE.get(code, Reason.BACKEND_BUSY)
        return messages.TaskNotStarted(ticket, reason)
    text = body.decode(errors='replace')[:MAX_DETAIL_CHARS]
    return messages.TaskFailed(ticket, f'{response.status}: {text}')
