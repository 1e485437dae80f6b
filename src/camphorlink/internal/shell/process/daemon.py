"""The daemon of an entry VM: starts, serves and stops all its parts."""

import asyncio
import contextlib
import random
import time
from types import TracebackType

from aiohttp import web

from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import Home, new_home
from camphorlink.internal.shell.connection.backend_client import BackendClient
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.connection.peer_links import PeerLinks
from camphorlink.internal.shell.process.control_plane import ControlPlane
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.metrics import Metrics
from camphorlink.internal.shell.process.operators_api import OperatorsApi
from camphorlink.internal.shell.process.planned_stop import PlannedStop
from camphorlink.internal.shell.process.settings import EntrySettings, Listen
from camphorlink.internal.shell.process.table_hand_over import hand_over_tables
from camphorlink.internal.shell.request.callers_api import CallersApi

ANY_ADDRESS = '0.0.0.0'


class EntryDaemon:
    """Runs all parts of one entry VM as an asynchronous context manager.

    Attributes:
        settings: Checked settings of the VM.
        callers_port: TCP port of the callers' interface, 0 before the start.
        operators_port: TCP port of the operators' interface, 0 before the
            start.
        peers_port: TCP port for messages of peers, 0 before the start.
    """

    def __init__(self, settings: EntrySettings) -> None:
        """Stores the settings; entering the context starts the parts."""
        self.settings = settings
        self.callers_port = 0
        self.operators_port = 0
        self.peers_port = 0
        self._log = PartLog('daemon', settings.vm)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> 'EntryDaemon':
        """Starts all parts and opens the callers' interface last."""
        rng = random.SystemRandom()
        settings = self.settings
        metrics = Metrics()
        log_client = await self._stack.enter_async_context(
            LogClient(settings.log_service),
        )
        backend_client = await self._stack.enter_async_context(BackendClient())
        self.host = self._stack.enter_context(
            CoreHost(
                self._build_core(rng),
                backend_client,
                log_client,
                metrics,
                settings.trace_file,
            ),
        )
        self.host.links = await self._stack.enter_async_context(
            PeerLinks(
                self.host.core.home,
                settings.peers,
                self._handle_peer_message,
                PartLog('links', settings.vm),
            ),
        )
        self.peers_port = self.host.links.port
        self.control = await self._stack.enter_async_context(
            ControlPlane(self.host, log_client, settings, rng),
        )
        self.members = self.control.members
        self.planned_stop = PlannedStop(
            self.host,
            self.members,
            settings.notice_s,
            settings.drain_s,
        )
        operators = OperatorsApi(
            self.host,
            metrics,
            self.control,
            self.planned_stop,
        )
        self.operators_port = await self._serve(
            operators.build_app(),
            settings.operators,
        )
        callers = CallersApi(self.host, rng)
        callers_app = callers.build_app()
        callers_app.on_response_prepare.append(
            self.planned_stop.close_connection,
        )
        self.callers_port = await self._serve(callers_app, settings.callers)
        if settings.callers.ip != ANY_ADDRESS:
            callers.address = f'{settings.callers.ip}:{self.callers_port}'
        self._log.info('started', extra={'home': str(self.host.core.home)})
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Drains the VM, hands over its tables, then stops all parts."""
        await self.drain()
        await hand_over_tables(self.host, self.members)
        await self._stack.aclose()
        self._log.info('stopped')

    async def drain(self) -> None:
        """Takes the VM out of service and waits for outstanding answers."""
        await self.planned_stop.finish()

    def _build_core(self, rng: random.Random) -> EntryCore:
        settings = self.settings
        loop = asyncio.get_running_loop()
        return EntryCore(
            home=new_home(settings.zone, settings.vm, rng),
            wall_offset_s=time.time() - loop.time(),
            max_entries=settings.max_remembered,
            claim_appends_per_s=settings.claim_appends_per_s,
        )

    def _handle_peer_message(self, peer: Home, message: PeerMessage) -> None:
        self.control.handle_message(peer, message)

    async def _serve(self, app: web.Application, listen: Listen) -> int:
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, listen.ip, listen.port)
        await site.start()
        return int(runner.addresses[0][1])
