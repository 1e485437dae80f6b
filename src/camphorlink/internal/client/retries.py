"""Retry policy of the client: a retry budget and back-off with jitter."""

import asyncio
import random
from typing import NamedTuple


class RetryLimits(NamedTuple):
    """Limits on the retries of one client.

    Attributes:
        share: Retries that each first send adds to the budget, a fraction
            of 1.
        reserve: Capacity of the budget in retries; the budget starts full.
        max_tries: Maximum number of attempts per submission, the first one
            included.
        base_delay_s: Mean delay before the first retry, in seconds.
        max_delay_s: Upper bound of the mean delay, in seconds.
    """

    share: float = 0.1
    reserve: float = 10.0
    max_tries: int = 5
    base_delay_s: float = 0.05
    max_delay_s: float = 2.0


class RetryBudget:
    """Token bucket that limits retries to a fraction of the first sends."""

    def __init__(self, limits: RetryLimits) -> None:
        """Creates a full budget."""
        self._limits = limits
        self._available = limits.reserve

    def record_first_send(self) -> None:
        """Adds the share of one first send to the budget."""
        self._available = min(
            self._limits.reserve, self._available + self._limits.share
        )

    def try_spend(self) -> bool:
        """Spends one retry; returns whether one was available."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


def retry_delay_s(
    limits: RetryLimits,
    retry_count: int,
    rng: random.Random,
    min_delay_s: float | None = None,
) -> float:
    """Returns the delay before a retry: exponential back-off with jitter.

    Args:
        limits: Base and upper bound of the mean delay.
        retry_count: Retries made so far.
        rng: Source of jitter, which spreads clients that failed together.
        min_delay_s: Delay of the server's ``Retry-After``, in seconds.

    Returns:
        Seconds; 0.5 to 1.5 times the mean, added to ``min_delay_s``.
    """
    mean_s = min(limits.max_delay_s, limits.base_delay_s * 2**retry_count)
    return (min_delay_s or 0) + mean_s * rng.uniform(0.5, 1.5)


class RetryPolicy:
    """Decides whether a request is retried, and waits before the retry."""

    def __init__(self, limits: RetryLimits, rng: random.Random) -> None:
        """Creates a policy with a full retry budget."""
        self.limits = limits
        self._rng = rng
        self._budget = RetryBudget(limits)

    def record_first_send(self) -> None:
        """Adds the share of one first send to the retry budget."""
        self._budget.record_first_send()

    async def wait_before_retry(
        self,
        retry_count: int,
        deadline_s: float,
        min_delay_s: float | None = None,
    ) -> bool:
        """Waits if attempts, deadline and budget allow another retry.

        Args:
            retry_count: Retries made so far.
            deadline_s: Loop time after which no retry is made, in seconds.
            min_delay_s: Delay of ``Retry-After``, in seconds.

        Returns:
            Whether to retry now.
        """
        loop = asyncio.get_running_loop()
        delay_s = retry_delay_s(
            self.limits, retry_count, self._rng, min_delay_s
        )
        if retry_count + 1 >= self.limits.max_tries:
            return False
        if loop.time() + delay_s >= deadline_s or not self._budget.try_spend():
            return False
        await asyncio.sleep(delay_s)
        return True
