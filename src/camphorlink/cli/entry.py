"""``camphorlink-entry``: the daemon of an entry VM."""

import sys
from pathlib import Path

import click
import orjson

from camphorlink.errors import SettingsError
from camphorlink.internal.shell.process.daemon import EntryDaemon
from camphorlink.internal.shell.process.logs import start_logs
from camphorlink.internal.shell.process.programs import run_until_stopped
from camphorlink.internal.shell.process.settings import read_settings

EXIT_BAD_SETTINGS = 2
EXIT_SYSTEM_ERROR = 1
#: Time after the drain for the hand-over and closing connections, in seconds.
STOP_MARGIN_S = 15.0


class AnnouncedDaemon(EntryDaemon):
    """Entry daemon that prints its addresses when it accepts requests."""

    async def __aenter__(self) -> 'AnnouncedDaemon':
        """Starts the daemon, then prints its addresses as one JSON line."""
        await super().__aenter__()
        settings = self.settings
        addresses = {
            'callers': f'{settings.callers.ip}:{self.callers_port}',
            'operators': f'{settings.operators.ip}:{self.operators_port}',
            'peers': f'{settings.peers.ip}:{self.peers_port}',
        }
        click.echo(orjson.dumps(addresses))
        sys.stdout.flush()
        return self


@click.command()
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=Path),
    help='JSON file with the settings of this entry VM.',
)
@click.option('--log-level', default='INFO', show_default=True)
def main(settings_path: Path, log_level: str) -> None:
    """Run the entry VM's daemon until SIGTERM, then drain and stop."""
    try:
        settings = read_settings(settings_path)
    except SettingsError as exc:
        for fault in exc.faults:
            click.echo(f'{settings_path}: {fault}', err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    start_logs(log_level)
    try:
        run_until_stopped(
            AnnouncedDaemon(settings),
            stop_timeout_s=settings.notice_s + settings.drain_s + STOP_MARGIN_S,
        )
    except OSError as exc:
        click.echo(f'{settings_path}: the daemon failed: {exc}', err=True)
        sys.exit(EXIT_SYSTEM_ERROR)


if __name__ == '__main__':
    main()
