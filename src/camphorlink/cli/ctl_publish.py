"""Subcommands of ``camphorlink-ctl`` that read and write configuration."""

from typing import Any

from camphorlink.cli.ctl_report import (
    DIGEST_CHARS,
    EXIT_REJECTED,
    EXIT_VMS,
    ReadDocument,
    Report,
    SiteOptions,
    find_vms,
    format_json,
    open_publisher,
)
from camphorlink.internal.core.version.acceptance import Verdict
from camphorlink.internal.core.version.config_fold import Health
from camphorlink.internal.core.version.manifest import check_manifest
from camphorlink.internal.core.version.merge_patch import (
    apply_patch,
    make_patch,
)
from camphorlink.internal.shell.process.vm_client import VmAnswer, VmClient
from camphorlink.internal.shell.version.publisher import (
    History,
    HistoryEntry,
)


async def check_document(site: SiteOptions, read: ReadDocument) -> Report:
    """Validates a manifest locally, without network access."""
    manifest = check_manifest(read())
    document = {
        'digest': manifest.digest,
        'services': len(manifest.services_by_name),
        'backends': len(manifest.backends_by_name),
        'teams': len(manifest.teams_by_name),
    }
    return Report(document, [f'valid: digest {manifest.digest}'])


async def propose_document(
    site: SiteOptions,
    read: ReadDocument,
    base: int | None,
) -> Report:
    """Proposes a manifest on top of a base version, by default the newest."""
    document = read()
    digest = check_manifest(document).digest
    async with open_publisher(site) as publisher:
        if base is None:
            base = (await publisher.read_history()).state.version
        history = await publisher.propose(base, document)
    entry = _newest_entry(history, site.author, digest)
    if entry.verdict == Verdict.PROPOSED.value:
        lines = [
            f'proposed over version {base} at offset {entry.offset}',
            f'next: camphorlink-ctl approve {digest}',
        ]
        return Report(entry._asdict(), lines)
    return _rejection_report(history, entry, base)


async def approve_digest(site: SiteOptions, digest: str) -> Report:
    """Approves the proposal with the given digest."""
    async with open_publisher(site) as publisher:
        history = await publisher.read_history()
        state = history.state
        if state.manifest.digest == digest:
            line = f'already in force as version {state.version}'
            return Report({'version': state.version, 'digest': digest}, [line])
        history = await publisher.approve(state.version, digest)
    entry = _newest_entry(history, site.author, digest)
    if entry.verdict == Verdict.ACCEPTED.value:
        line = f'accepted as version {entry.version} at offset {entry.offset}'
        return Report(entry._asdict(), [line])
    return _rejection_report(history, entry, state.version)


async def show_history(site: SiteOptions) -> Report:
    """Lists the records of the configuration stream with their verdicts."""
    async with open_publisher(site) as publisher:
        history = await publisher.read_history()
    lines = [_history_line(entry) for entry in history.entries]
    document = {
        'version': history.state.version,
        'health': history.health,
        'records': [entry._asdict() for entry in history.entries],
    }
    return Report(document, [*lines, f'the stream is {history.health}'])


async def show_manifest(site: SiteOptions, version: int | None) -> Report:
    """Prints the manifest of a version as it was proposed."""
    async with open_publisher(site) as publisher:
        history = await publisher.read_history()
    wanted = history.state.version if version is None else version
    document = history.documents.get(wanted)
    if document is None:
        return Report(
            {'error': 'unknown version'},
            [f'version {wanted} is not in the stream any more'],
            EXIT_REJECTED,
        )
    return Report(document, [format_json(document)])


async def rebase_document(
    site: SiteOptions,
    read: ReadDocument,
    base: int,
) -> Report:
    """Applies a file's changes since its base to the manifest in force."""
    document = read()
    async with open_publisher(site) as publisher:
        history = await publisher.read_history()
    old = history.documents.get(base)
    if old is None:
        line = f'version {base} is not in the stream any more'
        return Report({'error': 'unknown version'}, [line], EXIT_REJECTED)
    return _rebase_manifest(old, document, history.state.document)


async def restore_document(
    site: SiteOptions,
    read: ReadDocument,
    version: int,
) -> Report:
    """Republishes a manifest that the stream and all VMs have lost.

    Refuses to do so if a VM has a state or doesn't answer.
    """
    document = read()
    async with VmClient() as client:
        answers = await client.send_request_to_all(
            await find_vms(site), '/v1/config'
        )
    if not all(map(_has_no_state, answers)):
        # A VM that has a state ignores the restored record, and its
        # configuration would then differ from that of the other VMs.
        line = 'a VM has a state or gives no answer; it writes a snapshot'
        return Report({'error': 'a VM may have a state'}, [line], EXIT_VMS)
    async with open_publisher(site) as publisher:
        history = await publisher.read_history()
        if history.health != Health.GAP.value:
            line = f'the stream is {history.health}: propose and approve'
            return Report({'health': history.health}, [line], EXIT_REJECTED)
        history = await publisher.restore(version, document)
    restored = history.state.version
    is_restored = restored == version
    return Report(
        {'version': restored, 'health': history.health},
        [f'the stream is {history.health} with version {restored}'],
        0 if is_restored else EXIT_REJECTED,
    )


def _has_no_state(answer: VmAnswer) -> bool:
    return answer.document is not None and answer.document['version'] == 0


def _rebase_manifest(old: Any, ours: Any, current: Any) -> Report:
    change = make_patch(old, ours)
    conflicts = _conflicting_paths(change, make_patch(old, current), '$')
    if conflicts:
        lines = [f'{path}: changed by both' for path in conflicts]
        return Report({'clashes': conflicts}, lines, EXIT_REJECTED)
    rebased = apply_patch(current, change)
    check_manifest(rebased)
    return Report(rebased, [format_json(rebased)])


def _newest_entry(history: History, author: str, digest: str) -> HistoryEntry:
    return next(
        entry
        for entry in reversed(history.entries)
        if entry.author == author and entry.digest == digest
    )


def _rejection_report(
    history: History, entry: HistoryEntry, base: int
) -> Report:
    winner = history.find_acceptance(base)
    lines = [f'rejected: {entry.verdict} (offset {entry.offset})']
    if winner is not None:
        author = winner.author or 'unknown'
        digest = winner.digest[:DIGEST_CHARS]
        lines.append(
            f'accepted instead: version {winner.version}, digest {digest} '
            f'by {author} at offset {winner.offset}',
        )
        lines.append(
            f'next: camphorlink-ctl rebase FILE --base {base} > NEW, then '
            'propose NEW',
        )
    document = {
        'verdict': entry.verdict,
        'offset': entry.offset,
        'winner': winner._asdict() if winner else None,
    }
    return Report(document, lines, EXIT_REJECTED)


def _history_line(entry: HistoryEntry) -> str:
    return (
        f'{entry.offset}: {entry.kind} over {entry.base_version} '
        f'{entry.digest[:DIGEST_CHARS]} by {entry.author or "unknown"}: '
        f'{entry.verdict}, version {entry.version}'
    )


def _conflicting_paths(ours: Any, theirs: Any, path: str) -> list[str]:
    if not isinstance(ours, dict) or not isinstance(theirs, dict):
        return [] if ours == theirs else [path]
    return [
        conflict
        for name in sorted(set(ours) & set(theirs))
        for conflict in _conflicting_paths(
            ours[name], theirs[name], f'{path}.{name}'
        )
    ]
