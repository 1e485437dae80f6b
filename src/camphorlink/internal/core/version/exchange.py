"""Whom to ask for a newer configuration, when the log does not bring it.

Heartbeats carry versions.  Who hears of a newer one waits a moment for the
log, then asks one peer after the other.  Asking beats pushing: the one that
is behind knows whether it still is, so the state crosses each link once.
"""

import random

from camphorlink.internal.core.request.identifiers import Home

#: Time that the log gets to bring what a heartbeat announced.
GRACE_S = 0.3
#: Time after which another peer is asked.
ASK_AGAIN_S = 1.0


class ConfigExchange:
    """Keeps the versions that peers announced, and chooses whom to ask."""

    def __init__(self, rng: random.Random) -> None:
        """Starts without peers; ``rng`` spreads who asks whom."""
        self._rng = rng
        self._version_by_peer: dict[Home, int] = {}
        self._behind_since_s: float | None = None
        self._asked_s = float('-inf')
        self._asked: list[Home] = []

    def note(self, peer: Home, version: int) -> None:
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
            self._asked.clear()
            return None
        if self._behind_since_s is None:
            self._behind_since_s = now
        is_early = now - self._behind_since_s < GRACE_S and own_version > 0
        if is_early or now - self._asked_s < ASK_AGAIN_S:
            return None
        self._asked_s = now
        return self._next(ahead)

    def _next(self, ahead: list[Home]) -> Home:
        fresh = [peer for peer in ahead if peer not in self._asked]
        if not fresh:
            self._asked.clear()
            fresh = ahead
        # Those who are behind together do not all ask the same peer.
        chosen = self._rng.choice(fresh)
        self._asked.append(chosen)
        return chosen
