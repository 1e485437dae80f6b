"""The timer of the core host works on uvloop, which the daemons use."""

import asyncio
import os

import uvloop

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.metrics import Metrics

# See internal/shell/process/programs.py.
os.environ['UV_USE_IO_URING'] = '0'

HOME = Home('larissa', 'entry-0', '0' * 16)


def test_an_overdue_timer_does_not_block_later_messages():
    async def scenario():
        core = EntryCore(HOME, 0.0, 100)
        called = []
        with CoreHost(core, None, None, Metrics()) as host:
            past_s = asyncio.get_running_loop().time() - 1
            core.timers.call_at(past_s, called.append)
            host.post(messages.Drain())
            host.post(messages.Drain())
            await asyncio.sleep(0.01)
        return called

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert len(runner.run(scenario())) == 1
