"""Decides when a VM claims a cell whose owner has failed.

An owner counts as failed if it is killed, stopped, frozen, or cut off from its
peers or from the store.  VMs of the cell's own zone claim first, the largest
before the others, with staggered delays.  A claim is safe at any time, since
the log and the back ends fence the former owner off; an unnecessary one only
costs a hand-over.

A VM knows the state of the owners only.  It ranks itself among all VMs that are
registered in the store, so that no messages between the others are needed.  A
rank that belongs to a VM which is gone costs one short delay.
"""

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import Owner

#: Age of a peer's last message after which it counts as failed, in seconds:
#: several heartbeats and a pause of a slow VM.
PEER_TIMEOUT_S = 1.0
#: Age of the store's last answer after which a VM may not own a cell, in
#: seconds: a read that waits for records returns after 0.8 s, and may take 0.3 s
#: more.
STORE_TIMEOUT_S = 2.0
#: Delay of a claim per VM with a lower rank, in seconds: all VMs read a claim
#: within about 0.02 s, and two claims at once are harmless.
CLAIM_STAGGER_S = 0.06
#: Largest delay of a claim, in seconds, whatever the number of VMs.
MAX_STAGGER_S = 1.2
#: Additional delay for VMs of other zones, in seconds: those of the cell's own
#: zone claim first.
OTHER_ZONE_DELAY_S = 1.5
#: Delay before a VM of the cell's zone takes the cell back from an owner in
#: another zone, in seconds: that VM may be about to fail again.
TAKE_BACK_DELAY_S = 1.0
#: Delay before the first VM of the zone takes the cell over from a much smaller
#: one, in seconds: longer than a VM that returns needs to be ready.
OUTGROWN_DELAY_S = 3.0
#: Ratio of processor capacities from which on an owner is much smaller.  An owner
#: starts hundreds of tasks a second.
OUTGROWN_RATIO = 2.0
#: Time for which a new owner counts as eligible although it is not linked yet, in
#: seconds: channels open within 0.1 s.  Several VMs would otherwise claim the cell
#: one after the other.
NEW_OWNER_LINK_S = 0.25
#: Time after its start before a VM claims anything, in seconds.  Channels to
#: peers open within 0.1 s; a claim too early costs a hand-over.
STARTUP_DELAY_S = 0.25
#: The same for a cell that never had an owner, in seconds.  All VMs start
#: together then, and the largest of them should be registered.
FIRST_CLAIM_DELAY_S = 1.0


