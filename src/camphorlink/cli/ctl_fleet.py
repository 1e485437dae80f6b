"""Subcommands of ``camphorlink-ctl`` that query entry VMs."""

import time
from typing import Any

import orjson

from camphorlink.cli.ctl_report import (
    DIGEST_CHARS,
    EXIT_VMS,
    Report,
    SiteOptions,
    find_vms,
    open_publisher,
)
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.audit import AUDIT_STREAM
from camphorlink.internal.shell.process.vm_client import (
    VmAnswer,
    VmClient,
    VmUnreachableError,
)

#: Fields of every audit record, which are not printed as its details.
_COMMON_FACTS = frozenset(('submission_id', 'kind', 'home', 'sequence'))


async def show_status(site: SiteOptions) -> Report:
    """Compares the version in the stream with the version on each VM."""
    async with open_publisher(site) as publisher, VmClient() as client:
        history = await publisher.read_history()
        answers = await client.send_request_to_all(
            await find_vms(site), '/v1/config'
        )
    rows = [_status_row(answer) for answer in answers]
    version = history.state.version
    in_step = bool(rows) and all(row['version'] == version for row in rows)
    document = {
        'version': version,
        'digest': history.state.manifest.digest,
        'next_offset': history.state.next_offset,
        'health': history.health,
        'in_step': in_step,
        'vms': rows,
    }
    lines = [_stream_line(document), *map(_status_line, rows)]
    return Report(document, lines, 0 if in_step else EXIT_VMS)


def _stream_line(document: dict[str, Any]) -> str:
    return (
        f'stream: version {document["version"]} digest '
        f'{document["digest"][:DIGEST_CHARS]} next offset '
        f'{document["next_offset"]} ({document["health"]})'
    )


async def drain_vm(site: SiteOptions, name: str) -> Report:
    """Starts to drain one VM before its planned stop.

    Raises:
        VmUnreachableError: No listed VM has this name or address.
    """
    async with VmClient() as client:
        for vm in await find_vms(site):
            if name in {vm.name, vm.operators}:
                answer = await client.send_request(vm, '/v1/drain', 'POST')
                line = f'{vm.name} admits no new jobs; stop it with SIGTERM'
                return Report({'vm': vm.name, **answer}, [line])
    raise VmUnreachableError(
        f'{name} is not a known VM; see camphorlink-ctl status'
    )


async def explain_submission(site: SiteOptions, submission: str) -> Report:
    """Merges a submission's audit records with its state on the VMs."""
    async with LogClient(site.log_url) as log_client, VmClient() as client:
        records = await _read_audit(log_client, submission)
        path = f'/v1/explain/{submission}'
        answers = await client.send_request_to_all(await find_vms(site), path)
    documents = [answer.document for answer in answers if answer.document]
    for document in documents:
        records.extend(document.get('records', []))
    explained = {
        'records': _drop_duplicates(records),
        'held': [held for held in documents if held.get('known')],
        'unreachable': [
            answer.vm.name for answer in answers if not answer.document
        ],
    }
    exit_code = EXIT_VMS if explained['unreachable'] else 0
    return Report(explained, _explained_lines(explained), exit_code)


def _explained_lines(explained: dict[str, list[Any]]) -> list[str]:
    lines = [_record_line(record) for record in explained['records']]
    for held in explained['held']:
        outcome = held['outcome'] or 'in progress'
        lines.append(
            f'held by {held["home"]}: {outcome}, version {held["version"]}',
        )
    if not lines:
        lines.append('nothing is known; ordinary successes are not audited')
    lines.extend(f'no answer from {name}' for name in explained['unreachable'])
    return lines


def _drop_duplicates(records: list[Any]) -> list[Any]:
    """Removes duplicate records, which result from retried appends."""
    by_identity = {
        (record.get('home'), record.get('sequence', repr(record))): record
        for record in records
    }
    return sorted(by_identity.values(), key=_time_sort_key)


async def _read_audit(log_client: LogClient, submission: str) -> list[Any]:
    records: list[Any] = []
    page = await log_client.read(AUDIT_STREAM, 0)
    while page.records:
        records.extend(
            stored.record
            for stored in page.records
            if isinstance(stored.record, dict)
            and stored.record.get('submission_id') == submission
        )
        next_offset = page.records[-1].offset + 1
        page = await log_client.read(AUDIT_STREAM, next_offset)
    return records


def _status_row(answer: VmAnswer) -> dict[str, Any]:
    document = answer.document or {}
    since_s = document.get('in_force_since')
    age_s = None if since_s is None else round(time.time() - since_s, 1)
    return {
        'vm': answer.vm.name,
        'reachable': answer.document is not None,
        'version': document.get('version'),
        'digest': document.get('digest'),
        'next_offset': document.get('next_offset'),
        'age_s': age_s,
        'health': document.get('health'),
        'log_away': document.get('log_away'),
        'fault': answer.fault,
    }


def _status_line(row: dict[str, Any]) -> str:
    if not row['reachable']:
        return f'{row["vm"]}: no answer ({row["fault"]})'
    log = ', log unavailable' if row['log_away'] else ''
    return (
        f'{row["vm"]}: version {row["version"]} digest '
        f'{row["digest"][:DIGEST_CHARS]} next offset {row["next_offset"]} '
        f'in force for {row["age_s"]} s ({row["health"]}{log})'
    )


def _record_line(record: dict[str, Any]) -> str:
    facts = {name: record[name] for name in record if name not in _COMMON_FACTS}
    details = orjson.dumps(facts).decode()
    return f'{record.get("home")} {record.get("kind")}: {details}'


def _time_sort_key(record: dict[str, Any]) -> tuple[int, str, int]:
    return (
        int(record.get('at_ms', 0)),
        str(record.get('home')),
        int(record.get('sequence', 0)),
    )
