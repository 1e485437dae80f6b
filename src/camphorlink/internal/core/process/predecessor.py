"""What an earlier owner of a cell may have left running.

The log names the lifetimes that it gave orders to.  Its unfinished tasks may
start only when each of these has listed its runs to the new owner, which
shuts the old one out there, or when nothing ordered before can still run.
"""

from collections.abc import Mapping

from camphorlink.internal.core.connection.backend_runs import (
    LATE_ORDER_S,
    LEASE_S,
)

#: Longest time that an owner goes on after the store last confirmed it, in
#: seconds: bridges the store's outages of up to 9 s.
CONFIRMED_FOR_S = 10.0
#: After this long no order of an earlier owner is carried out, and no lease
#: that it renewed still lasts, in seconds.
ORDERS_OVER_S = CONFIRMED_FOR_S + LATE_ORDER_S + LEASE_S + 1.0


class Predecessor:
    """Lifetimes that an earlier owner commanded and that were not heard yet.

    Attributes:
        unheard_by_id: Start of each lifetime, in ms, by back end.
    """

    def __init__(self, commanded: Mapping[str, int], now: float) -> None:
        """Takes what the log says that the earlier owner commanded."""
        self.unheard_by_id = dict(commanded)
        self._until_s = now + ORDERS_OVER_S

    def note_heard(self, backend_id: str, born_ms: int) -> None:
        """Notes that a lifetime, or a later one, has listed its runs."""
        if self.unheard_by_id.get(backend_id, born_ms) <= born_ms:
            self.unheard_by_id.pop(backend_id, None)

    def note_gone(self, backend_id: str) -> None:
        """Notes that a lifetime is over for certain."""
        self.unheard_by_id.pop(backend_id, None)

    def is_over(self, now: float) -> bool:
        """Tells whether nothing unseen of the earlier owner can run."""
        return not self.unheard_by_id or now > self._until_s