class ListedMember(NamedTuple):
    """A VM that is registered in the store.

    Attributes:
        member: Name of its process.
        zone: Its availability zone.
        cores: Its processor capacity, in cores.
    """

    member: str
    zone: str
    cores: float = 1.0


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
        self._started_s = started_s
        self._ineligible_since_s: float | None = None
        self._owner_term = 0
        self._owner_since_s = -math.inf

    def should_claim(
        self,
        own_view: PeerView,
        peers: Iterable[PeerView],
        owner: Owner,
        now: float,
        listed: Collection[ListedMember] = (),
        own_cores: float = 1.0,
    ) -> bool:
        """Returns whether this VM should claim the cell now.

        Args:
            own_view: State of this VM.
            peers: The VMs whose state is known.
            owner: Owner according to the part of the log read so far.
            now: Time in seconds.
            listed: All other registered VMs.
            own_cores: Processor capacity of this VM, in cores.
        """
        startup_delay_s = (
            STARTUP_DELAY_S if owner.member else FIRST_CLAIM_DELAY_S
        )
        if is_replaced(owner.member, own_view.member, listed):
            startup_delay_s = 0
        self._record_owner(owner, now)
        if (
            owner.member == own_view.member
            or not own_view.is_eligible
            or now < self._started_s + startup_delay_s
            or now < self._owner_since_s + NEW_OWNER_LINK_S
        ):
            self._ineligible_since_s = None
            return False
        views = list(peers)
        own = ListedMember(own_view.member, own_view.zone, own_cores)
        rank = claim_rank(own, views, listed, owner.member)
        delay_s = 0.0
        for peer in views:
            if peer.member == owner.member and peer.is_eligible:
                delay_s = self._take_back_delay_s(own, rank, peer, listed)
        if math.isinf(delay_s):
            self._ineligible_since_s = None
            return False
        if self._ineligible_since_s is None:
            self._ineligible_since_s = now
        delay_s += self._claim_delay_s(own_view, views, rank)
        return now - self._ineligible_since_s >= delay_s

    def _record_owner(self, owner: Owner, now: float) -> None:
        """Restarts the claim delay when the cell has a new owner."""
        if owner.term != self._owner_term:
            if self._owner_term:
                self._owner_since_s = now
            self._owner_term = owner.term
            self._ineligible_since_s = None

    def _take_back_delay_s(
        self,
        own: ListedMember,
        rank: int,
        owner: PeerView,
        listed: Collection[ListedMember],
    ) -> float:
        """Returns the delay of a claim that replaces an eligible owner.

        It is infinite if the owner is to stay.
        """
        if own.zone != self.cell:
            return math.inf
        if owner.zone != self.cell:
            return TAKE_BACK_DELAY_S
        owner_cores = [
            entry.cores for entry in listed if entry.member == owner.member
        ]
        is_outgrown = any(
            own.cores >= OUTGROWN_RATIO * cores for cores in owner_cores
        )
        return OUTGROWN_DELAY_S if is_outgrown and not rank else math.inf

    def is_due_soon(self, own_view: PeerView, now: float) -> bool:
        """Returns whether this VM may have to claim the cell in a moment.

        The time of a claim must then be checked often: each delay leaves the
        callers of the zone without a cell.
        """
        is_starting = now < self._started_s + FIRST_CLAIM_DELAY_S
        return own_view.zone == self.cell and (
            is_starting or self._ineligible_since_s is not None
        )

    def _claim_delay_s(
        self,
        own_view: PeerView,
        views: list[PeerView],
        rank: int,
    ) -> float:
        """Returns how long this VM waits before a claim, in seconds."""
        stagger_s = min(rank * CLAIM_STAGGER_S, MAX_STAGGER_S)
        if own_view.zone == self.cell:
            return stagger_s
        if any(peer.zone == self.cell and peer.is_eligible for peer in views):
            return math.inf
        # Without messages from any VM of the zone, this VM may be cut off
        # from the zone while its owner still works.
        has_zone_peer = any(peer.zone == self.cell for peer in views)
        return OTHER_ZONE_DELAY_S + stagger_s if has_zone_peer else math.inf

    def reset_claim_delay(self) -> None:
        """Restarts the claim delay after a claim was sent."""
        self._ineligible_since_s = None


def is_replaced(
    owner: str, own_member: str, listed: Iterable[ListedMember]
) -> bool:
    """Returns whether a later process of the owner's VM is known.

    The owner has then ended, and no channel to it needs to be awaited.

    Args:
        owner: Member that owns a cell.
        own_member: This process.
        listed: All other registered VMs.
    """
    vm = vm_of(owner)
    members = {own_member, *(entry.member for entry in listed)}
    return any(
        member != owner and vm_of(member) == vm
        for member in members
        if owner and member
    )


def vm_of(member: str) -> str:
    """Returns the name of the VM of a process, which outlives the process."""
    return member.rpartition('#')[0]


def claim_rank(
    own: ListedMember,
    views: Iterable[PeerView],
    listed: Iterable[ListedMember],
    owner: str,
) -> int:
    """Returns the number of VMs of the own zone that should claim first.

    The larger of two VMs is first; a cell's owner handles hundreds of starts a
    second.

    Args:
        own: This VM.
        views: The VMs whose state is known.
        listed: All other registered VMs.
        owner: Member that owns the cell, which is to be replaced.
    """
    cores_by_member = {
        entry.member: entry.cores for entry in listed if entry.zone == own.zone
    }
    for peer in views:
        if not peer.is_eligible or peer.zone != own.zone:
            cores_by_member.pop(peer.member, None)
        else:
            cores_by_member.setdefault(peer.member, own.cores)
    cores_by_member.pop(owner, None)
    own_order = (-own.cores, own.member)
    return sum(
        (-cores, member) < own_order
        for member, cores in cores_by_member.items()
    )
