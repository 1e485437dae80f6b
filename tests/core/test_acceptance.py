"""Tests that the state depends only on the stream's prefix."""

from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    Verdict,
    approval_record,
    fold_record,
    patch_record,
    proposal_record,
)


def build_manifest(team):
    return {'schema': 1, 'services': {}, 'backends': {}, 'teams': {team: {}}}


def fold_all(records):
    state, verdicts = ConfigState(), []
    for offset, record in enumerate(records):
        step = fold_record(state, offset, record)
        state = step.state
        verdicts.append(step.verdict)
    return state, verdicts


def test_the_first_of_two_racing_approvals_wins():
    first = proposal_record(0, build_manifest('a'))
    second = proposal_record(0, build_manifest('b'))
    state, verdicts = fold_all(
        [
            first,
            second,
            approval_record(0, second['digest']),
            approval_record(0, first['digest']),
        ]
    )
    assert verdicts[-2:] == [Verdict.ACCEPTED, Verdict.STALE_BASE]
    assert set(state.manifest.teams_by_name) == {'b'}
    assert state.version == 1


def test_unreadable_records_are_ignored():
    good = proposal_record(0, build_manifest('a'))
    state, verdicts = fold_all(
        [
            None,
            'text',
            {'kind': 'proposed'},
            {**good, 'digest': '0' * 64},
            good,
            approval_record(0, good['digest']),
        ]
    )
    assert verdicts == [
        Verdict.UNREADABLE,
        Verdict.UNREADABLE,
        Verdict.UNREADABLE,
        Verdict.WRONG_DIGEST,
        Verdict.PROPOSED,
        Verdict.ACCEPTED,
    ]
    assert state.version == 1


def test_folding_a_record_again_changes_nothing():
    good = proposal_record(0, build_manifest('a'))
    state, _verdicts = fold_all([good, approval_record(0, good['digest'])])
    assert fold_record(state, 0, good) == (state, Verdict.REPEATED)


def test_a_patch_record_proposes_the_patched_manifest():
    first = proposal_record(0, build_manifest('a'))
    state, _verdicts = fold_all([first, approval_record(0, first['digest'])])
    wanted = build_manifest('b')
    patch = patch_record(state, wanted)
    assert patch['patch'] == {'teams': {'a': None, 'b': {}}}
    state = fold_record(state, 2, patch).state
    state = fold_record(state, 3, approval_record(1, patch['digest'])).state
    assert (state.version, state.document) == (2, wanted)
