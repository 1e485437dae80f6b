"""When a VM claims a cell: the VMs of its zone in turn, when its owner fails.

Faults that it answers: an owner that is killed, stopped, frozen, cut off from
its peers or from the store.  A claim is safe at any time, since the log and
the back ends shut the former owner out; a needless one costs a hand-over.
"""

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
        fit = [peer for peer in peers if peer.is_fit]
        if any(peer.member == owner.member for peer in fit):
            self._unfit_since_s = None
            return False
        if self._unfit_since_s is None:
            self._unfit_since_s = now
        if me.zone != self.cell:
            return False
        before = sum(
            1
            for peer in fit
            if peer.zone == self.cell and peer.member < me.member
        )
        return now - self._unfit_since_s >= before * TURN_S

    def note_claimed(self) -> None:
        """Notes that a claim is under way; the next doubt starts anew."""
        self._unfit_since_s = None
