"""Callers who wait a moment for a durable job to end."""

import asyncio

Waiter = asyncio.Future[None]


class CompletionWaiters:
    """Futures by job, resolved when the job ends."""

    def __init__(self) -> None:
        """Starts with nobody waiting."""
        self._waiters_by_id: dict[str, set[Waiter]] = {}

    def wake_waiters(self, job_id: str) -> None:
        """Wakes all who wait for a job."""
        for waiter in self._waiters_by_id.pop(job_id, ()):
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, job_id: str, wait_s: float) -> None:
        """Waits for a live job to end, or for some time."""
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_id.setdefault(job_id, set()).add(waiter)
        await asyncio.wait((waiter,), timeout=wait_s)
        waiters = self._waiters_by_id.get(job_id, set())
        waiters.discard(waiter)
        if not waiters:
            self._waiters_by_id.pop(job_id, None)
