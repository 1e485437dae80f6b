"""Site for load measurements, with one entry VM that is bound to one core."""

import asyncio
import contextlib
import os
import tempfile
from http import HTTPStatus
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp

from camphorlink.bench.programs import (
    FREE_PORT,
    Program,
    entry_program,
    standin_program,
)
from camphorlink.internal.core.version.acceptance import (
    approval_record,
    proposal_record,
)
from camphorlink.internal.core.version.manifest import digest_document
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.version.config_tail import CONFIG_STREAM

ZONE = 'larissa'
BACKENDS = 4
SLOTS = 256
READY_ATTEMPTS = 500
READY_POLL_S = 0.02
KIB_PER_MIB = 1024


class LoadSite:
    """Four backend servers, a log service and an entry VM.

    All of them run as separate processes while the context is entered.

    Attributes:
        entry: Process of the entry VM, which is bound to one core.
        backends: Addresses of the backend servers.
    """

    entry: Program

    def __init__(self) -> None:
        """Creates the site without starting its processes."""
        self.backends: list[str] = []
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> 'LoadSite':
        """Starts the processes and waits until the entry VM is ready."""
        try:
            await self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends all processes."""
        self._stack.close()

    @property
    def entry_url(self) -> str:
        """Base URL of the interface for callers."""
        return f'http://{self.entry.addresses["callers"]}'

    def entry_cpu_s(self) -> float:
        """Returns the processor time that the entry VM has used, in seconds."""
        stat = Path(f'/proc/{self.entry.process.pid}/stat').read_text()
        user, system = stat.rpartition(')')[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')

    def entry_memory_mib(self) -> float:
        """Returns the resident memory of the entry VM, in MiB."""
        status = Path(f'/proc/{self.entry.process.pid}/status').read_text()
        resident = status.partition('VmRSS:')[2].split()[0]
        return int(resident) / KIB_PER_MIB

    async def _start(self) -> None:
        directory = self._stack.enter_context(tempfile.TemporaryDirectory())
        log = self._stack.enter_context(
            standin_program(
                directory,
                'log',
                'log-service',
                {'listen': FREE_PORT},
            ),
        )
        for number in range(BACKENDS):
            settings = {'listen': FREE_PORT, 'slots': SLOTS}
            name = f'{ZONE}-runner-{number}'
            backend = standin_program(directory, name, 'backend', settings)
            self._stack.enter_context(backend)
            self.backends.append(backend.address)
        await self._publish(f'http://{log.address}')
        self.entry = self._stack.enter_context(
            entry_program(directory, 'entry', _entry_settings(log.address)),
        )
        # Uses the highest-numbered core that this process may use, to
        # separate the entry VM from the other processes.
        core = max(os.sched_getaffinity(0))
        os.sched_setaffinity(self.entry.process.pid, {core})
        await self._await_ready()

    async def _publish(self, log_url: str) -> None:
        document = self._manifest()
        async with LogClient(log_url) as log_client:
            await log_client.append(
                CONFIG_STREAM,
                [
                    proposal_record(0, document),
                    approval_record(0, digest_document(document)),
                ],
            )

    def _manifest(self) -> dict[str, Any]:
        return {
            'schema': 1,
            'services': {'caster': {'max_task_ms': 10_000}},
            'backends': {
                f'{ZONE}-runner-{number}': {
                    'address': address,
                    'zone': ZONE,
                    'slots': SLOTS,
                    'connections': SLOTS,
                    'services': ['caster'],
                }
                for number, address in enumerate(self.backends)
            },
            'teams': {'surveyors': {}},
        }

    async def _await_ready(self) -> None:
        url = f'http://{self.entry.addresses["operators"]}/readyz'
        async with aiohttp.ClientSession() as session:
            for _ in range(READY_ATTEMPTS):
                if await _is_ready(session, url):
                    return
                await asyncio.sleep(READY_POLL_S)
        raise TimeoutError(url)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    async with session.get(url) as response:
        return response.status == HTTPStatus.OK


def _entry_settings(log_address: str) -> dict[str, Any]:
    return {
        'zone': ZONE,
        'vm': 'entry',
        'callers': FREE_PORT,
        'operators': FREE_PORT,
        'peers': FREE_PORT,
        'log_service': f'http://{log_address}',
        'notice_s': 0,
        'drain_s': 1,
    }
