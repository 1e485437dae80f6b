"""What all daemons have in common: the loop, signals, and a clean stop."""

import gc
import os
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiomisc
import uvloop

# uvloop opens an io_uring in every loop unless it is told not to before the
# loop is made; the machines that this runs on forbid it.
os.environ['UV_USE_IO_URING'] = '0'
# libuv looks addresses up on a pool of threads, IP numbers too; one thread
# is the least that it can be told.  No Python code runs there.
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
        """Leaves the context, which drains what is in flight."""
        await self.managed_context.__aexit__(None, None, None)


def run_until_stopped(
    *contexts: AbstractAsyncContextManager[Any],
    stop_timeout_s: float = STOP_TIMEOUT_S,
) -> None:
    """Runs contexts on one loop until SIGTERM or SIGINT, then leaves them.

    Args:
        contexts: What to run, left in the order given.
        stop_timeout_s: Seconds after which a stop is cut short.
    """
    # A loop of our own keeps aiomisc from starting its pool of threads.
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
    # What was loaded by now lives as long as the process.  Of what follows,
    # almost all is freed by reference counts; a collector that runs for every
    # 700 objects spends a third of the time on tasks in flight.
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS, COLLECT_RATIO, COLLECT_RATIO)
