"""Outgoing messages to other entry VMs, addressed by process."""

from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import (
    Member,
    MemberState,
    MemberView,
)
from camphorlink.internal.core.request.identifiers import Home


class PeerSender:
    """Finds the addresses of entry VMs in the view and collects messages."""

    def __init__(self, home: Home) -> None:
        """Starts with an empty view, for the process ``home``."""
        self.home = home
        self.view = MemberView()
        self._member_by_home: dict[Home, Member] = {}
        self._member_by_vm: dict[tuple[str, str], Member] = {}
        self._effects: list[messages.Effect] = []

    def install(self, view: MemberView) -> None:
        """Takes over a new view of the entry VMs."""
        self.view = view
        self._member_by_home = {member.home: member for member in view.members}
        self._member_by_vm = {
            (member.home.zone, member.home.vm): member
            for member in view.members
            if member.state is not MemberState.GONE
        }

    def find(self, home: Home) -> Member | None:
        """Returns the member with this very incarnation."""
        return self._member_by_home.get(home)

    def find_vm(self, home: Home) -> Member | None:
        """Returns the process that runs on the VM of ``home`` now."""
        return self._member_by_vm.get((home.zone, home.vm))

    def live(self) -> tuple[Member, ...]:
        """Lists the members that may take load, this process included."""
        return tuple(
            member
            for member in self.view.members
            if member.state is MemberState.LIVE
        )

    def send(self, to: Home, message: PeerMessage) -> bool:
        """Sends to a process; says whether there is an address for it."""
        member = self.find(to)
        if member is None or member.state is MemberState.GONE:
            return False
        self.send_to(member, message)
        return True

    def send_to(self, member: Member, message: PeerMessage) -> None:
        """Sends to a member of the view."""
        self._effects.append(messages.SendPeer(member.address, message))

    def take_effects(self) -> list[messages.Effect]:
        """Hands over the messages collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects
