"""Determines the manifest in force as a pure function of the stream's prefix.

Operators may write at the same time, so a record is accepted or rejected when
it is read and not when it is written.  Each VM folds the records of the
configuration stream in the order of their offsets and reaches the same verdict
on each of them.  The version never decreases.

Verdicts must not differ between releases either.  So each check here belongs to
a numbered rule set and is frozen once it is released.  A newer rule set takes
effect only at a ``ruleset`` record of the stream, never because a newer release
reads the stream.  A VM whose release lacks the required rule set stops before
that record and keeps its state, as it might reach another verdict.
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
    digest_document,
)
from camphorlink.internal.core.version.merge_patch import (
    apply_patch,
    is_shallow,
    make_patch,
)

#: Proposals that may be open at once; a further one removes the oldest.
MAX_OPEN_PROPOSALS = 8
#: Newest rule set that this release supports.
KNOWN_RULESET = 1


_KINDS = ('proposed', 'patched', 'approved', 'snapshot', 'ruleset')


class Verdict(enum.Enum):
    """Result of folding a record of the configuration stream."""

    PROPOSED = 'proposed'
    ACCEPTED = 'accepted'
    STALE_BASE = 'stale-base'
    NOT_PROPOSED = 'not-proposed'
    BAD_MANIFEST = 'bad-manifest'
    WRONG_DIGEST = 'wrong-digest'
    UNREADABLE = 'unreadable'
    REPEATED = 'repeated'
    SNAPSHOT = 'snapshot'
    NEWER_RULES = 'newer-rules'


class Proposal(NamedTuple):
    """A proposal that may still be approved.

    Attributes:
        manifest: The checked manifest.
        document: The manifest as a JSON document.
    """

    manifest: Manifest
    document: Any


class ConfigState(NamedTuple):
    """Configuration state after folding a prefix of the stream.

    Attributes:
        version: Number of manifests and rule sets accepted so far.
        manifest: The manifest in force.
        document: The manifest in force as a JSON document.
        next_offset: Offset of the first record that is not yet folded.
        proposals_by_digest: Proposals that may still be approved.
        ruleset: Number of the rule set in effect.
    """

    version: int = 0
    manifest: Manifest = EMPTY_MANIFEST
    document: Any = None
    next_offset: int = 0
    proposals_by_digest: Mapping[str, Proposal] = MappingProxyType({})
    ruleset: int = 1


class Step(NamedTuple):
    """State after folding one record, and the verdict on the record."""

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
    """Builds the record that proposes a change to the manifest in force.

    The record contains only the difference, so its size depends on the change.
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


def ruleset_record(base_version: int, ruleset: int) -> dict[str, Any]:
    """Builds the record that puts the next rule set into effect.

    Append it only when all VMs run a release that supports this rule set.
    """
    return {
        'kind': 'ruleset',
        'base_version': base_version,
        'ruleset': ruleset,
        'digest': _digest_ruleset(base_version, ruleset),
    }


def fold_record(state: ConfigState, offset: int, record: Any) -> Step:
    """Folds one record of the stream into the state.

    Args:
        state: State after the records before this one.
        offset: Offset of the record; a record that is already folded is
            ignored.
        record: The decoded record, of any shape.

    Returns:
        The next state and the verdict on this record.
    """
    if offset < state.next_offset:
        return Step(state, Verdict.REPEATED)
    advanced = state._replace(next_offset=offset + 1)
    header = _read_header(record)
    if header is None:
        return Step(advanced, Verdict.UNREADABLE)
    if header.kind == 'snapshot':
        # All records that the snapshot covers are already folded.
        return Step(advanced, Verdict.SNAPSHOT)
    if header.base_version != state.version:
        return Step(advanced, Verdict.STALE_BASE)
    if header.kind == 'ruleset':
        return _fold_ruleset(state, advanced, record, header)
    if header.kind == 'approved':
        return _fold_approval(advanced, header.digest)
    if header.kind == 'patched':
        document = apply_patch(state.document, record.get('patch'))
        return _fold_proposal(advanced, header.digest, document)
    return _fold_proposal(advanced, header.digest, record.get('manifest'))


class _RecordHeader(NamedTuple):
    kind: str
    base_version: int
    digest: str


def _read_header(record: Any) -> _RecordHeader | None:
    """Returns the common fields, or ``None`` if the record is corrupted."""
    if not isinstance(record, dict) or not is_shallow(record):
        return None
    kind, digest = record.get('kind'), record.get('digest')
    if kind not in _KINDS or not isinstance(digest, str):
        return None
    base = 0 if kind == 'snapshot' else record.get('base_version')
    if not isinstance(base, int) or isinstance(base, bool):
        return None
    return _RecordHeader(kind, base, digest)


def _fold_ruleset(
    before: ConfigState,
    advanced: ConfigState,
    record: Mapping[str, Any],
    header: _RecordHeader,
) -> Step:
    ruleset = record.get('ruleset')
    if header.digest != _digest_ruleset(header.base_version, ruleset):
        return Step(advanced, Verdict.WRONG_DIGEST)
    if ruleset != before.ruleset + 1:
        return Step(advanced, Verdict.STALE_BASE)
    if ruleset > KNOWN_RULESET:
        return Step(before, Verdict.NEWER_RULES)
    accepted = advanced._replace(
        version=before.version + 1,
        ruleset=ruleset,
        proposals_by_digest=MappingProxyType({}),
    )
    return Step(accepted, Verdict.ACCEPTED)


def _digest_ruleset(base_version: int, ruleset: Any) -> str:
    return digest_document({'base_version': base_version, 'ruleset': ruleset})


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
