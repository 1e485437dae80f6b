"""When a VM claims a cell: the VMs of its zone in turn, when its owner fails.

Faults that it answers: an owner that is killed, stopped, frozen, cut off from
its peers or from the store.  A claim is safe at any time, since the log and
the back ends shut the former owner out; a needless one costs a hand-over.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import Owner

#: Age of a peer's last message after which it is taken as gone, in seconds:
#: several heartbeats and a pause of a slow VM.
PEER_SILENCE_S = 1.0
#: Age of the last answer of the store after which a VM is no fit owner, in
#: seconds: the store is asked every 0.7 s and may take 0.3 s.
STORE_SILENCE_S = 2.0
#: Time that a VM leaves to each one that comes before it, in seconds.
TURN_S = 0.4
#: Time that VMs of other zones leave to those of the cell's own, in seconds.
OUTSIDE_S = 0.8
#: Time that a VM of the cell's zone waits before it takes the cell back from
#: an owner elsewhere, in seconds: it may be just about to fail again.
RETURN_S = 1.0
#: Time after its start in which a VM learns of its peers, in seconds: their
#: channels open within 0.1 s; a claim too early costs a hand-over.
SETTLE_S = 0.25


class PeerView(NamedTuple):
    """What a VM knows of another, or of itself.

    Attributes:
        member: Name of its process.
        zone: Its availability zone.
        heard_s: Age of its last message, in seconds.
        store_age_s: Age of its last answer of the store when it said so.
        is_leaving: Whether it is about to stop.
    """

    member: str
    zone: str
    heard_s: float
    store_age_s: float
    is_leaving: bool

    @property
    def is_fit(self) -> bool:
        """Whether it can own a cell."""
        return (
            self.heard_s < PEER_SILENCE_S
            and self.store_age_s < STORE_SILENCE_S
            and not self.is_leaving
        )


class CellClaims:
    """Decides for one VM and one cell."""

    def __init__(self, cell: str, started_s: float) -> None:
        """Starts with no doubt in the owner."""
        self.cell = cell
        self._ready_s = started_s + SETTLE_S
        self._unfit_since_s: float | None = None

    def should_claim(
        self,
        me: PeerView,
        peers: Iterable[PeerView],
        owner: Owner,
        now: float,
    ) -> bool:
        """Tells whether this VM should claim the cell now.

        Args:
            me: This VM.
            peers: All others that it knows of.
            owner: Owner by the log as far as it is read.
            now: Time in seconds.
        """
        if owner.member == me.member or not me.is_fit or now < self._ready_s:
            self._unfit_since_s = None
            return False
        views = list(peers)
        fit = [peer for peer in views if peer.is_fit]
        owning = [peer for peer in fit if peer.member == owner.member]
        if owning and not self._is_better(me, owning[0]):
            self._unfit_since_s = None
            return False
        if self._unfit_since_s is None:
            self._unfit_since_s = now
        turn_s = self._turn_s(me, views, fit)
        if owning:
            turn_s += RETURN_S
        return now - self._unfit_since_s >= turn_s

    def _is_better(self, me: PeerView, owner: PeerView) -> bool:
        return me.zone == self.cell and owner.zone != self.cell

    def _turn_s(
        self,
        me: PeerView,
        views: list[PeerView],
        fit: list[PeerView],
    ) -> float:
        """Returns how long this VM waits while the owner is unfit."""
        before = sum(
            1
            for peer in fit
            if peer.zone == me.zone and peer.member < me.member
        )
        if me.zone == self.cell:
            return before * TURN_S
        if any(peer.zone == self.cell for peer in fit):
            return math.inf
        # Who hears nothing at all from a zone may be cut off from it.
        is_heard = any(peer.zone == self.cell for peer in views)
        return OUTSIDE_S + before * TURN_S if is_heard else math.inf

    def note_claimed(self) -> None:
        """Notes that a claim is under way; the next doubt starts anew."""
        self._unfit_since_s = None
