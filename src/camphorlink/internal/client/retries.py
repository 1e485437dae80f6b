"""When a client may send once more: a budget, and delays with jitter."""

import asyncio
import random
from typing import NamedTuple


class RetryLimits(NamedTuple):
    """How much a client may repeat.

    Attributes:
        share: Repeats earned by each first send, a share of 1.
        reserve: Repeats that may be saved up, and that a client starts with.
        max_tries: Sends of one submission, the first one included.
        base_delay_s: Mean delay before the first repeat, in seconds.
        max_delay_s: Mean delay that repeats grow to, in seconds.
    """

    share: float = 0.1
    reserve: float = 10.0
    max_tries: int = 5
    base_delay_s: float = 0.05
    max_delay_s: float = 2.0


class RetryBudget:
    """Lets repeats be a share of first sends, however much goes wrong."""

    def __init__(self, limits: RetryLimits) -> None:
        """Starts with a full reserve."""
        self._limits = limits
        self._available = limits.reserve

    def record_first_send(self) -> None:
        """Earns a share of one repeat."""
        self._available = min(
            self._limits.reserve, self._available + self._limits.share
        )

    def try_spend(self) -> bool:
        """Takes one repeat, if one is left."""
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
    """Tells how long to wait before a repeat.

    Args:
        limits: Base and bound of the delay.
        retry_count: Retries made so far.
        rng: Spreads clients that failed together.
        min_delay_s: What the server's ``Retry-After`` asked for.

    Returns:
        Seconds; 0.5 to 1.5 times the mean, on top of what was asked for.
    """
    mean_s = min(limits.max_delay_s, limits.base_delay_s * 2**retry_count)
    return (min_delay_s or 0) + mean_s * rng.uniform(0.5, 1.5)


class RetryPolicy:
    """Decides on repeats, and waits before them."""

    def __init__(self, limits: RetryLimits, rng: random.Random) -> None:
        """Starts with a full budget."""
        self.limits = limits
        self._rng = rng
        self._budget = RetryBudget(limits)

    def record_first_send(self) -> None:
        """Earns a share of one repeat."""
        self._budget.record_first_send()

    async def wait_before_retry(
        self,
        retry_count: int,
        deadline_s: float,
        min_delay_s: float | None = None,
    ) -> bool:
        """Waits before a repeat, if tries, time and budget allow one.

        Args:
            retry_count: Retries made so far.
            deadline_s: Loop time after which no repeat is of use.
            min_delay_s: What ``Retry-After`` asked for, in seconds.

        Returns:
            Whether to repeat now.
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
