"""Command ``python -m camphorlink.platform.standin.program``."""

import sys
from typing import Self

import click
import orjson

from camphorlink.internal.shell.process.programs import run_until_stopped
from camphorlink.platform.standin.site import StandinSite


class AnnouncedSite(StandinSite):
    """Stand-in site that prints the store's address when it is ready."""

    async def __aenter__(self) -> Self:
        """Starts all servers, then prints the store's address."""
        await super().__aenter__()
        click.echo(orjson.dumps({'address': self.store_address}))
        sys.stdout.flush()
        return self


@click.command()
@click.option('--zones', default='larissa,volos', show_default=True)
@click.option('--runners', default=2, show_default=True, help='In each zone.')
def main(zones: str, runners: int) -> None:
    """Run a store and runners on loopback until SIGTERM."""
    run_until_stopped(AnnouncedSite(tuple(zones.split(',')), runners))


if __name__ == '__main__':
    main()
