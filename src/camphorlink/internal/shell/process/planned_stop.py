"""Stops an entry VM gracefully, without interrupting any request.

The stop has three steps:

1. ``/readyz`` reports that the VM is not ready, so that the load balancer
   sends new callers elsewhere.  The VM still admits submissions, but closes
   each connection with its next response; callers would reuse it otherwise.
2. The core admits no more submissions.
3. The VM waits for the responses that are still due.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.member_monitor import MemberMonitor

POLL_PERIOD_S = 0.05


class PlannedStop:
    """Controls the planned stop of one entry VM.

    Attributes:
        has_begun: Whether the stop has begun.
    """

    def __init__(
        self,
        host: CoreHost,
        members: MemberMonitor,
        notice_s: float,
        drain_s: float,
    ) -> None:
        """Prepares the stop; it starts with ``begin``.

        Args:
            host: Runs the core to drain.
            members: Announces the stop to the other entry VMs.
            notice_s: Time for the load balancer to notice that the VM is not
                ready, in seconds; the VM still admits submissions.
            drain_s: Longest time to wait for responses after that, in
                seconds.
        """
        self.has_begun = False
        self._host = host
        self._members = members
        self._notice_s = notice_s
        self._drain_s = drain_s

    def begin(self) -> None:
        """Reports the VM as not ready, and drains the core after the notice."""
        if self.has_begun:
            return
        self.has_begun = True
        asyncio.get_running_loop().call_later(self._notice_s, self._drain)

    async def finish(self) -> None:
        """Stops the VM and waits until all due responses are sent.

        Returns after the notice and ``drain_s`` at the latest.
        """
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
        """Makes a response close its connection once the stop has begun.

        The connection closes after a response, never between requests.
        """
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
