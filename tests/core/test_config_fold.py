"""Tests that all VMs fold the configuration stream to the same state.

Records may expire, race or be corrupted, and VMs may send each other states.
"""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorlink.internal.core.connection.log_records import Page, StoredRecord
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    Verdict,
    approval_record,
    fold_record,
    patch_record,
    proposal_record,
    ruleset_record,
)
from camphorlink.internal.core.version.config_fold import ConfigFold, Health
from camphorlink.internal.core.version.snapshots import snapshot_record

PAGE_RECORDS = 3


def build_manifest(team):
    return {'schema': 1, 'services': {}, 'backends': {}, 'teams': {team: {}}}


def nested(depth):
    document = []
    for _level in range(depth):
        document = [document]
    return document


class Stream:
    """A log whose oldest records can expire, with the state of each prefix."""

    def __init__(self):
        self.records = []
        self.earliest = 0
        self.prefix_states = [ConfigState()]

    @property
    def state(self):
        return self.prefix_states[-1]

    def append(self, record):
        # The real log also encodes records as JSON.
        record = json.loads(json.dumps(record))
        offset = len(self.records)
        self.records.append(StoredRecord(offset, offset * 1000, record))
        step = fold_record(self.state, offset, record)
        self.prefix_states.append(step.state)
        return step.verdict

    def accept(self, team):
        base = self.state.version
        proposal = proposal_record(base, build_manifest(team))
        self.append(proposal)
        return self.append(approval_record(base, proposal['digest']))

    def page(self, start):
        kept = self.records[max(start, self.earliest) :][:PAGE_RECORDS]
        return Page(tuple(kept), self.earliest, len(self.records))


def catch_up(fold, stream, limit=200):
    for _read in range(limit):
        before = (fold.read_from, fold.health)
        fold.fold_page(stream.page(fold.read_from))
        if (fold.read_from, fold.health) == before:
            return
    raise AssertionError('the fold did not reach a stable state')


def check(fold, stream, min_version):
    state = fold.state
    assert state.version >= min_version
    assert state == stream.prefix_states[state.next_offset]


GARBAGE = st.sampled_from(
    [
        None,
        7,
        'text',
        [],
        {},
        {'kind': 'later-kind', 'base_version': 0, 'digest': ''},
        {'kind': 'approved', 'base_version': True, 'digest': 'x'},
        {'kind': ['proposed'], 'base_version': 0, 'digest': 'x'},
        {'kind': 'patched', 'base_version': 0, 'digest': '', 'patch': 1},
        {
            'kind': 'proposed',
            'base_version': 0,
            'digest': '',
            'manifest': nested(400),
        },
        {'kind': 'snapshot', 'digest': 'x', 'covers': 0, 'version': 99},
    ]
)

ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just('propose'), st.sampled_from('abc')),
        st.tuples(st.just('patch'), st.sampled_from('abc')),
        st.tuples(st.just('approve'), st.integers(0, 3)),
        st.tuples(st.just('accept'), st.sampled_from('abc')),
        st.tuples(st.just('garbage'), GARBAGE),
        st.tuples(st.just('snapshot'), st.integers(0, 8)),
        st.tuples(st.just('expire'), st.integers(1, 6)),
        st.tuples(st.just('read'), st.integers(0, 2)),
        st.tuples(st.just('read'), st.integers(0, 2)),
        st.tuples(st.just('read'), st.integers(0, 2)),
        st.tuples(st.just('give'), st.permutations(range(3))),
    ),
    min_size=5,
    max_size=40,
)


class Simulation:
    """Three VMs that read, send each other states and write snapshots."""

    def __init__(self):
        self.stream = Stream()
        self.folds = [ConfigFold() for _vm in range(3)]
        self.versions = [0, 0, 0]
        self.offsets = [0, 0, 0]

    def apply(self, action, argument):
        getattr(self, action)(argument)
        for number, fold in enumerate(self.folds):
            check(fold, self.stream, self.versions[number])
            assert fold.state.next_offset >= self.offsets[number]
            self.versions[number] = fold.state.version
            self.offsets[number] = fold.state.next_offset

    def propose(self, team):
        base = self.stream.state.version
        self.stream.append(proposal_record(base, build_manifest(team)))

    def patch(self, team):
        state = self.stream.state
        if state.version:
            self.stream.append(patch_record(state, build_manifest(team)))

    def approve(self, which):
        state = self.stream.state
        digests = [*state.proposals_by_digest, 'nobody']
        digest = digests[which % len(digests)]
        self.stream.append(approval_record(state.version, digest))

    def accept(self, team):
        self.stream.accept(team)

    def garbage(self, record):
        self.stream.append(record)

    def snapshot(self, age):
        """Appends a snapshot of an earlier state, which may be stale."""
        states = self.stream.prefix_states
        state = states[max(0, len(states) - 1 - age)]
        if state.version:
            self.stream.append(snapshot_record(state))

    def expire(self, count):
        stream = self.stream
        stream.earliest = min(stream.earliest + count, len(stream.records))

    def read(self, number):
        fold = self.folds[number]
        fold.fold_page(self.stream.page(fold.read_from))

    def give(self, order):
        sender, receiver, _other = (self.folds[number] for number in order)
        if sender.state.version:
            record = json.loads(json.dumps(snapshot_record(sender.state)))
            receiver.adopt_peer_state(record)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(actions=ACTIONS)
