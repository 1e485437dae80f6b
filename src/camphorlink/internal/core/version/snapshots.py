"""Writes a configuration state out whole, and reads it back checked.

The same form serves the snapshot records of the stream and the states that
entry VMs give each other.  A snapshot states the offset up to which it covers
the stream; whoever starts from it folds every record after that, so a stale
one leads to the same state as a fresh one.
"""

from types import MappingProxyType
from typing import Any, NamedTuple

from pydantic import ConfigDict, TypeAdapter
from typing_extensions import TypedDict

from camphorlink.errors import Fault, ManifestError
from camphorlink.internal.core.process.documents import check_shape
from camphorlink.internal.core.version.acceptance import (
    KNOWN_RULESET,
    ConfigState,
    Proposal,
)
from camphorlink.internal.core.version.manifest import check_manifest
from camphorlink.internal.core.version.merge_patch import (
    apply_patch,
    is_shallow,
    make_patch,
)


class SnapshotDocument(TypedDict):
    """A configuration state as it is written."""

    __pydantic_config__ = ConfigDict(strict=True)  # type: ignore[misc]
    kind: str
    covers: int
    version: int
    ruleset: int
    digest: str
    manifest: Any
    proposals: list[Any]


class Snapshot(NamedTuple):
    """A state that was read back.

    Attributes:
        state: The state; its ``next_offset`` is where to fold on.
        is_unsupported: Whether it needs rules that this release lacks; then the
            state is not to be used.
    """

    state: ConfigState
    is_unsupported: bool = False


_ADAPTER: TypeAdapter[SnapshotDocument] = TypeAdapter(SnapshotDocument)


def snapshot_record(state: ConfigState) -> dict[str, Any]:
    """Writes a state with at least one accepted version."""
    return {
        'kind': 'snapshot',
        'covers': state.next_offset,
        'version': state.version,
        'ruleset': state.ruleset,
        'digest': state.manifest.digest,
        'manifest': state.document,
        'proposals': [
            make_patch(state.document, proposal.document)
            for proposal in state.proposals_by_digest.values()
        ],
    }


def read_snapshot(record: Any) -> Snapshot:
    """Reads a state back.

    Raises:
        ManifestError: It is corrupted or no snapshot.
    """
    if not is_shallow(record):
        raise ManifestError([Fault('$', 'deep nesting', 'a snapshot')])
    typed = check_shape(_ADAPTER, record, ManifestError)
    if typed['kind'] != 'snapshot' or typed['version'] < 1:
        raise ManifestError([Fault('$.kind', typed['kind'], 'a snapshot')])
    if typed['ruleset'] > KNOWN_RULESET:
        return Snapshot(ConfigState(), is_unsupported=True)
    manifest = check_manifest(typed['manifest'])
    if manifest.digest != typed['digest']:
        fault = Fault('$.digest', typed['digest'], manifest.digest)
        raise ManifestError([fault])
    proposals = (
        _read_proposal(typed['manifest'], patch) for patch in typed['proposals']
    )
    return Snapshot(
        ConfigState(
            version=typed['version'],
            manifest=manifest,
            document=typed['manifest'],
            next_offset=typed['covers'],
            proposals_by_digest=MappingProxyType(
                {entry.manifest.digest: entry for entry in proposals},
            ),
            ruleset=typed['ruleset'],
        ),
    )


def _read_proposal(base: Any, patch: Any) -> Proposal:
    document = apply_patch(base, patch)
    return Proposal(check_manifest(document), document)
