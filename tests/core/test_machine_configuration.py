"""Stateful test that all configuration folds reach the same state.

The steps are appended, lost, delayed and expired records in random order.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from test_config_fold import Stream, build_manifest

from camphorlink.internal.core.connection.log_records import Page
from camphorlink.internal.core.version.acceptance import (
    approval_record,
    patch_record,
    proposal_record,
    ruleset_record,
)
from camphorlink.internal.core.version.config_fold import ConfigFold
from camphorlink.internal.core.version.snapshots import snapshot_record

VMS = 3
folds = st.integers(0, VMS - 1)
teams = st.sampled_from(('red', 'green', 'blue'))


class ConfigurationMachine(RuleBasedStateMachine):
    """One stream, the folds of several VMs, and concurrent operators."""

    @initialize()
    def start(self):
        self.stream = Stream()
        self.folds = [ConfigFold() for _vm in range(VMS)]
        self.versions = [0] * VMS
        self.pending_pages = []
        self.pending_records = []
        self.sent_states = []
        self.answers_lost = 0

    @rule(vm=folds, team=teams, is_patch=st.booleans())
    def propose(self, vm, team, is_patch):
        """An operator proposes a change to one VM's state, maybe a stale one."""
        state = self.folds[vm].state
        document = build_manifest(team)
        if is_patch and state.document is not None:
            self.pending_records.append(patch_record(state, document))
        else:
            self.pending_records.append(
                proposal_record(state.version, document)
            )

    @rule(vm=folds, team=teams)
    def approve(self, vm, team):
        state = self.folds[vm].state
        digest = proposal_record(0, build_manifest(team))['digest']
        self.pending_records.append(approval_record(state.version, digest))

    @rule(vm=folds, team=teams)
    def publish(self, vm, team):
        """An operator brings a manifest into force on an up-to-date VM."""
        self.catch_up(vm)
        state = self.folds[vm].state
        proposed = proposal_record(state.version, build_manifest(team))
        approved = approval_record(state.version, proposed['digest'])
        for record in (proposed, approved):
            self.stream.append(record)
        self.catch_up(vm)

    @rule(vm=folds)
    def publish_snapshot(self, vm):
        state = self.folds[vm].state
        if state.version:
            self.stream.append(snapshot_record(state))

    @rule(keeps=st.integers(0, 2))
    def expire_most(self, keeps):
        end = len(self.stream.records)
        self.stream.earliest = max(self.stream.earliest, end - keeps)

    @rule(vm=folds)
    def write_snapshot(self, vm):
        state = self.folds[vm].state
        if state.version:
            self.pending_records.append(snapshot_record(state))

    @rule(bad=st.sampled_from((None, 'text', {'kind': 'approved'}, {'a': 1})))
    def corrupt(self, bad):
        self.pending_records.append(bad)

    @rule(version=st.integers(0, 3))
    def require_newer_rules(self, version):
        self.pending_records.append(ruleset_record(version, 2))

    @rule(choice=st.integers(0, 99), keeps=st.booleans())
    def append_pending(self, choice, keeps):
        """Appends a pending record in any order.

        With ``keeps`` the answer is lost, so the record may be appended again.
        """
        if not self.pending_records:
            return
        number = choice % len(self.pending_records)
        self.stream.append(self.pending_records[number])
        if not keeps:
            self.pending_records.pop(number)

    @rule(count=st.integers(1, 4))
    def expire(self, count):
        end = len(self.stream.records)
        self.stream.earliest = min(end, self.stream.earliest + count)

    @rule(vm=folds, size=st.integers(1, 5))
    def read_page(self, vm, size):
        """Reads a page, which may be folded later."""
        start = max(self.folds[vm].read_from, self.stream.earliest)
        records = tuple(self.stream.records[start : start + size])
        end = len(self.stream.records)
        page = Page(records, self.stream.earliest, end)
        self.pending_pages.append((vm, self.folds[vm], page))

    @rule(choice=st.integers(0, 99))
    def fold_pending_page(self, choice):
        if not self.pending_pages:
            return
        vm, fold, page = self.pending_pages.pop(
            choice % len(self.pending_pages)
        )
        if self.folds[vm] is fold:
            fold.fold_page(page)

    @rule(vm=folds)
    def catch_up(self, vm):
        for _page in range(6):
            self.read_page(vm, 5)
            self.fold_pending_page(len(self.pending_pages) - 1)

    @rule()
    def catch_up_all(self):
        for vm in range(VMS):
            self.catch_up(vm)

    @rule(vm=folds)
    def send_state(self, vm):
        state = self.folds[vm].state
        if state.version:
            self.sent_states.append(snapshot_record(state))

    @rule(vm=folds, choice=st.integers(0, 99))
    def adopt_sent_state(self, vm, choice):
        """A peer's state arrives with any delay and any number of times."""
        if self.sent_states:
            record = self.sent_states[choice % len(self.sent_states)]
            self.folds[vm].adopt_peer_state(record)

    @rule(vm=folds)
    def restart(self, vm):
        self.folds[vm] = ConfigFold()
        self.versions[vm] = 0

    @invariant()
    def version_never_reverts(self):
        if not hasattr(self, 'folds'):
            return
        for vm, fold in enumerate(self.folds):
            assert fold.state.version >= self.versions[vm]
            self.versions[vm] = fold.state.version

    @invariant()
    def no_unseen_overwrite(self):
        if not hasattr(self, 'stream'):
            return
        prefix_states = self.stream.prefix_states
        for stored in self.stream.records:
            before, after = prefix_states[stored.offset : stored.offset + 2]
            if after.version > before.version:
                assert stored.record['base_version'] == before.version

    @invariant()
    def all_agree(self):
        if not hasattr(self, 'folds'):
            return
        for fold in self.folds:
            state = fold.state
            expected = self.stream.prefix_states[state.next_offset]
            assert state.version == expected.version
            assert state.manifest == expected.manifest
            assert state.ruleset == expected.ruleset
            assert dict(state.proposals_by_digest) == dict(
                expected.proposals_by_digest,
            )


ConfigurationMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestConfiguration = ConfigurationMachine.TestCase
