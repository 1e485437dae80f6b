"""Runs the membership protocol of an entry VM on the event loop."""

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
from camphorlink.internal.shell.process.background import keep_running
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.logs import PartLog

LIST_POLL_PERIOD_S = 2.0
MIN_JITTER = 0.5


class MemberMonitor:
    """Runs one membership and passes each new view to the core.

    It polls the platform's list of entry VMs, handles heartbeats and other
    messages of peers, and sends the messages of this VM.
    """

    def __init__(
        self,
        host: CoreHost,
        log_client: LogClient,
        rng: random.Random,
    ) -> None:
        """Creates the membership; entering the context starts it.

        Args:
            host: Host of the core; its peer links must be open.
            log_client: Client that lists the entry VMs.
            rng: Random source for jitter.
        """
        self._host = host
        self._log_client = log_client
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._timers = Timers()
        self._log = PartLog('members', host.core.home.vm)
        self._has_list = True
        self._timer: asyncio.TimerHandle | None = None
        self.membership = Membership(
            Member(host.core.home, host.links.address if host.links else ''),
            self._timers,
            rng,
            self._loop.time(),
        )

    def __enter__(self) -> 'MemberMonitor':
        """Starts polling the platform's list and sending heartbeats."""
        self._poll_task = self._loop.create_task(
            keep_running(self._poll_list, LIST_POLL_PERIOD_S, self._log)
        )
        self._apply_effects()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops polling and sending heartbeats."""
        self._poll_task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def handle_message(self, peer: Home, message: PeerMessage) -> None:
        """Handles a message in which a peer describes itself or its zone."""
        self.membership.hear(peer, message, self._loop.time())
        self._apply_effects()

    def set_state(self, state: MemberState) -> None:
        """Announces to the peers that this VM leaves or has sealed its table."""
        self.membership.set_state(state, self._loop.time())
        self._apply_effects()

    def announce_version(self, version: int) -> None:
        """Announces the version in force on this VM to the peers."""
        self.membership.announce_version(version, self._loop.time())
        self._apply_effects()

    async def _poll_list(self) -> None:
        while True:
            with contextlib.suppress(LogServiceError):
                await self._update_list()
            jitter = self._rng.uniform(MIN_JITTER, 1)
            await asyncio.sleep(LIST_POLL_PERIOD_S * jitter)

    async def _update_list(self) -> None:
        try:
            listed = await self._log_client.list_vms()
        except LogServiceError as exc:
            self._log_list_state(is_available=False, why=str(exc))
            raise
        self._log_list_state(is_available=True)
        self.membership.take_list(
            [
                ListedVm(
                    VmKey(entry.zone, entry.vm), entry.peers, entry.is_leaving
                )
                for entry in listed
            ],
            self._loop.time(),
        )
        self._apply_effects()
        # A pending answer to a VM that has gone may have reopened a link to it.
        self._close_unused_links()

    def _log_list_state(self, *, is_available: bool, why: str = '') -> None:
        if is_available == self._has_list:
            return
        self._has_list = is_available
        if is_available:
            self._log.info('list of entry VMs is available again')
        else:
            self._log.warning(
                'list of entry VMs could not be read', extra={'why': why}
            )

    def _apply_effects(self) -> None:
        """Sends pending messages, posts a new view and arms the timer."""
        for effect in self.membership.take_effects():
            if self._host.links is not None:
                self._host.links.send(effect.address, effect.message)
        if self.membership.view != self._host.core.view:
            self._close_unused_links()
            self._host.post(messages.MembersChanged(self.membership.view))
        if self._timer is None:
            due_s = self._timers.next_due_s()
            if due_s is not None:
                self._timer = self._loop.call_at(due_s, self._tick)

    def _close_unused_links(self) -> None:
        """Closes links to addresses that only gone members used."""
        members = self.membership.view.members
        gone_addresses = {
            member.address
            for member in members
            if member.state is MemberState.GONE
        }
        used_addresses = {
            member.address
            for member in members
            if member.state is not MemberState.GONE
        }
        if self._host.links is not None:
            for address in gone_addresses - used_addresses:
                self._host.links.close_link(address)

    def _tick(self) -> None:
        self._timer = None
        self._timers.advance(self._loop.time())
        self._apply_effects()
