"""``camphorlink-dev``: a whole site on loopback, and an example job."""

import asyncio
import os
import shlex
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

EXAMPLE_JOB_PATH = Path(__file__).parents[3] / 'examples' / 'base-shifts.json'
EXIT_NOT_COMPLETE = 1


@click.command()
@click.option(
    '--job',
    'job_path',
    type=click.Path(path_type=Path, exists=True),
    default=EXAMPLE_JOB_PATH,
    show_default='examples/base-shifts.json',
    help='JSON file with the job to run.',
)
@click.option('--serve', is_flag=True, help='Stay up until interrupted.')
def main(job_path: Path, serve: bool) -> None:
    """Start a site on free loopback ports and run an example job."""
    job = orjson.loads(job_path.read_bytes())
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        is_complete = runner.run(_run(job, serve))
    if not is_complete:
        sys.exit(EXIT_NOT_COMPLETE)


async def _run(job: dict[str, Any], serve: bool) -> bool:
    stopped = _catch_signals()
    async with LocalSite(SiteShape()) as site:
        urls = _show_addresses(site)
        is_complete = await _run_job(urls, job)
        if serve:
            click.echo('\nserving until interrupted; try in another shell:')
            click.echo(f'  export CAMPHORLINK_ENTRY={shlex.quote(urls[0])}')
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
