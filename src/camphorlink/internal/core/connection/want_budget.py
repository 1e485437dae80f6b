"""Which peers may be asked for slots now, so that lending stays cheap.

A want costs its own messages and, above all, the loans and returns that it
calls forth.  In a zone of many entry VMs each has many slots of its own and
gains little by lending, while the messages grow with the starts; so wants
have a rate of their own, which falls with the number of peers.
"""

from collections.abc import Collection

#: Wants a second of one VM, times the square of the number of its peers.
WANTS_PER_S = 8.0
#: Wants that may follow each other without a pause.
BURST_WANTS = 6.0
#: Peers that one want goes to, in turn.
PEERS_PER_WANT = 2


class WantBudget:
    """Token bucket over the wants of one entry VM."""

    def __init__(self) -> None:
        """Starts full."""
        self._tokens = BURST_WANTS
        self._refilled_s = 0.0
        self._next_index = 0

    def choose_peers(
        self, addresses: Collection[str], now: float
    ) -> tuple[str, ...]:
        """Returns the peers that may be asked now; none, if it is too soon.

        Args:
            addresses: Links of all peers of the zone.
            now: Core time in seconds.
        """
        if not addresses:
            return ()
        refill = (now - self._refilled_s) * WANTS_PER_S / len(addresses) ** 2
        self._tokens = min(BURST_WANTS, self._tokens + refill)
        self._refilled_s = now
        if self._tokens < 1:
            return ()
        self._tokens -= 1
        return self._next_peers(sorted(addresses))

    def _next_peers(self, addresses: list[str]) -> tuple[str, ...]:
        count = min(PEERS_PER_WANT, len(addresses))
        first = self._next_index % len(addresses)
        self._next_index = first + count
        return tuple((addresses * 2)[first : first + count])
