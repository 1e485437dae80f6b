"""Decides when a VM claims a cell whose owner has failed.

An owner counts as failed if it is killed, stopped, frozen, or cut off from its
peers or from the store.  VMs of the cell's own zone claim first, with
staggered delays.  A claim is safe at any time, since the log and the back ends
fence the former owner off; an unnecessary one only costs a hand-over.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import Owner

#: Age of a peer's last message after which it counts as failed, in seconds:
#: several heartbeats and a pause of a slow VM.
PEER_TIMEOUT_S = 1.0
#: Age of the store's last answer after which a VM may not own a cell, in
#: seconds: the store is polled every 0.7 s, and an answer may take 0.3 s.
STORE_TIMEOUT_S = 2.0
#: Delay of a claim per eligible VM with a lower rank, in seconds.
CLAIM_STAGGER_S = 0.4
#: Additional delay for VMs of other zones, in seconds: those of the cell's own
#: zone claim first.
OTHER_ZONE_DELAY_S = 0.8
#: Delay before a VM of the cell's zone takes the cell back from an owner in
#: another zone, in seconds: that VM may be about to fail again.
TAKE_BACK_DELAY_S = 1.0
#: Time after its start before a VM claims anything, in seconds.  Channels to
#: peers open within 0.1 s; a claim too early costs a hand-over.
STARTUP_DELAY_S = 0.25


class PeerView(NamedTuple):
    """State of a VM as known to this VM from its last heartbeat.

    Attributes:
        member: Name of its process.
        zone: Its availability zone.
        message_age_s: Age of its last message, in seconds.
        store_age_s: Age of the store's last answer to it, in seconds, as of
            its last message.
        is_leaving: Whether it is shutting down.
    """

    member: str
    zone: str
    message_age_s: float
    store_age_s: float
    is_leaving: bool

    @property
    def is_eligible(self) -> bool:
        """Whether the VM can own a cell."""
        return (
            self.message_age_s < PEER_TIMEOUT_S
            and self.store_age_s < STORE_TIMEOUT_S
            and not self.is_leaving
        )


class CellClaimPolicy:
    """Decides when one VM claims one cell."""

    def __init__(self, cell: str, started_s: float) -> None:
        """Creates the policy.

        Args:
            cell: Name of the cell.
            started_s: Time in seconds at which this VM started.
        """
        self.cell = cell
        self._may_claim_after_s = started_s + STARTUP_DELAY_S
        self._ineligible_since_s: float | None = None

    def should_claim(
        self,
        own_view: PeerView,
        peers: Iterable[PeerView],
        owner: Owner,
        now: float,
    ) -> bool:
        """Returns whether this VM should claim the cell now.

        Args:
            own_view: State of this VM.
            peers: All other known VMs.
            owner: Owner according to the part of the log read so far.
            now: Time in seconds.
        """
        if (
            owner.member == own_view.member
            or not own_view.is_eligible
            or now < self._may_claim_after_s
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
        """Returns how long this VM waits before a claim, in seconds."""
        rank = sum(
            1
            for peer in eligible_peers
            if peer.zone == own_view.zone and peer.member < own_view.member
        )
        if own_view.zone == self.cell:
            return rank * CLAIM_STAGGER_S
        if any(peer.zone == self.cell for peer in eligible_peers):
            return math.inf
        # Without messages from any VM of the zone, this VM may be cut off
        # from the zone while its owner still works.
        has_zone_peer = any(peer.zone == self.cell for peer in views)
        return (
            OTHER_ZONE_DELAY_S + rank * CLAIM_STAGGER_S
            if has_zone_peer
            else math.inf
        )

    def reset_claim_delay(self) -> None:
        """Restarts the claim delay after a claim was sent."""
        self._ineligible_since_s = None
