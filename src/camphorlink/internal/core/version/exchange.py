"""Selects the peer from which to request a newer configuration.

Heartbeats carry configuration versions.  A VM that receives a higher version
than its own first waits for the log to deliver it, then requests the state from
one peer after another.  Requests are used instead of pushes because a VM knows
whether it is still behind, so that the state is sent over each link only once.
"""

import random

from camphorlink.internal.core.request.identifiers import Home

#: Time to wait for the log to deliver an announced version.
LOG_WAIT_S = 0.3
#: Least time between two requests.
RETRY_INTERVAL_S = 1.0


class ConfigExchange:
    """Tracks the versions of peers and selects one to request state from."""

    def __init__(self, rng: random.Random) -> None:
        """Creates an exchange without known peers.

        Args:
            rng: Source of the random choice among the peers that are ahead.
        """
        self._rng = rng
        self._version_by_peer: dict[Home, int] = {}
        self._behind_since_s: float | None = None
        self._requested_s = float('-inf')
        self._requested_peers: list[Home] = []

    def record_version(self, peer: Home, version: int) -> None:
        """Records the version that a peer announced."""
        self._version_by_peer[peer] = version

    def keep_only(self, peers: set[Home]) -> None:
        """Removes all peers except the given ones."""
        for peer in set(self._version_by_peer) - peers:
            self._version_by_peer.pop(peer)

    def choose(self, own_version: int, now: float) -> Home | None:
        """Returns the peer to which to send a request now.

        Args:
            own_version: Version in force on this VM.
            now: Core time in seconds.

        Returns:
            A peer that is ahead, preferably one without a recent request, or
            ``None`` if no peer is ahead or no request is due yet.
        """
        ahead = [
            peer
            for peer, version in sorted(self._version_by_peer.items())
            if version > own_version
        ]
        if not ahead:
            self._behind_since_s = None
            self._requested_peers.clear()
            return None
        if self._behind_since_s is None:
            self._behind_since_s = now
        is_early = now - self._behind_since_s < LOG_WAIT_S and own_version > 0
        if is_early or now - self._requested_s < RETRY_INTERVAL_S:
            return None
        self._requested_s = now
        return self._choose_next(ahead)

    def _choose_next(self, ahead: list[Home]) -> Home:
        candidates = [
            peer for peer in ahead if peer not in self._requested_peers
        ]
        if not candidates:
            self._requested_peers.clear()
            candidates = ahead
        # A random choice spreads the requests of VMs that are behind at the
        # same time.
        chosen = self._rng.choice(candidates)
        self._requested_peers.append(chosen)
        return chosen
