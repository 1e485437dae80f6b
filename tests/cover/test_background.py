"""Tests that periodic actions go on after an unexpected error."""

import asyncio

from camphorlink.internal.shell.process.background import repeat
from camphorlink.internal.shell.process.logs import PartLog


def test_an_action_runs_again_after_it_has_failed(caplog):
    runs = []

    def fail_first():
        runs.append(len(runs))
        if len(runs) == 1:
            raise LookupError('unexpected')

    async def scenario():
        task = asyncio.create_task(
            repeat(fail_first, lambda: 0.005, PartLog('test'))
        )
        await asyncio.sleep(0.1)
        task.cancel()

    asyncio.run(scenario())
    assert len(runs) > 2
