"""Sends HTTP requests without retries and raises typed errors."""

from collections.abc import Mapping
from types import MappingProxyType, TracebackType

import aiohttp

from camphorlink.internal.client.errors import NoAnswerError
from camphorlink.internal.client.replies import RawReply

CONNECT_TIMEOUT_S = 1.0
NO_HEADERS: Mapping[str, str] = MappingProxyType({})
_HEADERS = {'Content-Type': 'application/json'}


class Transport:
    """Connection pool of one client to the entry VMs."""

    async def __aenter__(self) -> 'Transport':
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )
        # aiohttp resends a PUT by itself when a connection drops, which
        # bypasses the retry budget, and has no public switch for that.  A
        # test counts the requests and fails if this attribute has no effect.
        self._session._retry_connection = False  # noqa: WPS437
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._session.close()

    async def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> RawReply:
        """Sends one request and reads the whole response.

        Raises:
            NoAnswerError: No response was received; ``may_have_arrived``
                says whether the entry VM may have received the request.
        """
        try:
            return await self._request(method, url, body, timeout_s, headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise NoAnswerError(f'cannot connect to {url}', False) from None
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise NoAnswerError(f'no answer from {url}', True) from exc

    async def _request(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_s: float,
        headers: Mapping[str, str],
    ) -> RawReply:
        request = self._session.request(
            method,
            url,
            data=body,
            headers={**_HEADERS, **headers},
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=timeout_s,
                sock_connect=CONNECT_TIMEOUT_S,
            ),
        )
        async with request as response:
            return RawReply(
                response.status,
                response.headers,
                await response.read(),
            )
