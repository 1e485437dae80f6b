"""Starts daemons and stand-ins as separate processes on loopback.

Each process is stopped by its process id when its context closes.  Each wait
has a timeout, after which the test fails with the process's log.
"""

import asyncio
import contextlib
import http.client
import json
import time
from typing import NamedTuple

from camphorlink.bench.programs import (
    FREE_PORT,
    SOURCE,
    START_TIMEOUT_S,
    entry_program,
    standin_program,
)
from camphorlink.internal.core.version.acceptance import (
    approval_record,
    proposal_record,
)
from camphorlink.internal.core.version.manifest import digest_document

POLL_S = 0.02
ASYNC_POLL_S = 0.005

__all__ = ('SOURCE', 'ProcessSite', 'call', 'is_ready', 'wait_until')


class Response(NamedTuple):
    """An HTTP response, with a decoded body if the body is JSON."""

    status: int
    headers: dict
    body: object


def call(method, address, path, document=None, headers=None, timeout_s=30.0):
    """Sends one request to ``ip:port``.

    A document of bytes is sent unchanged; any other is encoded as JSON.
    """
    body = document
    if document is not None and not isinstance(document, bytes):
        body = json.dumps(document).encode()
    request_headers = {'Content-Type': 'application/json', **(headers or {})}
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    with contextlib.closing(connection):
        connection.request(method, path, body=body, headers=request_headers)
        answer = connection.getresponse()
        raw = answer.read()
    response_headers = {key.lower(): text for key, text in answer.getheaders()}
    if 'json' in response_headers.get('content-type', ''):
        raw = json.loads(raw)
    return Response(answer.status, response_headers, raw)


def wait_until(condition, timeout_s=START_TIMEOUT_S, what='condition'):
    """Polls ``condition()`` until it is true, and returns its value."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        found = condition()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError(f'timed out after {timeout_s} s: {what}')


async def wait_until_async(condition, timeout_s):
    """Polls ``condition()`` on the event loop until it is true."""

    async def poll():
        while not condition():
            await asyncio.sleep(ASYNC_POLL_S)

    await asyncio.wait_for(poll(), timeout_s)


class ProcessSite:
    """A log service, backend servers and entry VMs in separate processes.

    Attributes:
        log: Program of the log service.
        backends: Programs of backend servers by name.
        entries: Programs of entry VMs by name.
    """

    def __init__(
        self,
        directory,
        zones=('larissa',),
        entries_per_zone=1,
        speeds=(1.0,),
        slots=8,
        entry_changes=None,
        manifest_changes=None,
    ):
        self.directory = directory
        self.zones = zones
        self.entries_per_zone = entries_per_zone
        self.speeds = speeds
        self.slots = slots
        self.entry_changes = entry_changes or {}
        self.manifest_changes = manifest_changes or {}
        self.backends = {}
        self.entries = {}
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def start_backend(self, name, **changes):
        settings = {'listen': FREE_PORT, 'slots': self.slots, **changes}
        program = standin_program(self.directory, name, 'backend', settings)
        self.backends[name] = self._stack.enter_context(program)
        return program

    def start_entry(self, zone, vm, **changes):
        settings = {
            'zone': zone,
            'vm': vm,
            'callers': FREE_PORT,
            'operators': FREE_PORT,
            'peers': FREE_PORT,
            'log_service': f'http://{self.log.address}',
            'notice_s': 0,
            **self.entry_changes,
            **changes,
        }
        program = entry_program(self.directory, vm, settings)
        self.entries[vm] = self._stack.enter_context(program)
        return program

    def manifest(self):
        """Returns a manifest of the backend servers that are running."""
        return {
            'schema': 1,
            'services': {'caster': {'max_task_ms': 10_000}},
            'backends': {
                name: {
                    'address': program.address,
                    'zone': name.split('-', 1)[0],
                    'slots': self.slots,
                    'connections': 64,
                    'services': ['caster'],
                }
                for name, program in self.backends.items()
            },
            'teams': {'surveyors': {}},
            **self.manifest_changes,
        }

    def publish(self, document=None, base_version=0):
        """Proposes and approves a manifest through the log service."""
        document = self.manifest() if document is None else document
        records = [
            proposal_record(base_version, document),
            approval_record(base_version, digest_document(document)),
        ]
        path = '/v1/streams/config/records'
        answer = call('POST', self.log.address, path, {'records': records})
        assert answer.status == 200, answer

    def await_ready(self):
        for program in self.entries.values():
            wait_until(
                lambda program=program: is_ready(program),
                what=f'{program.name} ready',
            )

    def starts_by_reference(self):
        """Returns the number of starts of each task over all backend servers."""
        total = {}
        for program in self.backends.values():
            starts = call('GET', program.address, '/standin/starts').body
            for reference, count in starts.items():
                total[reference] = total.get(reference, 0) + count
        return total

    def _start(self):
        settings = {'listen': FREE_PORT}
        self.log = self._stack.enter_context(
            standin_program(self.directory, 'log', 'log-service', settings),
        )
        for zone in self.zones:
            for number, speed in enumerate(self.speeds):
                self.start_backend(f'{zone}-runner-{number}', speed=speed)
        self.publish()
        for zone in self.zones:
            for number in range(self.entries_per_zone):
                self.start_entry(zone, f'{zone}-entry-{number}')
        self.await_ready()


def is_ready(program):
    answer = call('GET', program.addresses['operators'], '/readyz')
    return answer.status == 200
