"""Tests of the jobs that wait for load reports."""

import asyncio

from camphorlink.internal.shell.process.load_waiters import LoadWaiters


def test_jobs_go_on_in_the_order_in_which_they_came():
    """They were woken in the order of memory addresses."""
    woken = []

    async def scenario():
        waiters = LoadWaiters()
        is_closed = True

        async def wait(number):
            await waiters.wait_while(lambda: is_closed, 5.0)
            woken.append(number)

        # Some leave early, so that their memory is used again.
        short = [
            asyncio.create_task(waiters.wait_while(lambda: True, 0.01))
            for _ in range(50)
        ]
        waiting = [asyncio.create_task(wait(number)) for number in range(50)]
        await asyncio.gather(*short)
        waiting += [asyncio.create_task(wait(n)) for n in range(50, 100)]
        await asyncio.sleep(0.01)
        is_closed = False
        waiters.wake()
        await asyncio.gather(*waiting)

    asyncio.run(scenario())
    assert woken == list(range(100))
