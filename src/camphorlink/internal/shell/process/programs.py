"""Event loop, signal handling and clean stop for all daemons."""

import gc
import os
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiomisc
import uvloop

# uvloop opens an io_uring in every loop unless this is set before the loop is
# created.  The machines that run the daemons forbid io_uring.
os.environ['UV_USE_IO_URING'] = '0'
# libuv resolves addresses, numeric ones included, on a thread pool, whose
# smallest size is one thread.  No Python code runs on that thread.
os.environ['UV_THREADPOOL_SIZE'] = '1'

STOP_TIMEOUT_S = 10.0
COLLECT_AFTER_OBJECTS = 50_000
COLLECT_RATIO = 20


class ContextService(aiomisc.Service):
    """Runs an asynchronous context manager as a service of the process."""

    managed_context: AbstractAsyncContextManager[Any]

    async def start(self) -> None:
        """Enters the context."""
        await self.managed_context.__aenter__()

    async def stop(self, exception: Exception | None = None) -> None:
        """Leaves the context, which waits for the work in flight."""
        await self.managed_context.__aexit__(None, None, None)


def run_until_stopped(
    *contexts: AbstractAsyncContextManager[Any],
    stop_timeout_s: float = STOP_TIMEOUT_S,
) -> None:
    """Runs contexts on one loop until SIGTERM or SIGINT, then leaves them.

    Args:
        contexts: Contexts to run; they are left in this order.
        stop_timeout_s: Longest time to wait for a clean stop, in seconds.
    """
    # Passing a loop keeps aiomisc from starting its thread pool.
    services = [ContextService(managed_context=context) for context in contexts]
    with aiomisc.entrypoint(
        *services,
        log_config=False,
        loop=uvloop.new_event_loop(),
        shutdown_timeout=stop_timeout_s,
    ) as loop:
        _configure_garbage_collection()
        loop.run_forever()


def _configure_garbage_collection() -> None:
    # Objects loaded so far live as long as the process.  Almost all later
    # objects are freed by reference counting; a collector that runs after
    # every 700 objects spends a third of the time on tasks in flight.
    gc.enable()
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS, COLLECT_RATIO, COLLECT_RATIO)
