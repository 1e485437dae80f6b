"""Sends messages to other entry VMs, addressed by process."""

from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import (
    Member,
    MemberState,
    MemberView,
)
from camphorlink.internal.core.request.identifiers import Home


class PeerSender:
    """Resolves addresses in the view and collects outgoing messages.

    Attributes:
        home: Identity of this process.
        view: Current view of the entry VMs.
    """

    def __init__(self, home: Home) -> None:
        """Creates a sender of the process ``home`` with an empty view."""
        self.home = home
        self.view = MemberView()
        self._member_by_home: dict[Home, Member] = {}
        self._member_by_vm: dict[tuple[str, str], Member] = {}
        self._effects: list[messages.Effect] = []

    def install(self, view: MemberView) -> None:
        """Replaces the view of the entry VMs."""
        self.view = view
        self._member_by_home = {member.home: member for member in view.members}
        self._member_by_vm = {
            (member.home.zone, member.home.vm): member
            for member in view.members
            if member.state is not MemberState.GONE
        }

    def find(self, home: Home) -> Member | None:
        """Returns the member with exactly this incarnation, or ``None``."""
        return self._member_by_home.get(home)

    def find_vm(self, home: Home) -> Member | None:
        """Returns the current incarnation on the VM of ``home``, if any."""
        return self._member_by_vm.get((home.zone, home.vm))

    def live(self) -> tuple[Member, ...]:
        """Returns the live members, including this process if it is live."""
        return tuple(
            member
            for member in self.view.members
            if member.state is MemberState.LIVE
        )

    def send(self, to: Home, message: PeerMessage) -> bool:
        """Sends a message to a process.

        Returns:
            Whether the process is in the view and not gone.
        """
        member = self.find(to)
        if member is None or member.state is MemberState.GONE:
            return False
        self.send_to(member, message)
        return True

    def send_to(self, member: Member, message: PeerMessage) -> None:
        """Sends a message to a member of the view."""
        self._effects.append(messages.SendPeer(member.address, message))

    def take_effects(self) -> list[messages.Effect]:
        """Returns and clears the messages collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects
