"""Sends tasks to backend servers, each at most once.

Three things prove that a task was not started: a connection that could not
be opened, a failure before the first byte of the request was written, and
the typed refusal of the backend server.  In every other failure the request
may have arrived, so the task counts as lost, unless the backend server can
be asked what became of it.
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
from camphorlink.internal.shell.connection.task_lookup import (
    TaskReport,
    look_up_task,
)

#: Header of a backend server that says whether a refused task was started.
STARTED_HEADER = 'Task-Started'
CONNECT_TIMEOUT_S = 1.0
MAX_DETAIL_CHARS = 200
_REASON_BY_CODE = {
    'busy': Reason.BACKEND_BUSY,
    'leaving': Reason.BACKEND_LEAVING,
}


class WriteProgress:
    """Whether the first byte of one request may have been written."""

    def __init__(self) -> None:
        """Starts before the first byte."""
        self.is_write_started = False


class BackendClient:
    """HTTP client towards the backend servers of one entry VM."""

    async def __aenter__(self) -> 'BackendClient':
        """Opens the pool of connections."""
        # aiohttp sends a POST never again by itself, unless it is told to
        # follow a redirect; tests hold it to that.
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_record_write_start)
        # What runs for every task is left out: cookies, headers that say
        # nothing here, a timeout object for each request.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
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
        """Sends one task once and reports what became of it."""
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
            # A value that can't be sent is no reason to report nothing.
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
            # A redirect would send the task a second time.
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
    """Names a task to backend servers, the same in every try."""
    task_id = quote(start.task_id, safe='')
    return f'{start.ticket.submission_id}/{task_id}'


async def _record_write_start(
    session: aiohttp.ClientSession,
    context: Any,
    sent: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    # Called just before the first byte is written.
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
