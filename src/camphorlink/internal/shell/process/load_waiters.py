"""Jobs that wait until the owner of a cell reports its load."""

import asyncio
from collections.abc import Callable

from camphorlink.internal.shell.process.steady_clock import now_s


class LoadWaiters:
    """Wakes waiting jobs at each load report."""

    def __init__(self) -> None:
        """Creates a set without waiting jobs."""
        self._waiters: dict[asyncio.Future[None], None] = {}

    def wake(self) -> None:
        """Wakes all jobs, which check whether they go on waiting."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_while(
        self, must_wait: Callable[[], bool], longest_s: float
    ) -> None:
        """Waits for load reports while a condition holds.

        Args:
            must_wait: Returns whether the job goes on waiting.
            longest_s: Longest wait, in seconds.
        """
        end_s = now_s() + longest_s
        while must_wait():
            left_s = end_s - now_s()
            if left_s <= 0:
                return
            waiter = asyncio.get_running_loop().create_future()
            self._waiters[waiter] = None
            try:
                await asyncio.wait({waiter}, timeout=left_s)
            finally:
                self._waiters.pop(waiter)
