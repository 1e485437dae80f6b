"""Tests what calls to back ends report, against sockets that misbehave."""

import asyncio

import pytest

from camphorlink.internal.core.connection.backend_commands import (
    RenewalVerdict,
    RenewLeases,
    StartRun,
    StartVerdict,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.platform.runner_client import RunnerClient
from odd_documents import Nested, encode
from simulated_backends import listed

#: Longest wait of a call for a completion, in ms.
WAIT_MS = 100


async def call(handle_connection, send):
    """Returns the answer of a back end with a connection handler."""
    server = await asyncio.start_server(handle_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    backend = listed()._replace(address=f'127.0.0.1:{port}')
    async with server, RunnerClient() as client:
        answer = await send(client, backend)
    # Handlers close their connections before the loop is closed.
    await asyncio.sleep(0.01)
    return answer


async def renew(client, backend):
    command = RenewLeases(backend, 1, 0, None, WAIT_MS, 1)
    return await client.renew_leases(command)


async def start(client, backend):
    task = TaskKey('a' * 16, 0, 0)
    return await client.start(StartRun(backend, 1, task, 1, '', 1, ''))


async def crash(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.close()


async def stay_silent(reader, writer):
    await reader.read()
    writer.close()


@pytest.mark.parametrize(
    ('handle_connection', 'verdict'),
    [(crash, RenewalVerdict.RESET), (stay_silent, RenewalVerdict.UNANSWERED)],
)
def test_reset_connection_looks_like_a_silent_back_end(
    handle_connection, verdict
):
    assert asyncio.run(call(handle_connection, renew)).verdict is verdict


def answer_once(send, status, body):
    """Returns the answer of a back end that answers with a status and a body."""

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 {status} Odd\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    return asyncio.run(call(answer, send))


CLOCKS = [2**64 - 1, 1e308, -1, '5', None, True, Nested(990)]
ROWS = [
    [Nested(990), 1, '', 0], [5, 1, '', 0], ['a.0.0', 1, '', 0], [],
    ['a.0.0.0', Nested(990), '', 0], ['a.0.0.0', 2**64 - 1, '', 0], 'row',
    ['a.0.0.0', 1, Nested(990), 0], ['a.0.0.0', 1, '', 1e308],
]  # fmt: skip


def list_document(**fields):
    return {'clock_ms': 5, 'born': 1, 'active': [], 'finished': []} | fields


@pytest.mark.parametrize(
    'document',
    [
        *[list_document(clock_ms=clock) for clock in CLOCKS],
        *[list_document(active=[row]) for row in ROWS],
        list_document(active=Nested(990)),
        list_document(born=2**64 - 1),
        list_document(finished=[[1, 'a.0.0.0', 1, Nested(990), '']]),
        list_document(finished=[[1, 'a.0.0.0', 1, 'odd', '']]),
        list_document(finished=[[2**64 - 1, 'a.0.0.0', 1, 'done', '']]),
    ],
)
def test_odd_list_of_runs_ends_the_calls_to_its_back_end(document):
    answer = answer_once(renew, 200, encode(document))
    assert answer.verdict is RenewalVerdict.UNANSWERED


@pytest.mark.parametrize(
    ('status', 'document', 'verdict'),
    [
        (299, {}, StartVerdict.UNANSWERED),
        (599, {'reason': 5}, StartVerdict.UNANSWERED),
        (409, {'reason': Nested(990)}, StartVerdict.INVALID),
        (409, {'reason': 'room', 'clock_ms': 1e308}, StartVerdict.NO_CAPACITY),
        (200, {'clock_ms': 2**64 - 1}, StartVerdict.STARTED),
    ],
)
def test_odd_answer_to_a_start_raises(status, document, verdict):
    answer = answer_once(start, status, encode(document))
    assert (answer.verdict, answer.clock_ms) == (verdict, None)
