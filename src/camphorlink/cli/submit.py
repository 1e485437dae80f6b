"""``camphorlink-submit``: runs a job and prints its answer.

The answer is printed to standard output as one JSON document, progress and
advice to standard error.  The exit code depends on the outcome.
"""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any, NamedTuple

import click
import orjson
import uvloop

from camphorlink.client import Client
from camphorlink.errors import (
    DocumentError,
    JobFailedError,
    NotRunError,
    OutcomeError,
    OutcomeUnknownError,
)
from camphorlink.internal.core.process.documents import parse_json
from camphorlink.internal.shell.request.job_documents import read_job

# See the comment in internal/shell/process/programs.py.
os.environ['UV_USE_IO_URING'] = '0'

EXIT_USAGE = 2
EXIT_CODE_BY_ERROR: dict[type[OutcomeError], int] = {
    NotRunError: 3,
    JobFailedError: 4,
    OutcomeUnknownError: 5,
}
OUTCOME_BY_ERROR: dict[type[OutcomeError], str] = {
    NotRunError: 'not-run',
    JobFailedError: 'failed',
    OutcomeUnknownError: 'unknown',
}
PROGRESS_PERIOD_S = 0.3
MS_PER_S = 1000


class _SubmitRequest(NamedTuple):
    job: dict[str, Any]
    shows_progress: bool
    submission_id: str | None
    key: str | None
    issued_ms: int | None


@click.command(
    params=[
        click.Argument(
            ['job_file'],
            type=click.Path(path_type=Path),
            default='-',
        ),
        click.Option(
            ['--entry', 'entry_urls'],
            multiple=True,
            required=True,
            envvar='CAMPHORLINK_ENTRY',
            help='Base URL of an entry VM or balancer; may be repeated.',
        ),
        click.Option(['--id', 'submission_id'], help='Submission identifier.'),
        click.Option(
            ['--key'], help='Idempotency key, such as a booking number.'
        ),
        click.Option(
            ['--key-issued', 'issued_ms'],
            type=click.IntRange(min=0),
            help='Time of the first use of the key, in ms since the epoch.',
        ),
        click.Option(
            ['--deadline'],
            type=float,
            help='Time that the job may take, in seconds.',
        ),
        click.Option(
            ['--idempotent/--not-idempotent'],
            default=None,
            help='Whether a task may run more than once.',
        ),
        click.Option(
            ['--progress/--no-progress'],
            default=None,
            help='Show progress; default only on a terminal.',
        ),
    ],
)
def main(
    job_file: Path,
    entry_urls: tuple[str, ...],
    deadline: float | None,
    idempotent: bool | None,
    progress: bool | None,
    **identity: Any,
) -> None:
    """Run the job in JOB_FILE, or on standard input, and print its answer.

    Exit codes: 0 complete, 2 usage error or invalid job, 3 not run, 4 failed,
    5 unknown outcome.
    """
    if identity['submission_id'] and identity['key']:
        raise click.UsageError('use --id or --key, not both')
    if identity['key'] and identity['issued_ms'] is None:
        raise click.UsageError(
            '--key needs --key-issued, the time of its first use'
        )
    changes = {
        'deadline_ms': None if deadline is None else deadline * MS_PER_S,
        'idempotent': idempotent,
    }
    shows_progress = sys.stderr.isatty() if progress is None else progress
    request = _SubmitRequest(
        _read_job(job_file, changes), shows_progress, **identity
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(_run(request, entry_urls)))


def _read_job(path: Path, changes: dict[str, Any]) -> dict[str, Any]:
    try:
        body = _read_body(path)
        document = parse_json(body, DocumentError)
        if isinstance(document, dict):
            overrides = {
                key: new for key, new in changes.items() if new is not None
            }
            document.update(overrides)
        read_job(orjson.dumps(document), 0)
    except OSError as exc:
        raise click.UsageError(f'{path}: {exc.strerror}') from exc
    except DocumentError as exc:
        for fault in exc.faults:
            click.echo(f'{path}: {fault}', err=True)
        sys.exit(EXIT_USAGE)
    return dict(document)


def _read_body(path: Path) -> bytes:
    if str(path) == '-':
        return sys.stdin.buffer.read()
    return path.read_bytes()


async def _run(request: _SubmitRequest, entry_urls: tuple[str, ...]) -> int:
    async with Client(entry_urls) as client:
        try:
            results = await _submit(client, request)
        except OutcomeError as exc:
            return _report_error(exc)
    _print_json({'outcome': 'complete', 'results': results})
    return 0


async def _submit(client: Client, request: _SubmitRequest) -> dict[str, Any]:
    if request.key is not None:
        issued_ms = request.issued_ms or 0
        return await client.submit_key(request.key, issued_ms, request.job)
    if request.submission_id is None and not request.shows_progress:
        return await client.submit(request.job)
    submission_id = request.submission_id or await client.issue_id()
    click.echo(f'submission {submission_id}', err=True)
    progress_task = asyncio.create_task(_print_progress(client, submission_id))
    try:
        return await client.submit_named(submission_id, request.job)
    finally:
        progress_task.cancel()


async def _print_progress(client: Client, submission_id: str) -> None:
    while True:
        await asyncio.sleep(PROGRESS_PERIOD_S)
        shown = await client.show(submission_id)
        outcomes = list((shown.get('tasks') or {}).values())
        done = outcomes.count('finished')
        click.echo(
            f'\r{done} of {len(outcomes)} tasks finished', err=True, nl=False
        )


def _report_error(exc: OutcomeError) -> int:
    _print_json(
        {
            'outcome': OUTCOME_BY_ERROR[type(exc)],
            'reason': exc.reason,
            'detail': exc.detail,
            'next': exc.next_step,
            'tasks': exc.fates,
            'faults': list(exc.faults),
            'submission': exc.submission_id,
            'retry_after_s': exc.retry_after_s,
        },
    )
    click.echo(f'{exc.reason}: {exc.next_step}', err=True)
    return EXIT_CODE_BY_ERROR[type(exc)]


def _print_json(document: dict[str, Any]) -> None:
    click.echo(orjson.dumps(document, option=orjson.OPT_INDENT_2))


if __name__ == '__main__':
    main()
