"""A small HTTP/1.1 server for JSON calls, on asyncio streams and uvloop.

A stand-in must not be slower than what it stands for: a runner answers some
hundred calls a second.
"""

import asyncio

import orjson

REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 409: 'Conflict',
           421: 'Misdirected Request', 503: 'Service Unavailable'}  # fmt: skip


class Connection(asyncio.Protocol):
    """Handles the calls of one channel in turn.

    ``handle(path, headers, document)`` returns status and document, or an
    awaitable of them.
    """

    def __init__(self, handle):
        self.handle = handle
        self.buffer = b''
        self.waiting = None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        if self.waiting is not None:
            self.waiting.cancel()

    def data_received(self, chunk):
        self.buffer += chunk
        self.handle_next()

    def handle_next(self):
        while self.waiting is None:
            head, separator, rest = self.buffer.partition(b'\r\n\r\n')
            if not separator:
                return
            lines = head.decode('latin-1').split('\r\n')
            headers = {}
            for line in lines[1:]:
                name, _, text = line.partition(':')
                headers[name.lower()] = text.strip()
            length = int(headers.get('content-length', '0'))
            if len(rest) < length:
                return
            body, self.buffer = rest[:length], rest[length:]
            path = lines[0].split(' ')[1]
            answer = self.handle(
                path, headers, orjson.loads(body) if body else {}
            )
            if isinstance(answer, tuple):
                self.write(*answer)
            else:
                self.waiting = asyncio.ensure_future(answer)
                self.waiting.add_done_callback(self.write_waited)

    def write_waited(self, waiting):
        self.waiting = None
        if not waiting.cancelled():
            self.write(*waiting.result())
            self.handle_next()

    def write(self, status, document):
        body = orjson.dumps(document)
        head = (
            f'HTTP/1.1 {status} {REASONS[status]}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        if not self.transport.is_closing():
            self.transport.write(head.encode() + body)


async def serve(port, handle):
    """Serves until the process ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Connection(handle), '127.0.0.1', port, backlog=512
    )
    await server.serve_forever()
