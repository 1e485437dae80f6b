"""``camphorlink-ctl``: the operators' command.

Exit codes: 0 done, 1 unexpected, 2 faults in a document or in the command
line, 3 rejected or lost a race, 4 platform out of reach, 5 it can't be told
whether a record was appended, 6 VMs out of reach or not in step.
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
    Site,
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
    help="Operators' address of an entry VM, when the platform's list is away.",
)


_author_option = click.option(
    '--author',
    default=getpass.getuser,
    help='Name for the records.',
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
    """Publish configuration, and ask entry VMs and the platform."""
    site = Site(log_service, vms, author, as_json)
    click.get_current_context().obj = site


@main.command()
@_file
@click.pass_obj
def check(site: Site, path: Path) -> None:
    """Check a manifest without asking anybody."""
    _run(site, ctl_publish.check_document(site, _file_reader(path)))


@main.command()
@_file
@click.option('--base', type=int, help='Version that FILE was made from.')
@click.pass_obj
def propose(site: Site, path: Path, base: int | None) -> None:
    """Propose a manifest; the board then approves its digest."""
    _run(site, ctl_publish.propose_document(site, _file_reader(path), base))


@main.command()
@click.argument('digest')
@click.pass_obj
def approve(site: Site, digest: str) -> None:
    """Approve a proposal, which puts it in force."""
    _run(site, ctl_publish.approve_digest(site, digest))


@main.command()
@click.pass_obj
def status(site: Site) -> None:
    """Show version, digest, offset and age on each entry VM."""
    _run(site, ctl_fleet.show_status(site))


@main.command()
@click.argument('vm')
@click.pass_obj
def drain(site: Site, vm: str) -> None:
    """Let an entry VM, named ZONE.VM, admit nothing new."""
    _run(site, ctl_fleet.drain_vm(site, vm))


@main.command()
@click.argument('submission')
@click.pass_obj
def explain(site: Site, submission: str) -> None:
    """Show what is known about a submission."""
    _run(site, ctl_fleet.explain_submission(site, submission))


@main.command()
@click.pass_obj
def history(site: Site) -> None:
    """Show each record of the configuration stream and its verdict."""
    _run(site, ctl_publish.show_history(site))


@main.command()
@click.option('--version', type=int, help='Another version than the newest.')
@click.pass_obj
def show(site: Site, version: int | None) -> None:
    """Print the manifest in force."""
    _run(site, ctl_publish.show_manifest(site, version))


@main.command()
@_file
@click.option('--base', type=int, required=True, help='Version FILE is from.')
@click.pass_obj
def rebase(site: Site, path: Path, base: int) -> None:
    """Print FILE's changes since BASE on top of what is in force."""
    _run(site, ctl_publish.rebase_document(site, _file_reader(path), base))


@main.command()
@_file
@click.option('--version', type=int, required=True, help='Its version.')
@click.pass_obj
def restore(site: Site, path: Path, version: int) -> None:
    """Write a state anew that was lost with all records and VMs."""
    _run(site, ctl_publish.restore_document(site, _file_reader(path), version))


def _file_reader(path: Path) -> ReadDocument:
    return lambda: parse_json(path.read_bytes(), ManifestError)


def _run(site: Site, subcommand: Coroutine[Any, Any, Report]) -> None:
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


def _exit_with_error(site: Site, exc: Exception) -> None:
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
