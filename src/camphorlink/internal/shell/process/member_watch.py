"""Runs the membership on the loop: list polls and links in, messages out."""

import asyncio
import contextlib
import random
from types import TracebackType

from camphorlink.errors import LogServiceError
from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import Member, MemberState
from camphorlink.internal.core.process.membership import Membership
from camphorlink.internal.core.process.peer_table import ListedVm
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.process.zone_links import VmKey
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.logs import PartLog

LIST_POLL_S = 2.0
MIN_JITTER = 0.5


class MemberWatch:
    """Keeps one membership going and tells the core of each new view."""

    def __init__(
        self,
        host: CoreHost,
        log_client: LogClient,
        rng: random.Random,
    ) -> None:
        """Takes a host whose links are open."""
        self._host = host
        self._log_client = log_client
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._timers = Timers()
        self._log = PartLog('members', host.core.home.vm)
        self._has_list = True
        self._wake: asyncio.TimerHandle | None = None
        self.membership = Membership(
            Member(host.core.home, host.links.address if host.links else ''),
            self._timers,
            rng,
            self._loop.time(),
        )

    def __enter__(self) -> 'MemberWatch':
        """Starts to poll the platform's list and to beat."""
        self._poll = self._loop.create_task(self._poll_list())
        self._settle()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops both."""
        self._poll.cancel()
        if self._wake is not None:
            self._wake.cancel()

    def hear(self, peer: Home, message: PeerMessage) -> None:
        """Takes what a peer said about itself or its zone."""
        self.membership.hear(peer, message, self._loop.time())
        self._settle()

    def set_state(self, state: MemberState) -> None:
        """Tells the peers that this VM is leaving, or has sealed its table."""
        self.membership.set_state(state, self._loop.time())
        self._settle()

    def announce_version(self, version: int) -> None:
        """Tells the peers which configuration is in force here."""
        self.membership.announce_version(version, self._loop.time())
        self._settle()

    async def _poll_list(self) -> None:
        while True:
            with contextlib.suppress(LogServiceError):
                await self._take_list()
            jitter = self._rng.uniform(MIN_JITTER, 1)
            await asyncio.sleep(LIST_POLL_S * jitter)

    async def _take_list(self) -> None:
        try:
            listed = await self._log_client.list_vms()
        except LogServiceError as exc:
            self._say_listed(is_there=False, why=str(exc))
            raise
        self._say_listed(is_there=True)
        self.membership.take_list(
            [
                ListedVm(
                    VmKey(entry.zone, entry.vm), entry.peers, entry.is_leaving
                )
                for entry in listed
            ],
            self._loop.time(),
        )
        self._settle()
        # An answer that was due when a VM went may have opened a link anew.
        self._forget_gone()

    def _say_listed(self, *, is_there: bool, why: str = '') -> None:
        if is_there == self._has_list:
            return
        self._has_list = is_there
        if is_there:
            self._log.info('the platform lists entry VMs again')
        else:
            self._log.warning('no list of entry VMs', extra={'why': why})

    def _settle(self) -> None:
        """Sends what is to be sent and tells the core of a new view."""
        for effect in self.membership.take_effects():
            if self._host.links is not None:
                self._host.links.send(effect.address, effect.message)
        if self.membership.view != self._host.core.view:
            self._forget_gone()
            self._host.post(messages.MembersChanged(self.membership.view))
        if self._wake is None:
            due_s = self._timers.next_due_s()
            if due_s is not None:
                self._wake = self._loop.call_at(due_s, self._tick)

    def _forget_gone(self) -> None:
        """Closes links to addresses at which nobody is left."""
        members = self.membership.view.members
        gone = {
            member.address
            for member in members
            if member.state is MemberState.GONE
        }
        in_use = {
            member.address
            for member in members
            if member.state is not MemberState.GONE
        }
        if self._host.links is not None:
            for address in gone - in_use:
                self._host.links.close_link(address)

    def _tick(self) -> None:
        self._wake = None
        self._timers.advance(self._loop.time())
        self._settle()
