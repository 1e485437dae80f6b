"""Decides when tasks of a cell that is out of reach may start elsewhere.

It answers partitions between a coordinator and the owner of a cell, in either
direction, and takeovers that the coordinator sees while it can't reach the new
owner.
"""

import math

from camphorlink.internal.core.process.coordinator_leases import (
    LOST_OWNER_TIMEOUT_S,
)
from camphorlink.internal.core.process.predecessor import OWNERSHIP_VALID_S


class OwnerContacts:
    """Contacts of a coordinator with the owners of cells.

    All times are in seconds.  An owner that was never linked has no lease and
    runs nothing for the coordinator.
    """

    def __init__(self, own_member: str) -> None:
        """Creates the contacts; no owner is known.

        Args:
            own_member: Name of this process.
        """
        self._own_member = own_member
        self._linked: set[str] = set()
        self._heard_s_by_member: dict[str, float] = {}
        self._owner_by_cell: dict[str, str] = {}
        #: Time at which each former owner was replaced.
        self._former_by_cell: dict[str, dict[str, float]] = {}

    def record_owner(self, cell: str, member: str, now: float) -> None:
        """Records the owner of a cell; the former one may still run tasks."""
        former = self._owner_by_cell.get(cell, '')
        if former and former != member:
            active = {
                other: replaced_s
                for other, replaced_s in self._former_of(cell).items()
                if now - self._last_s(other, replaced_s) <= LOST_OWNER_TIMEOUT_S
            }
            self._former_by_cell[cell] = active | {former: now}
        self._owner_by_cell[cell] = member

    def record_link(self, member: str) -> None:
        """Records that messages are exchanged with a member."""
        self._linked.add(member)

    def record_loss(self, member: str, heard_s: float) -> None:
        """Records that a member is lost.

        Args:
            member: The member.
            heard_s: Time at which its last message was received.
        """
        self._linked.discard(member)
        recent = {
            other: other_s
            for other, other_s in self._heard_s_by_member.items()
            if heard_s - other_s <= LOST_OWNER_TIMEOUT_S
        }
        self._heard_s_by_member = recent | {member: heard_s}

    def may_move(self, cell: str, now: float) -> bool:
        """Returns whether no task assigned to a cell can be active any more.

        That is the case when its owner and all its former owners have been out
        of contact for ``LOST_OWNER_TIMEOUT_S``.
        """
        owner = self._owner_by_cell.get(cell, '')
        if owner == self._own_member or owner in self._linked:
            return False
        last_contacts_s = [
            self._last_s(member, replaced_s)
            for member, replaced_s in self._former_of(cell).items()
        ]
        last_contacts_s.append(self._last_s(owner, math.inf))
        return now - max(last_contacts_s) > LOST_OWNER_TIMEOUT_S

    def former_in_contact(self, cell: str) -> list[str]:
        """Returns the former owners of a cell that messages can reach."""
        return [
            member for member in self._former_of(cell) if member in self._linked
        ]

    def _former_of(self, cell: str) -> dict[str, float]:
        return self._former_by_cell.get(cell, {})

    def _last_s(self, member: str, replaced_s: float) -> float:
        """Returns when a member can last have acted for this coordinator.

        An owner acts for ``OWNERSHIP_VALID_S`` after the store has confirmed
        it, and the store confirms none that was replaced.
        """
        if member == self._own_member:
            return replaced_s
        if member in self._linked:
            return replaced_s + OWNERSHIP_VALID_S
        heard_s = self._heard_s_by_member.get(member, -math.inf)
        return min(heard_s, replaced_s + OWNERSHIP_VALID_S)
