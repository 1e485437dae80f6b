"""Spreads out the times at which refused callers return.

This addresses bursts in which many callers are refused within a fraction of a
second.  If all of them were given the same Retry-After, they would return
together and most of them would be refused again.  Each caller is therefore
given the time at which the capacity for the callers before it is expected to
be free.
"""

import math

#: Minimum and maximum Retry-After, in seconds: the header holds whole seconds,
#: and later than in 8 s the forecast says nothing about the load.
MIN_RETURN_S = 1
MAX_RETURN_S = 8


class ReturnTimes:
    """Return times of the callers that one coordinator refuses.

    There is one instance for each service.
    """

    def __init__(self) -> None:
        """Creates an instance that expects no caller to return."""
        self._booked_until_s = -math.inf

    def next_return_s(self, now: float, wait_s: float, work_s: float) -> int:
        """Returns the Retry-After of a refused job, in whole seconds.

        Args:
            now: Time in seconds.
            wait_s: Time until the work that waits now is done, in seconds.
            work_s: Time that this coordinator's share of the capacity needs
                for the job, in seconds.
        """
        start_s = max(self._booked_until_s, now + wait_s)
        # Without the bound, a long overload would delay callers after its end.
        self._booked_until_s = min(start_s + work_s, now + MAX_RETURN_S)
        return_s = math.ceil(round(start_s - now, 3))
        return min(max(return_s, MIN_RETURN_S), MAX_RETURN_S)
