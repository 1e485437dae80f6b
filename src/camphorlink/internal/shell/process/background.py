"""Runs a coroutine for as long as a context is open."""

import asyncio
from collections.abc import Coroutine


class BackgroundTask:
    """A task that is cancelled when its context closes."""

    def __init__(self, coroutine: Coroutine[None, None, None]) -> None:
        """Takes what to run."""
        self._coroutine = coroutine

    def __enter__(self) -> asyncio.Task[None]:
        """Starts it."""
        self._task = asyncio.get_running_loop().create_task(self._coroutine)
        return self._task

    def __exit__(self, *exc_info: object) -> None:
        """Cancels it."""
        self._task.cancel()
