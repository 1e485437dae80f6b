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
PEER_TIMEOUT_S = 1.0
#: Age of the last answer of the store after which a VM is no fit owner, in
#: seconds: the store is asked every 0.7 s and may take 0.3 s.
STORE_TIMEOUT_S = 2.0
#: Time that a VM leaves to each one that comes before it, in seconds.
CLAIM_STAGGER_S = 0.4
#: Time that VMs of other zones leave to those of the cell's own, in seconds.
OTHER_ZONE_DELAY_S = 0.8
#: Time that a VM of the cell's zone waits before it takes the cell back from
#: an owner elsewhere, in seconds: it may be just about to fail again.
TAKE_BACK_DELAY_S = 1.0
#: Time after its start in which a VM learns of its peers, in seconds: their
#: channels open within 0.1 s; a claim too early costs a hand-over.
STARTUP_DELAY_S = 0.25


class PeerView(NamedTuple):
    """What a VM knows of another, or of itself.

    Attributes:
        member: Name of its process.
        zone: Its availability zone.
        message_age_s: Age of its last message, in seconds.
        store_age_s: Age of its last answer of the store when it said so.
        is_leaving: Whether it is about to stop.
    """

    member: str
    zone: str
    message_age_s: float
    store_age_s: float
    is_leaving: bool

    @property
    def is_eligible(self) -> bool:
        """Whether it can own a cell."""
        return (
            self.message_age_s < PEER_TIMEOUT_S
            and self.store_age_s < STORE_TIMEOUT_S
            and not self.is_leaving
        )


class CellClaimPolicy:
    """Decides for one VM and one cell."""

    def __init__(self, cell: str, started_s: float) -> None:
        """Starts with no doubt in the owner."""
        self.cell = cell
        self._ready_s = started_s + STARTUP_DELAY_S
        self._ineligible_since_s: float | None = None

    def should_claim(
        self,
        own_view: PeerView,
        peers: Iterable[PeerView],
        owner: Owner,
        now: float,
    ) -> bool:
        """Tells whether this VM should claim the cell now.

        Args:
            own_view: This VM.
            peers: All others that it knows of.
            owner: Owner by the log as far as it is read.
            now: Time in seconds.
        """
        if (
            owner.member == own_view.member
            or not own_view.is_eligible
            or now < self._ready_s
        ):
            self._ineligible_since_s = None
            return False
        views = list(peers)
        eligible_peers = [peer for peer in views if peer.is_eligible]
        eligible_owners = [
            peer for peer in eligible_peers if peer.member == owner.member
        ]
        if eligible_owners and not self._is_preferred(
            own_view, eligible_owners[0]
        ):
            self._ineligible_since_s = None
            return False
        if self._ineligible_since_s is None:
            self._ineligible_since_s = now
        delay_s = self._claim_delay_s(own_view, views, eligible_peers)
        if eligible_owners:
            delay_s += TAKE_BACK_DELAY_S
        return now - self._ineligible_since_s >= delay_s

    def _is_preferred(self, own_view: PeerView, owner: PeerView) -> bool:
        return own_view.zone == self.cell and owner.zone != self.cell

    def _claim_delay_s(
        self,
        own_view: PeerView,
        views: list[PeerView],
        eligible_peers: list[PeerView],
    ) -> float:
        """Returns how long this VM waits while the owner is unfit."""
        rank = sum(
            1
            for peer in eligible_peers
            if peer.zone == own_view.zone and peer.member < own_view.member
        )
        if own_view.zone == self.cell:
            return rank * CLAIM_STAGGER_S
        if any(peer.zone == self.cell for peer in eligible_peers):
            return math.inf
        # Who hears nothing at all from a zone may be cut off from it.
        has_zone_peer = any(peer.zone == self.cell for peer in views)
        return (
            OTHER_ZONE_DELAY_S + rank * CLAIM_STAGGER_S
            if has_zone_peer
            else math.inf
        )

    def reset_claim_delay(self) -> None:
        """Notes that a claim is under way; the next doubt starts anew."""
        self._ineligible_since_s = None
