"""Which manifest is in force: a pure function of the stream's prefix.

Operators race each other, so nobody decides at the time of writing.  Each VM
folds the records of the configuration stream in the order of their offsets
and reaches the same verdict on every one of them.  A version only rises.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from camphorlink.errors import ManifestError
from camphorlink.internal.core.version.manifest import (
    EMPTY_MANIFEST,
    Manifest,
    check_manifest,
)
from camphorlink.internal.core.version.merge_patch import (
    apply_patch,
    make_patch,
)

MAX_OPEN_PROPOSALS = 64


class Verdict(enum.Enum):
    """What a record of the configuration stream came to."""

    PROPOSED = 'proposed'
    ACCEPTED = 'accepted'
    STALE_BASE = 'stale-base'
    NOT_PROPOSED = 'not-proposed'
    BAD_MANIFEST = 'bad-manifest'
    WRONG_DIGEST = 'wrong-digest'
    UNREADABLE = 'unreadable'
    REPEATED = 'repeated'


class Proposal(NamedTuple):
    """A proposal that may still be approved.

    Attributes:
        manifest: The checked manifest.
        document: The manifest as it was written.
    """

    manifest: Manifest
    document: Any


class ConfigState(NamedTuple):
    """What a prefix of the configuration stream amounts to.

    Attributes:
        version: Number of manifests accepted so far.
        manifest: The manifest in force.
        document: The manifest in force as it was written.
        next_offset: Offset of the first record that is not yet folded in.
        proposals_by_digest: Proposals that may still be approved.
    """

    version: int = 0
    manifest: Manifest = EMPTY_MANIFEST
    document: Any = None
    next_offset: int = 0
    proposals_by_digest: Mapping[str, Proposal] = MappingProxyType({})


class Step(NamedTuple):
    """Result of folding in one record."""

    state: ConfigState
    verdict: Verdict


def proposal_record(base_version: int, document: Any) -> dict[str, Any]:
    """Builds the record that proposes a manifest over ``base_version``."""
    return {
        'kind': 'proposed',
        'base_version': base_version,
        'digest': check_manifest(document).digest,
        'manifest': document,
    }


def patch_record(state: ConfigState, document: Any) -> dict[str, Any]:
    """Builds the record that proposes a change to what is in force.

    It carries the change alone, so it costs as much as it changes.
    """
    return {
        'kind': 'patched',
        'base_version': state.version,
        'digest': check_manifest(document).digest,
        'patch': make_patch(state.document, document),
    }


def approval_record(base_version: int, digest: str) -> dict[str, Any]:
    """Builds the record that approves a proposal by its digest."""
    return {
        'kind': 'approved',
        'base_version': base_version,
        'digest': digest,
    }


def fold_record(state: ConfigState, offset: int, record: Any) -> Step:
    """Folds one record of the stream into the state.

    Args:
        state: What the records before it amounted to.
        offset: Offset of the record; one that was folded in is passed over.
        record: The decoded record, of any shape.

    Returns:
        The next state and the verdict on this record.
    """
    if offset < state.next_offset:
        return Step(state, Verdict.REPEATED)
    advanced = state._replace(next_offset=offset + 1)
    try:
        kind, base = str(record['kind']), int(record['base_version'])
        digest = str(record['digest'])
    except (KeyError, TypeError, ValueError):
        return Step(advanced, Verdict.UNREADABLE)
    if kind not in {'proposed', 'patched', 'approved'}:
        return Step(advanced, Verdict.UNREADABLE)
    if base != state.version:
        return Step(advanced, Verdict.STALE_BASE)
    if kind == 'proposed':
        return _fold_proposal(advanced, digest, record.get('manifest'))
    if kind == 'patched':
        document = apply_patch(state.document, record.get('patch'))
        return _fold_proposal(advanced, digest, document)
    return _fold_approval(advanced, digest)


def _fold_proposal(state: ConfigState, digest: str, document: Any) -> Step:
    try:
        manifest = check_manifest(document)
    except ManifestError:
        return Step(state, Verdict.BAD_MANIFEST)
    if manifest.digest != digest:
        return Step(state, Verdict.WRONG_DIGEST)
    proposals = dict(state.proposals_by_digest)
    proposals[digest] = Proposal(manifest, document)
    while len(proposals) > MAX_OPEN_PROPOSALS:
        proposals.pop(next(iter(proposals)))
    return Step(
        state._replace(proposals_by_digest=MappingProxyType(proposals)),
        Verdict.PROPOSED,
    )


def _fold_approval(state: ConfigState, digest: str) -> Step:
    proposal = state.proposals_by_digest.get(digest)
    if proposal is None:
        return Step(state, Verdict.NOT_PROPOSED)
    accepted = state._replace(
        version=state.version + 1,
        manifest=proposal.manifest,
        document=proposal.document,
        proposals_by_digest=MappingProxyType({}),
    )
    return Step(accepted, Verdict.ACCEPTED)
