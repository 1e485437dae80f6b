"""Runs a coroutine as a task while a context is open, and periodic actions."""

import asyncio
from collections.abc import Callable, Coroutine

from camphorlink.internal.shell.process.logs import PartLog


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


async def repeat(
    action: Callable[[], None],
    period_s: Callable[[], float],
    log: PartLog,
) -> None:
    """Runs an action periodically, whatever errors it raises.

    Without this, one unexpected error would end a loop that the process needs,
    such as its heartbeats, while the rest of the process goes on.

    Args:
        action: The action.
        period_s: Returns the pause until the next run, in seconds.
        log: Log of unexpected errors.
    """
    while True:
        try:
            action()
        except Exception:
            log.exception('periodic action failed; it is run again')
        await asyncio.sleep(period_s())
