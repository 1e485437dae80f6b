"""Runs coroutines as tasks whose unexpected errors are logged.

One error that nobody foresaw would otherwise end a loop that the process needs,
without a log line, while the rest of the process goes on.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

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


async def keep_running(
    run: Callable[[], Awaitable[None]], delay_s: float, log: PartLog
) -> None:
    """Runs a coroutine function again when it ends, whatever errors it raises.

    Args:
        run: Coroutine function that returns only after an error.
        delay_s: Pause until it is run again, in seconds.
        log: Log of unexpected errors.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception('background task failed; it is started again')
        await asyncio.sleep(delay_s)


def start_logged(
    coroutine: Coroutine[Any, Any, Any], log: PartLog
) -> asyncio.Task[Any]:
    """Starts a task that nobody awaits; an unexpected error of it is logged."""

    def log_error(ended: asyncio.Task[Any]) -> None:  # noqa: WPS430
        if not ended.cancelled() and ended.exception() is not None:
            log.error('background task failed', exc_info=ended.exception())

    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(log_error)
    return task
