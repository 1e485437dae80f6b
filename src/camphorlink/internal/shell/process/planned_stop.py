"""Planned stop of an entry VM, so gradual that no caller is cut off.

Three steps follow each other.  First ``/readyz`` says no while everything
else goes on, so that the balancer sends new callers elsewhere; each answer
from then on closes its connection, which a caller would keep otherwise.  Then the
core admits nothing new.  At last the answers that are due are waited for.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.member_watch import MemberWatch

POLL_PERIOD_S = 0.05


class PlannedStop:
    """Takes one entry VM out of service."""

    def __init__(
        self,
        host: CoreHost,
        members: MemberWatch,
        notice_s: float,
        drain_s: float,
    ) -> None:
        """Plans the stop; nothing happens before ``begin``.

        Args:
            host: Runs the core that is to be drained.
            members: Tells the other entry VMs.
            notice_s: Seconds for the balancer to notice, in which the VM
                still admits submissions.
            drain_s: Seconds that answers are waited for after that.
        """
        self.has_begun = False
        self._host = host
        self._members = members
        self._notice_s = notice_s
        self._drain_s = drain_s

    def begin(self) -> None:
        """Says not ready from now on; admits nothing after the notice."""
        if self.has_begun:
            return
        self.has_begun = True
        asyncio.get_running_loop().call_later(self._notice_s, self._drain)

    async def finish(self) -> None:
        """Begins, and returns when every answer that is due was given."""
        self.begin()
        await self._wait_for(
            lambda: self._host.core.is_draining, self._notice_s
        )
        self._drain()
        await self._wait_for(lambda: self._host.core.is_idle, self._drain_s)

    async def close_connection(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Ends a kept connection with an answer, never between requests."""
        if self.has_begun:
            response.headers['Connection'] = 'close'
            response.force_close()

    def _drain(self) -> None:
        if not self._host.core.is_draining:
            self._members.set_state(MemberState.LEAVING)
            self._host.post(messages.Drain())

    async def _wait_for(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while not condition() and loop.time() < deadline_s:
            await asyncio.sleep(min(POLL_PERIOD_S, timeout_s))
