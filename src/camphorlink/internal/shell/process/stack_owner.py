"""Base class of parts that own other asynchronous contexts."""

import contextlib
from types import TracebackType


class StackOwner:
    """Closes all contexts on its exit stack, last first, when it is left."""

    def __init__(self) -> None:
        """Creates an empty exit stack."""
        self._stack = contextlib.AsyncExitStack()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all contexts on the stack."""
        await self._stack.aclose()
