"""At-most-once delivery of tasks by the HTTP client to a raw TCP server."""

import asyncio
import contextlib

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.connection.backend_client import BackendClient

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue'
REDIRECT = (
    b'HTTP/1.1 307 Moved\r\nLocation: /v1/tasks\r\nContent-Length: 0\r\n\r\n'
)
BUSY = (
    b'HTTP/1.1 503 Busy\r\nTask-Started: no\r\nRefusal-Code: busy\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class RawServer:
    """Server that replays a script, with one entry for each request.

    Bytes are sent as the response, None closes the connection, and 'silent'
    leaves the request without a response.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info):
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request_head = await reader.readuntil(b'\r\n\r\n')
                length = 0
                for line in request_head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        length = int(line.split(b':')[1])
                await reader.readexactly(length)
                self.requests.append(request_head.split(b' ')[0])
                answer = self.script.pop(0)
                if answer is None:
                    writer.close()
                    return
                if answer == 'silent':
                    await asyncio.Event().wait()
                writer.write(answer)

    @property
    def posts(self):
        return self.requests.count(b'POST')


def build_start(port, number=1, timeout_s=5.0, *, can_look_up=False):
    ticket = messages.Ticket(f'submission-{number}', 0, 1, 'runner-0')
    return messages.StartTask(
        ticket,
        f'127.0.0.1:{port}',
        'caster',
        'task 1',
        {'work_ms': 1},
        timeout_s,
        can_look_up,
    )


def run_tasks(server, *options_of_each_start):
    async def scenario():
        async with server, BackendClient() as client:
            return [
                await client.run_task(build_start(server.port, **options))
                for options in options_of_each_start
            ]

    return asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_post_is_not_retried_when_a_kept_alive_connection_drops():
    server = RawServer(OK, None, OK)
    first, second = run_tasks(server, {'number': 1}, {'number': 2})
    assert isinstance(first, messages.TaskFinished)
    assert second == messages.TaskLost(second.ticket, Reason.CONNECTION_LOST)
    assert server.posts == 2
    assert server.connections == 1


def test_a_redirect_does_not_send_the_task_again():
    server = RawServer(REDIRECT, OK)
    (report,) = run_tasks(server, {})
    assert isinstance(report, messages.TaskFailed)
    assert server.posts == 1


def test_a_typed_refusal_proves_that_nothing_was_started():
    (report,) = run_tasks(RawServer(BUSY), {})
    assert report == messages.TaskNotStarted(report.ticket, Reason.BACKEND_BUSY)


def test_a_refused_connection_proves_that_nothing_was_started():
    async def scenario():
        async with RawServer() as server:
            port = server.port
        async with BackendClient() as client:
            return await client.run_task(build_start(port))

    report = asyncio.run(scenario())
    assert report == messages.TaskNotStarted(
        report.ticket,
        Reason.CONNECT_FAILED,
    )


def test_a_timed_out_connection_is_closed_and_replaced():
    server = RawServer('silent', OK)
    first, second = run_tasks(server, {'timeout_s': 0.2}, {'number': 2})
    assert first == messages.TaskLost(first.ticket, Reason.TASK_TIMEOUT)
    assert isinstance(second, messages.TaskFinished)
    assert server.connections == 2
    assert server.posts == 2


def test_a_lost_task_is_looked_up_on_the_backend_server():
    body = b'{"state":"finished","result":7}'
    found = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
    unseen = b'HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n'
    server = RawServer(None, unseen, found)
    (report,) = run_tasks(server, {'can_look_up': True})
    assert report == messages.TaskFinished(report.ticket, 7)
    assert server.requests == [b'POST', b'GET', b'GET']


def test_a_result_without_valid_json_fails_the_task():
    broken = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{'
    (report,) = run_tasks(RawServer(broken), {})
    assert isinstance(report, messages.TaskFailed)
