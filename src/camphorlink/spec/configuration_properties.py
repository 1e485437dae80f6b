"""Invariants, witnesses and mutations of the configuration."""

import itertools

from camphorlink.spec import configuration_states as config
from camphorlink.spec.checking import Mutation, Specification
from camphorlink.spec.configuration import list_steps
from camphorlink.spec.configuration_fold import fold_prefix


def _version_never_reverts(state: config.ConfigState) -> bool:
    return not any(vm.has_reverted for vm in state.vms)


def _all_agree(state: config.ConfigState) -> bool:
    return all(
        first.folded == second.folded
        for first, second in itertools.combinations(state.vms, 2)
        if first.folded.next_offset == second.folded.next_offset
    )


def _in_force_was_accepted(state: config.ConfigState) -> bool:
    return all(
        vm.folded == fold_prefix(state.stream, vm.folded.next_offset)
        for vm in state.vms
    )


def _no_unseen_overwrite(state: config.ConfigState) -> bool:
    return not any(vm.folded.has_overwritten for vm in state.vms)


def _has_restarted_from_snapshot(state: config.ConfigState) -> bool:
    return config.RESTART not in state.remaining_events and any(
        vm.folded.version and 2 < state.earliest_offset <= vm.folded.next_offset
        for vm in state.vms
    )


def _has_losing_operator(state: config.ConfigState) -> bool:
    return state.proposal_bases == (0, 0) and any(
        vm.folded.version == 1 and vm.folded.next_offset >= 4
        for vm in state.vms
    )


def _has_old_release_waiting(state: config.ConfigState) -> bool:
    offset = state.vms[1].folded.next_offset
    return (
        state.vms[0].folded.ruleset > 1
        and state.earliest_offset <= offset < len(state.stream)
        and state.stream[offset].kind == config.RULESET
    )


_INVARIANTS = {
    'version_never_reverts': _version_never_reverts,
    'all_agree': _all_agree,
    'in_force_was_accepted': _in_force_was_accepted,
    'no_unseen_overwrite': _no_unseen_overwrite,
}
_RACE = config.ConfigState(
    remaining_events=frozenset((config.NEWER_RULES, config.PEERS)),
)
_EXPIRY = config.ConfigState(
    proposal_bases=(-1,),
    max_records=4,
    vms=(config.Vm(2), config.Vm(2)),
    remaining_events=frozenset(
        (config.EXPIRY, config.SNAPSHOTS, config.PEERS, config.RESTART),
    ),
)

RACE = Specification(
    name='configuration-race',
    initial=_RACE,
    large_initial=_RACE._replace(max_records=6),
    steps=list_steps,
    invariants=_INVARIANTS,
    witnesses={
        'both VMs have version 2': lambda state: all(
            vm.folded.version == 2 for vm in state.vms
        ),
        'of two racing operators one loses': _has_losing_operator,
        'an older release waits for its upgrade': _has_old_release_waiting,
    },
    mutations=(
        Mutation(config.NO_BASE_CHECK, 'no_unseen_overwrite'),
        Mutation(config.UNCOMPARED_PEER_STATE, 'version_never_reverts'),
        Mutation(config.SKIPPED_RULESET, 'all_agree'),
    ),
)

EXPIRY = Specification(
    name='configuration-expiry',
    initial=_EXPIRY,
    large_initial=_EXPIRY._replace(max_records=5),
    steps=list_steps,
    invariants=_INVARIANTS,
    witnesses={
        'both VMs have version 2': lambda state: all(
            vm.folded.version == 2 for vm in state.vms
        ),
        'a fresh VM gets past a gap': _has_restarted_from_snapshot,
    },
    mutations=(
        Mutation(config.STALE_SNAPSHOT, 'in_force_was_accepted'),
        Mutation(
            config.SNAPSHOT_ON_CURRENT_VM,
            'version_never_reverts',
            is_deep=True,
        ),
        Mutation(config.SNAPSHOT_WITHOUT_PROPOSALS, 'in_force_was_accepted'),
        Mutation(config.SKIPPED_GAP, 'in_force_was_accepted'),
        Mutation(config.UNCOMPARED_PEER_STATE, 'version_never_reverts'),
    ),
)
