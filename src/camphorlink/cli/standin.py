"""``camphorlink-standin``: stand-ins for backend servers and the platform.

Each subcommand starts a server, prints its address as one JSON line, and
serves until SIGTERM or SIGINT.
"""

import contextlib
import sys
from collections.abc import Iterator
from pathlib import Path

import click
import orjson
from aiohttp import web

from camphorlink.errors import SettingsError
from camphorlink.internal.shell.process.programs import run_until_stopped
from camphorlink.standin.backend import BackendServer, BackendSettings, Mode
from camphorlink.standin.log_service import Faults, LogService
from camphorlink.standin.servers import LocalServer
from camphorlink.standin.settings import (
    BACKEND_ADAPTER,
    LOG_SERVICE_ADAPTER,
    ListenDocument,
    read_document,
)

EXIT_BAD_SETTINGS = 2
DEFAULT_KEEP_RECORDS = 10_000
_settings_option = click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=Path),
    help='JSON file with the settings of the stand-in.',
)


class AnnouncedServer(LocalServer):
    """Server that prints its address when it listens."""

    async def __aenter__(self) -> 'AnnouncedServer':
        """Starts to listen, then prints the address as one JSON line."""
        await super().__aenter__()
        click.echo(orjson.dumps({'address': self.address}))
        sys.stdout.flush()
        return self


@click.group()
def main() -> None:
    """Run stand-ins for backend servers and the platform's log service."""


@main.command()
@_settings_option
def backend(settings_path: Path) -> None:
    """Run a backend server whose tasks sleep for their declared work."""
    with _exit_on_faults(settings_path):
        typed = read_document(settings_path, BACKEND_ADAPTER)
    server = BackendServer(
        BackendSettings(
            slots=typed.get('slots', BackendSettings().slots),
            speed=typed.get('speed', BackendSettings().speed),
            mode=Mode(typed.get('mode', Mode.NORMAL.value)),
        ),
    )
    _serve(server.build_app(), typed['listen'])


@main.command()
@_settings_option
def log_service(settings_path: Path) -> None:
    """Run an in-memory log service."""
    with _exit_on_faults(settings_path):
        typed = read_document(settings_path, LOG_SERVICE_ADAPTER)
    service = LogService(typed.get('keep_records', DEFAULT_KEEP_RECORDS))
    faults = typed.get('faults', {})
    service.faults = Faults(
        down=faults.get('down', False),
        delay_s=faults.get('delay_s', 0),
        lose_answers=faults.get('lose_answers', False),
    )
    _serve(service.build_app(), typed['listen'])


@contextlib.contextmanager
def _exit_on_faults(settings_path: Path) -> Iterator[None]:
    try:
        yield
    except SettingsError as exc:
        for fault in exc.faults:
            click.echo(f'{settings_path}: {fault}', err=True)
        sys.exit(EXIT_BAD_SETTINGS)


def _serve(app: web.Application, listen: ListenDocument) -> None:
    run_until_stopped(AnnouncedServer(app, listen['ip'], listen['port']))


if __name__ == '__main__':
    main()
