"""Workloads of manifests and configuration changes for the slopes."""

import functools
from collections.abc import Callable
from typing import Any, NamedTuple

from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    approval_record,
    fold_record,
    patch_record,
    proposal_record,
)
from camphorlink.internal.core.version.manifest import (
    canonical_bytes,
    check_manifest,
)

ALL_BACKENDS = 1900
ALL_TEAMS = 150
MANY_TEAMS = 1500
CHANGES = 20

#: Does some units of work and returns the number of units.
Workload = Callable[[], int]


class BuiltState(NamedTuple):
    """State in memory, and the number of units that it consists of."""

    state: Any
    units: int


#: Builds state whose memory is measured.
BuildState = Callable[[], BuiltState]


def build_manifest_document(backends: int, teams: int) -> dict[str, Any]:
    """Builds a manifest document with all back ends in one zone.

    Args:
        backends: Number of backend servers.
        teams: Number of teams.
    """
    return {
        'schema': 1,
        'services': {'caster': {}},
        'backends': {
            f'runner-{number:04d}': {
                'address': f'10.0.{number // 250}.{number % 250}:9000',
                'zone': 'larissa',
                'slots': 8,
                'connections': 64,
                'services': ['caster'],
            }
            for number in range(backends)
        },
        'teams': {f'team-{number}': {} for number in range(teams)},
    }


def build_backend_manifest() -> BuiltState:
    """Builds and checks a manifest of 1,900 backend servers and one team."""
    document = build_manifest_document(ALL_BACKENDS, 1)
    return BuiltState((document, check_manifest(document)), ALL_BACKENDS)


def build_team_manifest() -> BuiltState:
    """Builds and checks a manifest of 1,500 teams and one backend server."""
    document = build_manifest_document(1, MANY_TEAMS)
    return BuiltState((document, check_manifest(document)), MANY_TEAMS)


def fold_changes() -> int:
    """Folds changes into a large manifest, each of one backend server."""
    state = _build_full_state()
    records = _build_change_records()
    for record in records:
        state = fold_record(state, state.next_offset, record).state
    return len(records) // 2


@functools.cache
def _build_change_records() -> list[dict[str, Any]]:
    state = _build_full_state()
    records: list[dict[str, Any]] = []
    for number in range(CHANGES):
        patch = patch_record(state, _mark_leaving(state.document, number))
        approval = approval_record(state.version, patch['digest'])
        for record in (patch, approval):
            state = fold_record(state, state.next_offset, record).state
            records.append(record)
    return records


def measure_change_bytes() -> int:
    """Returns the bytes of the two records that change one backend server."""
    state = _build_full_state()
    patch = patch_record(state, _mark_leaving(state.document, 1))
    approval = approval_record(state.version, patch['digest'])
    return len(canonical_bytes(patch)) + len(canonical_bytes(approval))


def _build_full_state() -> ConfigState:
    document = build_manifest_document(ALL_BACKENDS, ALL_TEAMS)
    proposal = proposal_record(0, document)
    state = fold_record(ConfigState(), 0, proposal).state
    return fold_record(state, 1, approval_record(0, proposal['digest'])).state


def _mark_leaving(document: Any, number: int) -> dict[str, Any]:
    name = f'runner-{number:04d}'
    entry = {**document['backends'][name], 'leaving': True}
    return {**document, 'backends': {**document['backends'], name: entry}}
