"""``camphorlink-node``: an entry VM on the users' platform."""

import asyncio
import contextlib
import signal
import socket
import sys
from types import TracebackType
from typing import Self

import click
import orjson
from aiohttp import web

from camphorlink.errors import SettingsError
from camphorlink.internal.shell.connection.mesh import Address
from camphorlink.internal.shell.process.job_node import JobNode, Platform
from camphorlink.internal.shell.process.logs import PartLog, start_logs
from camphorlink.internal.shell.process.node_operators_api import (
    NodeOperatorsApi,
)
from camphorlink.internal.shell.process.programs import run_until_stopped
from camphorlink.internal.shell.request.job_handler import JobHandler
from camphorlink.internal.shell.request.jobs_api import JobsApi
from camphorlink.platform.directory import Directory
from camphorlink.platform.early_listener import settings_path
from camphorlink.platform.ingress import Ingress
from camphorlink.platform.runner_client import RunnerClient
from camphorlink.platform.settings import (
    PlatformSettings,
    read_settings,
)
from camphorlink.platform.store_client import StoreClient

EXIT_BAD_SETTINGS = 2
#: Timeout for open requests after the VM has stopped admitting jobs, in seconds:
#: it has already waited for them, and the rest of the grace period is for other
#: cleanup.
SHUTDOWN_TIMEOUT_S = 0.3


class PlatformNode:
    """Servers and clients of one entry VM on the users' platform.

    Attributes:
        settings: The settings of the process.
        node: The entry VM; set when the context is entered.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        listener: socket.socket | None = None,
    ) -> None:
        """Initializes the node; entering the context starts it.

        Args:
            settings: The settings of the process.
            listener: Socket that listens for callers already, or ``None``.
        """
        self.settings = settings
        self._listener = listener
        self._log = PartLog('program')
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts all clients and servers and prints the addresses."""
        enter = self._stack.enter_async_context
        store = await enter(StoreClient(self.settings.store_address))
        runners = await enter(RunnerClient())
        self.node = JobNode(
            self.settings.node,
            Platform(store, runners, Directory()),
        )
        job_handler = JobHandler(self.node)
        ingress = Ingress(self.node, job_handler)
        readiness = await self._serve(
            ingress.build_readiness_app(),
            self.settings.readiness,
        )
        await enter(self.node)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP,
            self._check_changed_settings,
        )
        app = ingress.build_app()
        app.on_response_prepare.append(self._close_while_leaving)
        operators_app = web.Application()
        NodeOperatorsApi(self.node).add_routes(operators_app)
        JobsApi(self.node, job_handler).add_routes(operators_app)
        addresses = {
            'callers': await self._serve(
                app, self.settings.callers, self._listener
            ),
            'readiness': readiness,
            'operators': await self._serve(
                operators_app, self.settings.operators
            ),
        }
        click.echo(orjson.dumps(addresses))
        sys.stdout.flush()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Reports not ready, hands over cells and completes open requests."""
        await self.node.leave(self.settings.grace_s)
        await self._stack.aclose()

    def _check_changed_settings(self) -> None:
        """Checks the changed settings file; the addresses stay the same."""
        path = settings_path()
        try:
            read_settings(path)
        except SettingsError as exc:
            self._log.error('settings rejected', extra={'error': str(exc)})
        else:
            self._log.info('settings file is valid')

    async def _serve(
        self,
        app: web.Application,
        listen: Address,
        listener: socket.socket | None = None,
    ) -> str:
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site: web.BaseSite
        if listener is None:
            site = web.TCPSite(runner, listen.ip, listen.port)
        else:
            site = web.SockSite(runner, listener)
        await site.start()
        ip, port = runner.addresses[0][:2]
        return f'{ip}:{port}'

    async def _close_while_leaving(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        if self.node.is_leaving:
            response.force_close()


@click.command()
@click.option('--log-level', default='INFO', show_default=True)
@click.pass_obj
def main(listener: socket.socket | None, log_level: str) -> None:
    """Run an entry VM on the users' platform until SIGTERM."""
    path = settings_path()
    try:
        settings = read_settings(path)
    except SettingsError as exc:
        for fault in exc.faults:
            click.echo(f'{path}: {fault}', err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    start_logs(log_level, settings.node.name)
    run_until_stopped(
        PlatformNode(settings, listener),
        stop_timeout_s=settings.grace_s,
    )


if __name__ == '__main__':
    main()
