"""Rate limit of the wants for slots that an entry VM sends to its peers.

Most of the cost of a want is in the loans and returns that it causes.  In a
zone with many entry VMs each VM has many slots and gains little by lending,
while the number of messages would grow with the number of task starts.
Therefore the rate of wants is limited and falls with the number of peers.
"""

from collections.abc import Collection

#: Wants per second of one VM, multiplied by the square of the number of its
#: peers.
WANTS_PER_S = 8.0
#: Largest number of wants in a burst.
BURST_WANTS = 6.0
#: Number of peers that receive one want, chosen in rotation.
PEERS_PER_WANT = 2


class WantBudget:
    """Token bucket that limits the wants of one entry VM."""

    def __init__(self) -> None:
        """Creates a full bucket."""
        self._tokens = BURST_WANTS
        self._refilled_s = 0.0
        self._next_index = 0

    def choose_peers(
        self, addresses: Collection[str], now: float
    ) -> tuple[str, ...]:
        """Returns the addresses for a want; none if the rate limit is reached.

        Args:
            addresses: Addresses of all peers of the zone.
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
