"""Encodes a complete configuration state, and decodes and checks it.

The same format is used for snapshot records of the stream and for the states
that entry VMs send each other.  A snapshot contains the offset up to which it
covers the stream.  A VM that starts from it folds every later record, so a
stale snapshot leads to the same state as a fresh one.
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
    """Encoded form of a configuration state."""

    __pydantic_config__ = ConfigDict(strict=True)  # type: ignore[misc]
    kind: str
    covers: int
    version: int
    ruleset: int
    digest: str
    manifest: Any
    proposals: list[Any]


class Snapshot(NamedTuple):
    """A decoded snapshot.

    Attributes:
        state: The state; folding continues at its ``next_offset``.
        is_unsupported: Whether it needs a rule set that this release lacks;
            ``state`` is then empty and must not be used.
    """

    state: ConfigState
    is_unsupported: bool = False


_ADAPTER: TypeAdapter[SnapshotDocument] = TypeAdapter(SnapshotDocument)


def snapshot_record(state: ConfigState) -> dict[str, Any]:
    """Encodes a state that has at least one accepted version."""
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
    """Decodes and checks a snapshot record.

    Raises:
        ManifestError: If the record is corrupted or is not a snapshot.
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
