"""Runs a coroutine as a task while a context is open."""

import asyncio
from collections.abc import Coroutine


class BackgroundTask:
    """Context manager for a task that is cancelled on exit."""

    def __init__(self, coroutine: Coroutine[None, None, None]) -> None:
        """Stores the coroutine; it starts when the context is entered."""
        self._coroutine = coroutine

    def __enter__(self) -> asyncio.Task[None]:
        """Starts and returns the task."""
        self._task = asyncio.get_running_loop().create_task(self._coroutine)
        return self._task

    def __exit__(self, *exc_info: object) -> None:
        """Cancels the task."""
        self._task.cancel()
