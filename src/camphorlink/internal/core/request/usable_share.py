"""Measures the share of a cell's capacity that its tasks can use.

This addresses tasks that take about half of a back end.  Free capacity is then
left in fragments that no waiting task fits in.  A forecast of waiting times
that divides by the whole capacity is too optimistic, and jobs are admitted that
end too late.
"""

import math

#: Time constant of the moving average, in seconds: about ten short tasks.
AVERAGING_S = 0.5
#: Time after the last measurement until the share is 1 again, in seconds.
RECOVERY_S = 5.0
#: Lower bound of the share.  It bounds the forecast while a large task waits
#: for the first of several small back ends to become empty.
MIN_SHARE = 0.25


class UsableShare:
    """Moving average of the capacity in use while a task fits nowhere."""

    def __init__(self) -> None:
        """Creates an average without measurements."""
        self._share = 1.0
        self._measured_s = -math.inf

    def record(self, now: float, used_milli: int, total_milli: int) -> None:
        """Records a moment in which a waiting task fits on no back end.

        Args:
            now: Time in seconds.
            used_milli: Processor capacity in use, in thousandths of a core.
            total_milli: Processor capacity of the usable back ends, in
                thousandths of a core.
        """
        if total_milli <= 0:
            return
        measured = min(max(used_milli / total_milli, MIN_SHARE), 1)
        weight = 1 - math.exp((self._measured_s - now) / AVERAGING_S)
        share = self.current(now)
        self._share = share + weight * (measured - share)
        self._measured_s = now

    def current(self, now: float) -> float:
        """Returns the share of the capacity that tasks can use, up to 1."""
        # Reports every 0.02 to 0.12 s must not add a recovery of their own.
        recovering_s = max(now - self._measured_s - AVERAGING_S, 0)
        recovered = min(recovering_s / (RECOVERY_S - AVERAGING_S), 1)
        return self._share + recovered * (1 - self._share)
