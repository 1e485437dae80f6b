"""Base class of HTTP clients that own a connection pool."""

import asyncio
from types import TracebackType
from typing import Any, Self

import aiohttp
from aiohttp.client_exceptions import ClientConnectorError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import ceil_timeout

#: Number of idle and busy connections of one client; 0 for no limit.  A limit
#: would delay calls to healthy back ends while others keep theirs waiting; the
#: number of back ends of the owned cells bounds it instead.
MAX_CONNECTIONS = 0


class NumericConnector(aiohttp.TCPConnector):
    """Connection pool for numeric addresses without TLS.

    The platform gives numeric addresses only.  Racing connections to several
    addresses of a name, as the base class does, takes half of the processor
    time of opening a connection.
    """

    async def _wrap_create_connection(  # noqa: WPS211
        self,
        *args: Any,
        addr_infos: Any,
        req: Any,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        # The caller tries the next address after an error.
        ip, port = addr_infos[0][-1][:2]
        try:
            async with ceil_timeout(timeout.sock_connect):
                return await self._loop.create_connection(args[0], ip, port)
        except OSError as exc:
            if exc.errno is None and isinstance(exc, asyncio.TimeoutError):
                raise
            raise client_error(req.connection_key, exc) from exc


class HttpOwner:
    """Opens a connection pool on entering its context and closes it on exit.

    Attributes:
        timeout_s: Timeout of a complete request, in seconds.
    """

    timeout_s: float

    async def __aenter__(self) -> Self:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=NumericConnector(limit=MAX_CONNECTIONS),
            timeout=aiohttp.ClientTimeout(total=self.timeout_s),
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._session.close()
