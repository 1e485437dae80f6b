"""Lets callers wait for the completion of a durable job."""

import asyncio

Waiter = asyncio.Future[None]


class CompletionWaiters:
    """Holds the futures of waiting callers by job.

    The futures of a job are resolved when the job ends.
    """

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._waiters_by_id: dict[str, set[Waiter]] = {}

    def wake_waiters(self, job_id: str) -> None:
        """Wakes all callers that wait for a job."""
        for waiter in self._waiters_by_id.pop(job_id, ()):
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, job_id: str, wait_s: float) -> None:
        """Waits until a live job ends or a timeout expires.

        Args:
            job_id: The job.
            wait_s: The timeout, in seconds.
        """
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_id.setdefault(job_id, set()).add(waiter)
        await asyncio.wait((waiter,), timeout=wait_s)
        waiters = self._waiters_by_id.get(job_id, set())
        waiters.discard(waiter)
        if not waiters:
            self._waiters_by_id.pop(job_id, None)
