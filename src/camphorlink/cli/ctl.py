"""``camphorlink-ctl``: command-line tool for operators.

Exit codes: 0 success, 1 unexpected error, 2 invalid document or command
line, 3 rejected or superseded by a concurrent change, 4 platform unreachable,
5 unknown whether a record was appended, 6 VMs unreachable or on different
versions.
"""

import asyncio
import getpass
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click

from camphorlink.cli import ctl_fleet, ctl_publish
from camphorlink.cli.ctl_report import (
    EXIT_DOCUMENT,
    EXIT_PLATFORM,
    EXIT_REJECTED,
    EXIT_UNCERTAIN,
    EXIT_VMS,
    ReadDocument,
    Report,
    SiteOptions,
    format_json,
)
from camphorlink.errors import (
    LogServiceError,
    ManifestError,
    PublishUncertainError,
)
from camphorlink.internal.core.process.documents import parse_json
from camphorlink.internal.shell.process.vm_client import VmUnreachableError

_EXIT_BY_ERROR: dict[type[Exception], int] = {
    ManifestError: EXIT_DOCUMENT,
    LogServiceError: EXIT_PLATFORM,
    PublishUncertainError: EXIT_UNCERTAIN,
    VmUnreachableError: EXIT_VMS,
}
_EXPECTED_ERRORS = tuple(_EXIT_BY_ERROR)
_file = click.argument(
    'path',
    metavar='FILE',
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
)


_log_option = click.option(
    '--log-service',
    envvar='CAMPHORLINK_LOG_SERVICE',
    default='http://127.0.0.1:9300',
    show_default=True,
    help='Base URL of the platform.',
)
_vm_option = click.option(
    '--vm',
    'vms',
    multiple=True,
    metavar='IP:PORT',
    help="Operators' address of a VM, if the platform's list is unavailable.",
)


_author_option = click.option(
    '--author',
    default=getpass.getuser,
    help='Author name in the records.',
)
_json_option = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print JSON.',
)


@click.group()
@_log_option
@_vm_option
@_author_option
@_json_option
def main(
    log_service: str,
    vms: tuple[str, ...],
    author: str,
    as_json: bool,
) -> None:
    """Publish configuration, and query entry VMs and the platform."""
    site = SiteOptions(log_service, vms, author, as_json)
    click.get_current_context().obj = site


@main.command()
@_file
@click.pass_obj
def check(site: SiteOptions, path: Path) -> None:
    """Validate a manifest locally, without network access."""
    _run(site, ctl_publish.check_document(site, _file_reader(path)))


@main.command()
@_file
@click.option('--base', type=int, help='Version on which FILE is based.')
@click.pass_obj
def propose(site: SiteOptions, path: Path, base: int | None) -> None:
    """Propose a manifest, which takes effect when its digest is approved."""
    _run(site, ctl_publish.propose_document(site, _file_reader(path), base))


@main.command()
@click.argument('digest')
@click.pass_obj
def approve(site: SiteOptions, digest: str) -> None:
    """Approve the proposal with DIGEST, which puts it in force."""
    _run(site, ctl_publish.approve_digest(site, digest))


@main.command()
@click.pass_obj
def status(site: SiteOptions) -> None:
    """Show version, digest, offset and age of each VM's configuration."""
    _run(site, ctl_fleet.show_status(site))


@main.command()
@click.argument('vm')
@click.pass_obj
def drain(site: SiteOptions, vm: str) -> None:
    """Drain an entry VM, named ZONE.VM: it admits no new jobs."""
    _run(site, ctl_fleet.drain_vm(site, vm))


@main.command()
@click.argument('submission')
@click.pass_obj
def explain(site: SiteOptions, submission: str) -> None:
    """Show audit records and current state of a submission."""
    _run(site, ctl_fleet.explain_submission(site, submission))


@main.command()
@click.pass_obj
def history(site: SiteOptions) -> None:
    """List the records of the configuration stream with their verdicts."""
    _run(site, ctl_publish.show_history(site))


@main.command()
@click.option('--version', type=int, help='Version; default newest.')
@click.pass_obj
def show(site: SiteOptions, version: int | None) -> None:
    """Print the manifest in force."""
    _run(site, ctl_publish.show_manifest(site, version))


@main.command()
@_file
@click.option('--base', type=int, required=True, help="FILE's base version.")
@click.pass_obj
def rebase(site: SiteOptions, path: Path, base: int) -> None:
    """Apply FILE's changes since BASE to the manifest in force; print it."""
    _run(site, ctl_publish.rebase_document(site, _file_reader(path), base))


@main.command()
@_file
@click.option('--version', type=int, required=True, help='Version to restore.')
@click.pass_obj
def restore(site: SiteOptions, path: Path, version: int) -> None:
    """Republish a manifest that the stream and all entry VMs lost."""
    _run(site, ctl_publish.restore_document(site, _file_reader(path), version))


def _file_reader(path: Path) -> ReadDocument:
    return lambda: parse_json(path.read_bytes(), ManifestError)


def _run(site: SiteOptions, subcommand: Coroutine[Any, Any, Report]) -> None:
    try:
        report = asyncio.run(subcommand)
    except _EXPECTED_ERRORS as exc:
        _exit_with_error(site, exc)
        return
    if site.as_json:
        click.echo(format_json(report.document))
    else:
        click.echo('\n'.join(report.lines))
    sys.exit(report.exit_code)


def _exit_with_error(site: SiteOptions, exc: Exception) -> None:
    faults = exc.faults if isinstance(exc, ManifestError) else ()
    if site.as_json:
        document = {
            'error': type(exc).__name__,
            'message': str(exc),
            'faults': [fault._asdict() for fault in faults],
        }
        click.echo(format_json(document))
    else:
        click.echo('\n'.join(map(str, faults)) or str(exc), err=True)
    codes = (
        code for kind, code in _EXIT_BY_ERROR.items() if isinstance(exc, kind)
    )
    sys.exit(next(codes, EXIT_REJECTED))


if __name__ == '__main__':
    main()
