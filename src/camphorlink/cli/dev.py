"""``camphorlink-dev``: runs an example job on a local site on loopback."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Any

import click
import orjson
import uvloop

from camphorlink.client import Client
from camphorlink.errors import OutcomeError
from camphorlink.standin.local_site import LocalSite, SiteShape

# See the comment in internal/shell/process/programs.py.
os.environ['UV_USE_IO_URING'] = '0'

EXAMPLE_JOB = Path('examples', 'base-shifts.json')
#: Directories of the example in a clone and after ``pip install``.
EXAMPLE_ROOTS = (
    Path(__file__).parents[3],
    Path(sys.prefix, 'share', 'camphorlink'),
)
EXIT_NOT_COMPLETE = 1


@click.command()
@click.option(
    '--job',
    'job_path',
    type=click.Path(path_type=Path, exists=True),
    help='JSON file with the job to run; default examples/base-shifts.json.',
)
@click.option('--serve', is_flag=True, help='Run until interrupted.')
def main(job_path: Path | None, serve: bool) -> None:
    """Start a site on free loopback ports and run an example job."""
    job = orjson.loads((job_path or _find_example()).read_bytes())
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        is_complete = runner.run(_run(job, serve))
    if not is_complete:
        sys.exit(EXIT_NOT_COMPLETE)


def _find_example() -> Path:
    paths = [root / EXAMPLE_JOB for root in EXAMPLE_ROOTS]
    existing = [path for path in paths if path.exists()]
    if not existing:
        raise click.UsageError('the example is not installed; use --job')
    return existing[0]


async def _run(job: dict[str, Any], serve: bool) -> bool:
    stopped = _catch_signals()
    async with LocalSite(SiteShape()) as site:
        urls = _show_addresses(site)
        is_complete = await _run_job(urls, job)
        if serve:
            click.echo('\nserving until interrupted; try in another shell:')
            _show_exports(site)
            await stopped.wait()
    return is_complete


def _catch_signals() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def _show_addresses(site: LocalSite) -> list[str]:
    click.echo(f'log service          {site.log_url}')
    urls = []
    for daemon in site.daemons:
        urls.append(f'http://127.0.0.1:{daemon.callers_port}')
        operators = f'http://127.0.0.1:{daemon.operators_port}'
        click.echo(f'{daemon.settings.vm:20} {urls[-1]}')
        click.echo(f'{"  for operators":20} {operators}')
    for name in site.backends_by_name:
        click.echo(f'{name:20} backend server')
    return urls


def _show_exports(site: LocalSite) -> None:
    daemon = site.daemons[0]
    for name, port in (
        ('ENTRY', daemon.callers_port),
        ('OPERATORS', daemon.operators_port),
    ):
        click.echo(f'  export CAMPHORLINK_{name}=http://127.0.0.1:{port}')


async def _run_job(urls: list[str], job: dict[str, Any]) -> bool:
    click.echo(f'\nrunning a job of {len(job["tasks"])} tasks')
    async with Client(urls) as client:
        try:
            results_by_task = await client.submit(job)
        except OutcomeError as exc:
            click.echo(f'{type(exc).__name__}: {exc}')
            return False
    for task, task_result in results_by_task.items():
        click.echo(f'  {task}: {orjson.dumps(task_result).decode()}')
    click.echo(f'complete: {len(results_by_task)} tasks')
    return True


if __name__ == '__main__':
    main()
