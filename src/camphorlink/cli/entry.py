"""``camphorlink-entry``: the daemon of an entry VM."""

import sys
from pathlib import Path

import click

from camphorlink.errors import SettingsError
from camphorlink.internal.shell.process.daemon import EntryDaemon
from camphorlink.internal.shell.process.logs import start_logs
from camphorlink.internal.shell.process.programs import run_until_stopped
from camphorlink.internal.shell.process.settings import read_settings

EXIT_BAD_SETTINGS = 2


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
    """Run an entry VM until SIGTERM, then drain and stop."""
    try:
        settings = read_settings(settings_path)
    except SettingsError as exc:
        for fault in exc.faults:
            click.echo(f'{settings_path}: {fault}', err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    start_logs(log_level)
    run_until_stopped(EntryDaemon(settings))


if __name__ == '__main__':
    main()
