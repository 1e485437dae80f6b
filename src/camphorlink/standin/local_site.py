"""A complete site on loopback: log service, entry VMs and backend servers.

All servers run in one process and event loop on free ports, so that a single
command shows how a job is processed.
"""

import asyncio
import time
from typing import Any, NamedTuple

from camphorlink.internal.core.version.acceptance import (
    approval_record,
    proposal_record,
)
from camphorlink.internal.core.version.manifest import digest_document
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.daemon import EntryDaemon
from camphorlink.internal.shell.process.settings import EntrySettings, Listen
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.version.config_tail import CONFIG_STREAM
from camphorlink.standin.backend import BackendServer, BackendSettings
from camphorlink.standin.log_service import LogService
from camphorlink.standin.servers import LocalServer

LOOPBACK = '127.0.0.1'
KEEP_RECORDS = 10_000
READY_POLL_S = 0.02
READY_TIMEOUT_S = 10.0
SLOTS = 8
CONNECTIONS = 64
ZONES = ('larissa', 'volos')
SPEEDS = (1.0, 2.0, 4.0)


class SiteShape(NamedTuple):
    """Numbers of zones, entry VMs and backend servers of a local site.

    Attributes:
        zones: Names of the availability zones.
        entries_per_zone: Number of entry VMs in each zone.
        backend_speeds: Speed of each backend server of a zone.
    """

    zones: tuple[str, ...] = ZONES
    entries_per_zone: int = 1
    backend_speeds: tuple[float, ...] = SPEEDS


class LocalSite(StackOwner):
    """Context manager that starts and stops a complete local site.

    Attributes:
        daemons: Entry daemons in the order of their start.
        backends_by_name: Backend servers by their name in the manifest.
        log_url: Base URL of the log service; empty before the start.
    """

    def __init__(self, shape: SiteShape) -> None:
        """Creates a site; its servers start on entry to the context."""
        super().__init__()
        self.shape = shape
        self.daemons: list[EntryDaemon] = []
        self.backends_by_name: dict[str, BackendServer] = {}
        self.log_service = LogService(KEEP_RECORDS)
        self.log_url = ''
        self._address_by_backend: dict[str, str] = {}

    async def __aenter__(self) -> 'LocalSite':
        """Starts log service, backend servers and entry VMs, in that order.

        Raises:
            TimeoutError: An entry VM got no configuration in time.
        """
        address = await self._serve(self.log_service.build_app())
        self.log_url = f'http://{address}'
        for zone in self.shape.zones:
            await self._start_backends(zone)
        await self._publish_manifest()
        for zone in self.shape.zones:
            await self._start_entries(zone)
        await asyncio.wait_for(self._await_ready(), READY_TIMEOUT_S)
        return self

    def manifest_document(self) -> dict[str, Any]:
        """Returns the manifest of the site's backend servers."""
        return {
            'schema': 1,
            'services': {'caster': {'max_task_ms': 10_000}},
            'backends': {
                name: {
                    'address': address,
                    'zone': name.split('-', 1)[0],
                    'slots': SLOTS,
                    'connections': CONNECTIONS,
                    'services': ['caster'],
                }
                for name, address in self._address_by_backend.items()
            },
            'teams': {'surveyors': {}},
        }

    async def _start_backends(self, zone: str) -> None:
        for number, speed in enumerate(self.shape.backend_speeds):
            name = f'{zone}-runner-{number}'
            server = BackendServer(BackendSettings(SLOTS, speed))
            self.backends_by_name[name] = server
            address = await self._serve(server.build_app())
            self._address_by_backend[name] = address

    async def _start_entries(self, zone: str) -> None:
        for number in range(self.shape.entries_per_zone):
            settings = EntrySettings(
                zone=zone,
                vm=f'{zone}-entry-{number}',
                callers=Listen(LOOPBACK, 0),
                operators=Listen(LOOPBACK, 0),
                peers=Listen(LOOPBACK, 0),
                log_service=self.log_url,
                notice_s=0,
            )
            daemon = EntryDaemon(settings)
            await self._stack.enter_async_context(daemon)
            self.daemons.append(daemon)
            self._register_vm(daemon)

    def _register_vm(self, daemon: EntryDaemon) -> None:
        self.log_service.vms.put(
            {
                'zone': daemon.settings.zone,
                'vm': daemon.settings.vm,
                'peers': f'{LOOPBACK}:{daemon.peers_port}',
                'operators': f'{LOOPBACK}:{daemon.operators_port}',
                'state': 'live',
            },
            time.monotonic(),
        )

    async def _publish_manifest(self) -> None:
        document = self.manifest_document()
        async with LogClient(self.log_url) as log_client:
            await log_client.append(
                CONFIG_STREAM,
                [
                    proposal_record(0, document),
                    approval_record(0, digest_document(document)),
                ],
            )

    async def _await_ready(self) -> None:
        while any(daemon.host.core.version == 0 for daemon in self.daemons):
            await asyncio.sleep(READY_POLL_S)

    async def _serve(self, app: Any) -> str:
        server = await self._stack.enter_async_context(
            LocalServer(app, LOOPBACK, 0),
        )
        return server.address
