"""Whom to ask for a newer configuration, when the log does not bring it.

Heartbeats carry versions.  Who hears of a newer one waits a moment for the
log, then asks one peer after the other.  Asking beats pushing: the one that
is behind knows whether it still is, so the state crosses each link once.
"""

import random

from camphorlink.internal.core.request.identifiers import Home

#: Time that the log gets to bring what a heartbeat announced.
LOG_WAIT_S = 0.3
#: Time after which another peer is asked.
RETRY_INTERVAL_S = 1.0


class ConfigPeerSelector:
    """Keeps the versions that peers announced, and chooses whom to ask."""

    def __init__(self, rng: random.Random) -> None:
        """Starts without peers; ``rng`` spreads who asks whom."""
        self._rng = rng
        self._version_by_peer: dict[Home, int] = {}
        self._behind_since_s: float | None = None
        self._requested_s = float('-inf')
        self._requested_peers: list[Home] = []

    def record_version(self, peer: Home, version: int) -> None:
        """Takes the version that a peer announced."""
        self._version_by_peer[peer] = version

    def keep_only(self, peers: set[Home]) -> None:
        """Forgets all peers but these."""
        for peer in set(self._version_by_peer) - peers:
            self._version_by_peer.pop(peer)

    def choose(self, own_version: int, now: float) -> Home | None:
        """Chooses the peer to ask now.

        Args:
            own_version: Version in force here.
            now: Core time in seconds.

        Returns:
            A peer that is ahead and was not asked lately, or ``None`` when
            nobody is ahead or it is not yet time to ask.
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
        # Those who are behind together do not all ask the same peer.
        chosen = self._rng.choice(candidates)
        self._requested_peers.append(chosen)
        return chosen
