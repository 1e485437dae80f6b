"""Base class of HTTP clients that own a connection pool."""

from types import TracebackType
from typing import Self

import aiohttp


class HttpOwner:
    """Opens a connection pool on entering its context and closes it on exit.

    Attributes:
        timeout_s: Timeout of a complete request, in seconds.
    """

    timeout_s: float

    async def __aenter__(self) -> Self:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
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