def test_each_state_equals_the_fold_of_its_prefix(actions):
    simulation = Simulation()
    for action, argument in actions:
        simulation.apply(action, argument)
    fresh = ConfigFold()
    for fold in (*simulation.folds, fresh):
        catch_up(fold, simulation.stream)
        if fold.health is Health.CURRENT:
            assert fold.state == simulation.stream.state
        else:
            assert fold.health is Health.GAP
            assert fold.state.next_offset < simulation.stream.earliest


def test_a_gap_without_a_snapshot_is_reported_and_not_skipped():
    stream = Stream()
    stream.accept('a')
    fold = ConfigFold()
    catch_up(fold, stream)
    stream.accept('b')
    stream.accept('c')
    stream.earliest = 4
    catch_up(fold, stream)
    assert fold.health is Health.GAP
    assert fold.state.version == 1
    stream.append(snapshot_record(stream.state))
    catch_up(fold, stream)
    assert fold.health is Health.CURRENT
    assert fold.state == stream.state


def test_a_stale_snapshot_restores_no_old_state():
    stream = Stream()
    stream.accept('a')
    old = snapshot_record(stream.state)
    stream.accept('b')
    stream.append(old)
    fresh = ConfigFold()
    stream.earliest = 2
    catch_up(fresh, stream)
    assert fresh.state == stream.state
    assert set(fresh.state.manifest.teams_by_name) == {'b'}
    stream.earliest = 4
    late = ConfigFold()
    catch_up(late, stream)
    assert late.health is Health.GAP
    assert late.state.version == 0


def test_a_peer_state_is_adopted_only_when_it_is_ahead():
    stream = Stream()
    stream.accept('a')
    behind = ConfigFold()
    catch_up(behind, stream)
    old = snapshot_record(behind.state)
    stream.accept('b')
    ahead = ConfigFold()
    catch_up(ahead, stream)
    assert not ahead.adopt_peer_state(old)
    assert behind.adopt_peer_state(snapshot_record(ahead.state))
    assert behind.state == ahead.state
    shorter = {**snapshot_record(ahead.state), 'covers': 3}
    assert not behind.adopt_peer_state(shorter)
    assert not behind.adopt_peer_state({**old, 'covers': 99, 'version': 1})
    assert not behind.adopt_peer_state({**old, 'covers': 99, 'digest': ''})
    assert behind.state == ahead.state


def test_a_peer_state_closes_a_gap_and_later_records_are_read():
    stream = Stream()
    stream.accept('a')
    sender = ConfigFold()
    catch_up(sender, stream)
    for team in 'bcd':
        stream.accept(team)
    stream.earliest = 1
    receiver = ConfigFold()
    receiver.fold_page(stream.page(0))
    assert receiver.health is Health.GAP
    assert receiver.read_from == 4
    receiver.adopt_peer_state(snapshot_record(sender.state))
    catch_up(receiver, stream)
    assert receiver.health is Health.CURRENT
    assert receiver.state == stream.state


def test_a_log_that_lost_its_end_is_reported_and_reverts_nothing():
    stream = Stream()
    stream.accept('a')
    fold = ConfigFold()
    catch_up(fold, stream)
    fold.fold_page(Page((), 0, 0))
    assert fold.health is Health.LOG_BEHIND
    assert fold.state.version == 1


def test_missing_records_in_a_page_are_a_gap():
    stream = Stream()
    for team in 'abc':
        stream.accept(team)
    whole = Page(tuple(stream.records), 0, len(stream.records))
    fold = ConfigFold()
    fold.fold_page(
        whole._replace(records=whole.records[:2] + whole.records[4:])
    )
    assert fold.health is Health.GAP
    assert fold.state.version == 1


def test_a_vm_that_lacks_the_rule_set_stops_before_the_record():
    stream = Stream()
    stream.accept('a')
    assert stream.append(ruleset_record(1, 2)) is Verdict.NEWER_RULES
    fold = ConfigFold()
    catch_up(fold, stream)
    assert fold.health is Health.NEEDS_UPGRADE
    assert (fold.state.version, fold.state.next_offset) == (1, 2)
    newer = {**snapshot_record(stream.state), 'covers': 3, 'ruleset': 2}
    assert not fold.adopt_peer_state(newer)
    assert fold.state.version == 1


def test_a_corrupted_ruleset_record_is_rejected():
    stream = Stream()
    stream.accept('a')
    corrupted = {**ruleset_record(1, 2), 'digest': '0' * 64}
    assert stream.append(corrupted) is Verdict.WRONG_DIGEST
    assert stream.append(ruleset_record(0, 2)) is Verdict.STALE_BASE
    assert stream.append(ruleset_record(1, 7)) is Verdict.STALE_BASE
    assert stream.accept('b') is Verdict.ACCEPTED


def test_a_snapshot_is_due_by_age_and_by_count():
    stream = Stream()
    stream.accept('a')
    fold = ConfigFold()
    catch_up(fold, stream)
    assert not fold.is_snapshot_due(5000, 6000, 10)
    assert fold.is_snapshot_due(7000, 6000, 10)
    assert fold.is_snapshot_due(5000, 6000, 1)
    stream.append(snapshot_record(fold.state))
    catch_up(fold, stream)
    assert not fold.is_snapshot_due(7000, 6000, 1)
