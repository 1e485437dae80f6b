"""Sends tasks to backend servers, each at most once.

Only two failures prove that a task was not started: a connection that could
not be opened, and the typed refusal of the backend server.  In every other
failure the request may have arrived, so the task counts as lost.
"""

import asyncio
from types import TracebackType

import aiohttp
import orjson
from yarl import URL

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.reasons import Reason

#: Header of a backend server that says whether a refused task was started.
STARTED_HEADER = 'Task-Started'
CONNECT_TIMEOUT_S = 1.0
MAX_DETAIL_CHARS = 200
_REASON_BY_CODE = {
    'busy': Reason.BACKEND_BUSY,
    'leaving': Reason.BACKEND_LEAVING,
}

TaskReport = (
    messages.TaskFinished
    | messages.TaskFailed
    | messages.TaskNotStarted
    | messages.TaskLost
)


class BackendClient:
    """HTTP client towards the backend servers of one entry VM."""

    async def __aenter__(self) -> 'BackendClient':
        """Opens the pool of connections."""
        # POST is never sent again by aiohttp itself; a test holds it to that.
        # What runs for every task is left out: cookies, headers that say
        # nothing here, a timeout object for each request.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
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
        ticket = start.ticket
        try:
            async with asyncio.timeout(start.timeout_s):
                return await self._post(start)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return messages.TaskNotStarted(ticket, Reason.CONNECT_FAILED)
        except TimeoutError:
            return messages.TaskLost(ticket, Reason.TASK_TIMEOUT)
        except (aiohttp.ClientError, OSError, orjson.JSONDecodeError):
            return messages.TaskLost(ticket, Reason.CONNECTION_LOST)

    async def _post(self, start: messages.StartTask) -> TaskReport:
        ticket = start.ticket
        request = self._session.post(
            self._url_of(start.address),
            data=orjson.dumps(start.payload),
            headers={
                'Content-Type': 'application/json',
                'Task-Reference': f'{ticket.submission_id}/{start.task_id}',
                'Task-Service': start.service,
            },
        )
        async with request as response:
            return _read_report(ticket, response, await response.read())

    def _url_of(self, address: str) -> URL:
        url = self._url_by_address.get(address)
        if url is None:
            url = URL(f'http://{address}/v1/tasks')
            self._url_by_address[address] = url
        return url


def _read_report(
    ticket: messages.Ticket,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> TaskReport:
    if response.status == aiohttp.http.HTTPStatus.OK:
        return messages.TaskFinished(ticket, orjson.loads(body))
    if response.headers.get(STARTED_HEADER) == 'no':
        code = response.headers.get('Refusal-Code', '')
        reason = _REASON_BY_CODE.get(code, Reason.BACKEND_BUSY)
        return messages.TaskNotStarted(ticket, reason)
    text = body.decode(errors='replace')[:MAX_DETAIL_CHARS]
    return messages.TaskFailed(ticket, f'{response.status}: {text}')
