"""``camphorlink-dev``: a whole site on loopback, and an example job."""

import asyncio
import os
from pathlib import Path
from typing import Any

import click
import orjson
import uvloop

from camphorlink.client import Client
from camphorlink.standin.local_site import LocalSite, SiteShape

# See the comment in internal/shell/process/programs.py.
os.environ['UV_USE_IO_URING'] = '0'

EXAMPLE_JOB: dict[str, Any] = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [
        {'id': f'base-shift-{number}', 'payload': {'work_ms': 80}}
        for number in range(12)
    ],
}


@click.command()
@click.option(
    '--job',
    'job_path',
    type=click.Path(path_type=Path, exists=True),
    help='JSON file with the job to run, instead of the built-in one.',
)
@click.option('--serve', is_flag=True, help='Stay up until interrupted.')
def main(job_path: Path | None, serve: bool) -> None:
    """Start a site on free loopback ports and run an example job."""
    job = orjson.loads(job_path.read_bytes()) if job_path else EXAMPLE_JOB
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(job, serve))


async def _run(job: dict[str, Any], serve: bool) -> None:
    async with LocalSite(SiteShape()) as site:
        urls = [
            f'http://127.0.0.1:{daemon.callers_port}' for daemon in site.daemons
        ]
        click.echo(f'log service: {site.log_url}')
        for daemon, url in zip(site.daemons, urls, strict=True):
            operators = f'http://127.0.0.1:{daemon.operators_port}'
            click.echo(f'{daemon.settings.vm}: {url} (operators {operators})')
        async with Client(urls) as client:
            results_by_task = await client.submit(job)
        click.echo(f'complete: {len(results_by_task)} tasks')
        for task, task_result in results_by_task.items():
            click.echo(f'  {task}: {orjson.dumps(task_result).decode()}')
        if serve:
            click.echo('serving; interrupt to stop')
            await asyncio.Event().wait()


if __name__ == '__main__':
    main()
