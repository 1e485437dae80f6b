"""The loop of the daemons, uvloop, drives a core's timers."""

import asyncio
import os

os.environ['UV_USE_IO_URING'] = '0'

import uvloop

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.metrics import Metrics


def test_a_timer_that_is_overdue_leaves_the_host_usable():
    async def scenario():
        loop = asyncio.get_running_loop()
        core = EntryCore(Home('larissa', 'entry-0', '0' * 16), 0.0, 100)
        called = []
        with CoreHost(core, None, None, Metrics()) as host:
            core.timers.call_at(loop.time() - 1, called.append)
            # uvloop arms a time that has passed as a call without a time.
            host.post(messages.Drain())
            host.post(messages.Drain())
            await asyncio.sleep(0.01)
        return called

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        called = runner.run(scenario())
    assert len(called) == 1
