"""Ownership of what a part has opened, shared by parts that own others."""

import contextlib
from types import TracebackType


class StackOwner:
    """Leaving its context closes all that was put on its stack, last first."""

    def __init__(self) -> None:
        """Starts with nothing to close."""
        self._stack = contextlib.AsyncExitStack()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all parts."""
        await self._stack.aclose()
