"""Shared options, reports and lookups of the ``camphorlink-ctl`` commands."""

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import orjson

from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.vm_client import VmAddress
from camphorlink.internal.shell.version.publisher import Publisher

EXIT_DOCUMENT = 2
EXIT_REJECTED = 3
EXIT_PLATFORM = 4
EXIT_UNCERTAIN = 5
EXIT_VMS = 6
DIGEST_CHARS = 12


class SiteOptions(NamedTuple):
    """Options of the command line that all subcommands share.

    Attributes:
        log_url: Base URL of the platform.
        vms: Operators' addresses of VMs, which replace the platform's list.
        author: Author name in new records.
        as_json: Whether to print JSON.
    """

    log_url: str
    vms: tuple[str, ...]
    author: str
    as_json: bool


class Report(NamedTuple):
    """Output of a subcommand.

    Attributes:
        document: JSON value that is printed with ``--json``.
        lines: Lines of text that are printed without ``--json``.
        exit_code: Exit code of the command.
    """

    document: Any
    lines: list[str]
    exit_code: int = 0


ReadDocument = Callable[[], Any]


@contextlib.asynccontextmanager
async def open_publisher(site: SiteOptions) -> AsyncIterator[Publisher]:
    """Opens a publisher for the configuration stream."""
    async with LogClient(site.log_url) as log_client:
        yield Publisher(log_client, site.author)


async def find_vms(site: SiteOptions) -> list[VmAddress]:
    """Returns the VMs of the command line, else those of the platform."""
    if site.vms:
        return [VmAddress(address, address) for address in site.vms]
    async with LogClient(site.log_url) as log_client:
        return [
            VmAddress(f'{vm.zone}.{vm.vm}', vm.operators)
            for vm in await log_client.list_vms()
        ]


def format_json(document: Any) -> str:
    """Returns a document as indented JSON."""
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
