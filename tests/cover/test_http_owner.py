"""Tests that HTTP clients leave the descriptors of others alone.

A descriptor that is closed twice may close a connection that was opened in
between: its process then writes one caller's answer to another, or is aborted
by the event loop.
"""

import asyncio
import contextlib
import gc
import os

import uvloop

from camphorlink.internal.shell.connection.http_owner import HttpOwner

#: Number of steps of the event loop in which a request on a new connection is
#: certainly sent.
MAX_STEPS = 60


class Client(HttpOwner):
    timeout_s = 5.0

    async def get(self, port):
        async with self._session.get(f'http://127.0.0.1:{port}/') as response:
            await response.read()


async def cancel_after(steps, port):
    """Cancels a request after some steps of the loop.

    Returns:
        Whether files that were opened since are still open.
    """
    async with Client() as client:
        request = asyncio.create_task(client.get(port))
        for _ in range(steps):
            await asyncio.sleep(0)
        request.cancel()
        opened = []
        for _ in range(4):
            await asyncio.sleep(0)
            opened.append(os.open(os.devnull, os.O_RDONLY))
        with contextlib.suppress(asyncio.CancelledError):
            await request
        del request
        gc.collect()
        await asyncio.sleep(0.01)
    are_open = True
    for descriptor in opened:
        try:
            os.close(descriptor)
        except OSError:
            are_open = False
    return are_open


def test_a_cancelled_connection_attempt_closes_its_descriptor_only_once():
    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        return [await cancel_after(n, port) for n in range(MAX_STEPS)]

    loop = uvloop.new_event_loop()
    with contextlib.closing(loop):
        assert all(loop.run_until_complete(scenario()))
