"""Tests that periodic actions go on after an unexpected error."""

import asyncio

from camphorlink.internal.shell.process.background import (
    keep_running,
    repeat,
    start_logged,
)
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


def test_a_task_runs_again_after_an_unexpected_error(caplog):
    runs = []

    async def fail():
        runs.append(len(runs))
        raise RecursionError('unexpected')

    async def scenario():
        task = asyncio.create_task(keep_running(fail, 0.005, PartLog('test')))
        await asyncio.sleep(0.1)
        task.cancel()

    asyncio.run(scenario())
    assert len(runs) > 2
    assert 'unexpected' in caplog.text


def test_error_of_a_task_that_nobody_awaits_is_logged(caplog):
    async def fail():
        raise LookupError('unexpected')

    async def scenario():
        start_logged(fail(), PartLog('test'))
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert 'unexpected' in caplog.text
