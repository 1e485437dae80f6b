"""Delays of retries of tasks that provably did not start.

A retry budget limits the retries to a share of the first attempts, so that a
fault does not multiply the messages.  When the budget is used up, tasks are
not abandoned but retried after a longer delay.
"""

import zlib

from camphorlink.internal.core.process.messages import Ticket

MAX_ATTEMPTS = 8
#: Retries that each first attempt adds to the budget.
RETRIES_PER_FIRST_SEND = 0.1
MAX_BUDGET = 50.0
INITIAL_BUDGET = 10.0
FIRST_DELAY_S = 0.005
MAX_DELAY_S = 0.5
#: Delay of a retry when the budget is used up, in seconds.
NO_BUDGET_DELAY_S = 1.0
_CRC_RANGE = 1 << 32


class RetryBudget:
    """Budget of retries, which grows with first attempts.

    The delay grows exponentially with the attempts and is jittered.
    """

    def __init__(self) -> None:
        """Creates a budget with a few retries, so that a new VM can retry."""
        self._budget = INITIAL_BUDGET

    def record_first_sends(self, count: int) -> None:
        """Adds the retries that ``count`` first attempts earn."""
        earned = count * RETRIES_PER_FIRST_SEND
        self._budget = min(self._budget + earned, MAX_BUDGET)

    def delay_s(self, ticket: Ticket) -> float | None:
        """Returns the delay before the next attempt, and uses the budget.

        Args:
            ticket: Attempt that did not start.

        Returns:
            The jittered delay in seconds, or ``None`` if no attempts are left.
        """
        if ticket.attempt >= MAX_ATTEMPTS:
            return None
        if self._budget < 1:
            return NO_BUDGET_DELAY_S * _jitter(ticket)
        self._budget -= 1
        delay_s = FIRST_DELAY_S * 2 ** (ticket.attempt - 1)
        return min(delay_s, MAX_DELAY_S) * _jitter(ticket)


def _jitter(ticket: Ticket) -> float:
    """Returns a jitter factor from 0.5 to 1.5, derived from the ticket."""
    text = f'{ticket.submission_id} {ticket.position} {ticket.attempt}'
    return 0.5 + zlib.crc32(text.encode()) / _CRC_RANGE
