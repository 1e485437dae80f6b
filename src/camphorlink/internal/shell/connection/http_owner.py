"""Ownership of a pool of HTTP connections, shared by the small clients."""

from types import TracebackType
from typing import Self

import aiohttp


class HttpOwner:
    """Opens a pool of connections with its context and closes it again.

    Attributes:
        timeout_s: Longest time for a whole answer, in seconds.
    """

    timeout_s: float

    async def __aenter__(self) -> Self:
        """Opens the pool of connections."""
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
