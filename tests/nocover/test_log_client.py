"""Errors that the log client raises for a failed append."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from camphorlink.errors import AppendUncertainError, LogServiceError
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.standin.servers import LocalServer


def append_with_response_status(status):
    async def answer(request):
        return web.Response(status=status)

    async def scenario():
        app = web.Application()
        app.router.add_post('/v1/streams/{stream}/records', answer)
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(
                LocalServer(app, '127.0.0.1', 0),
            )
            client = await stack.enter_async_context(
                LogClient(f'http://{server.address}'),
            )
            await client.append('audit', [{}])

    asyncio.run(scenario())


@pytest.mark.parametrize('status', [500, 502, 504])
def test_a_server_error_leaves_the_append_uncertain(status):
    with pytest.raises(AppendUncertainError):
        append_with_response_status(status)


@pytest.mark.parametrize('status', [400, 413, 429, 503])
def test_a_refusal_is_reported_as_not_appended(status):
    with pytest.raises(LogServiceError) as caught:
        append_with_response_status(status)
    assert not isinstance(caught.value, AppendUncertainError)
