"""Decides which entry VMs this VM opens channels to."""

import asyncio
from collections.abc import Callable

from camphorlink.internal.shell.connection.mesh import Address
from camphorlink.internal.shell.process.member_directory import (
    EntriesByMember,
)

#: Time for which the channel to a former owner stays open, in seconds: it may
#: still report tasks that ended.
FORMER_OWNER_LINK_S = 2.0


class OwnerLinks:
    """Channels to the owners of cells and, for a short time, former owners."""

    def __init__(self, set_addresses: Callable[[set[Address]], None]) -> None:
        """Creates the links; no owner and no address is known.

        Args:
            set_addresses: Opens channels to exactly these addresses.
        """
        self._entry_by_member: EntriesByMember = {}
        self._set_addresses = set_addresses
        self._owners: set[str] = set()
        self._former_owners: set[str] = set()

    @property
    def targets(self) -> set[str]:
        """Owners of cells, and former owners that may still act as such."""
        return self._owners | self._former_owners

    def link(self, owners: set[str]) -> None:
        """Opens channels to the owners of cells, and closes others later."""
        former = self._owners - owners
        self._owners = owners
        self._former_owners |= former
        self._update()
        if former:
            asyncio.get_running_loop().call_later(
                FORMER_OWNER_LINK_S, self._drop_former, former
            )

    def update_entries(self, entry_by_member: EntriesByMember) -> None:
        """Applies the directory of all VMs."""
        self._entry_by_member = entry_by_member
        self._update()

    def _update(self) -> None:
        members = self.targets
        self._set_addresses(
            {
                self._entry_by_member[member].address
                for member in members & self._entry_by_member.keys()
            }
        )

    def _drop_former(self, former: set[str]) -> None:
        self._former_owners -= former
        self._update()
