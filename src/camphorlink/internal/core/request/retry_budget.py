"""When a task that was provably not started is sent once more.

Retries spend a budget that first sends earn, so a fault can't multiply the
messages; without budget a task waits longer, it is not given up.
"""

import zlib

from camphorlink.internal.core.process.messages import Ticket

MAX_ATTEMPTS = 8
#: Retries that each first send earns.
RETRIES_PER_FIRST_SEND = 0.1
MAX_BUDGET = 50.0
INITIAL_BUDGET = 10.0
FIRST_DELAY_S = 0.005
MAX_DELAY_S = 0.5
#: Delay when the budget is spent, in seconds.
NO_BUDGET_DELAY_S = 1.0
_CRC_RANGE = 1 << 32


class RetryBudget:
    """Earns with first sends, spends with retries."""

    def __init__(self) -> None:
        """Starts with a few retries, so that a new VM can retry at all."""
        self._budget = INITIAL_BUDGET

    def record_first_sends(self, count: int) -> None:
        """Earns a share of ``count`` first sends."""
        earned = count * RETRIES_PER_FIRST_SEND
        self._budget = min(self._budget + earned, MAX_BUDGET)

    def delay_s(self, ticket: Ticket) -> float | None:
        """Returns how long to wait before the next try, in seconds.

        Args:
            ticket: The try that was not started.

        Returns:
            The jittered delay, or ``None`` if it was the last try.
        """
        if ticket.attempt >= MAX_ATTEMPTS:
            return None
        if self._budget < 1:
            return NO_BUDGET_DELAY_S * _jitter(ticket)
        self._budget -= 1
        delay_s = FIRST_DELAY_S * 2 ** (ticket.attempt - 1)
        return min(delay_s, MAX_DELAY_S) * _jitter(ticket)


def _jitter(ticket: Ticket) -> float:
    """Draws from 0.5 to 1.5, the same for the same ticket."""
    text = f'{ticket.submission_id} {ticket.position} {ticket.attempt}'
    return 0.5 + zlib.crc32(text.encode()) / _CRC_RANGE
