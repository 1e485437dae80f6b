"""``camphorlink-replay``: replays a recorded trace through the core."""

import sys
from pathlib import Path

import click
import orjson

from camphorlink.internal.shell.process.replay import Difference, replay
from camphorlink.internal.shell.process.trace_values import TraceError

EXIT_DIFFERENT = 1
EXIT_UNREADABLE = 2


@click.command()
@click.argument('trace', type=click.Path(path_type=Path))
def main(trace: Path) -> None:
    """Replay the messages of TRACE and compare the outcomes with it.

    Exits with 1 and prints the first difference if an outcome is not as
    stated in TRACE, and exits with 2 if TRACE can't be read.
    """
    try:
        with trace.open('rb') as lines:
            replayed = replay(lines)
    except (OSError, TraceError) as exc:
        click.echo(f'{trace}: {exc}', err=True)
        sys.exit(EXIT_UNREADABLE)
    click.echo(f'{trace}: {replayed.title}')
    if replayed.difference is not None:
        _print_difference(replayed.difference)
        sys.exit(EXIT_DIFFERENT)
    click.echo(
        f'{replayed.events} messages, {replayed.outcomes} outcomes, '
        'all as stated',
    )


def _print_difference(difference: Difference) -> None:
    click.echo(f'line {difference.line}: the outcome is not as stated')
    for name in ('stated', 'seen'):
        shown = orjson.dumps(getattr(difference, name)).decode()
        click.echo(f'  {name:7}{shown}')


if __name__ == '__main__':
    main()
