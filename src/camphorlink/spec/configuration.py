"""Steps of the configuration stream, which entry VMs fold independently.

Up to two operators change the configuration concurrently.  Each reads a
version at an entry VM, proposes a manifest based on that version and approves
it.  An operator may append any record repeatedly because an answer was lost.
Records expire.  Entry VMs write snapshots that may be stored late, send their
state to each other and restart with an empty state.  One entry VM may run a
release that lacks the second set of rules.
"""

from collections.abc import Iterator

from camphorlink.spec import configuration_states as config
from camphorlink.spec.configuration_fold import fold

LabelledSteps = Iterator[tuple[str, config.ConfigState]]


def list_steps(state: config.ConfigState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
    if len(state.stream) < state.max_records:
        yield from _step_operators(state)
        yield from _store_snapshot(state)
    if config.EXPIRY in state.remaining_events and state.earliest_offset < len(
        state.stream
    ):
        expired = state._replace(earliest_offset=state.earliest_offset + 1)
        yield f'record {state.earliest_offset} expires', expired
    for number, _vm in enumerate(state.vms):
        yield from _read_record(state, number, mutation)
        if config.SNAPSHOTS in state.remaining_events:
            yield from _write_snapshot(state, number, mutation)
        if config.PEERS in state.remaining_events:
            yield from _exchange_state(state, number, mutation)
        if config.RESTART in state.remaining_events:
            yield from _restart(state, number)


def _step_operators(state: config.ConfigState) -> LabelledSteps:
    versions = frozenset(vm.folded.version for vm in state.vms)
    for operator, base in enumerate(state.proposal_bases):
        if base >= 0:
            approved = config.Record(config.APPROVED, base, operator)
            label = f'operator {operator} approves over version {base}'
            yield label, _append(state, approved)
        for seen_version in versions:
            if seen_version > base:
                yield _propose(state, operator, seen_version)
    if config.NEWER_RULES in state.remaining_events:
        remaining = state.remaining_events - {config.NEWER_RULES}
        for version in versions:
            record = config.Record(config.RULESET, version)
            label = f'the second set of rules, over version {version}'
            yield (
                label,
                _append(state, record)._replace(remaining_events=remaining),
            )


def _propose(
    state: config.ConfigState,
    operator: int,
    seen_version: int,
) -> tuple[str, config.ConfigState]:
    proposed = config.Record(config.PROPOSED, seen_version, operator)
    before, after = (
        state.proposal_bases[:operator],
        state.proposal_bases[operator + 1 :],
    )
    next_state = _append(state, proposed)._replace(
        proposal_bases=(*before, seen_version, *after),
    )
    return (
        f'operator {operator} proposes over version {seen_version}',
        next_state,
    )


def _store_snapshot(state: config.ConfigState) -> LabelledSteps:
    if state.pending_snapshot is not None:
        next_state = _append(
            state, config.Record(config.SNAPSHOT, folded=state.pending_snapshot)
        )
        label = (
            f'the snapshot of version {state.pending_snapshot.version} lands'
        )
        yield label, next_state._replace(pending_snapshot=None)


def _read_record(
    state: config.ConfigState, number: int, mutation: str
) -> LabelledSteps:
    vm = state.vms[number]
    offset = vm.folded.next_offset
    if offset < state.earliest_offset:
        yield from _close_gap(state, number, mutation)
    elif offset < len(state.stream):
        folded = fold(vm.folded, state.stream[offset], vm.release, mutation)
        label = f'VM {number} folds record {offset}'
        yield label, _set_folded(state, number, folded)


def _close_gap(
    state: config.ConfigState, number: int, mutation: str
) -> LabelledSteps:
    """Lists the steps of a VM whose next record has expired."""
    vm = state.vms[number]
    if mutation == config.SKIPPED_GAP:
        skipped = vm.folded._replace(next_offset=state.earliest_offset)
        label = f'VM {number} skips to record {state.earliest_offset}'
        yield label, _set_folded(state, number, skipped)
    kept = state.stream[state.earliest_offset :]
    for offset, record in enumerate(kept, state.earliest_offset):
        folded = record.folded
        if folded is None or folded.ruleset > vm.release:
            continue
        label = f'VM {number} takes the snapshot in record {offset}'
        if mutation == config.STALE_SNAPSHOT:
            stale = folded._replace(next_offset=offset)
            yield label, _set_folded(state, number, stale)
        elif folded.next_offset >= state.earliest_offset:
            yield label, _set_folded(state, number, folded)


def _exchange_state(
    state: config.ConfigState, number: int, mutation: str
) -> LabelledSteps:
    vm = state.vms[number]
    if vm.folded.version and state.sent_state != vm.folded:
        label = f'VM {number} sends its state, version {vm.folded.version}'
        yield label, state._replace(sent_state=vm.folded)
    sent_state = state.sent_state
    if sent_state is None or sent_state.ruleset > vm.release:
        return
    is_ahead = sent_state.next_offset > vm.folded.next_offset
    if is_ahead or mutation == config.UNCOMPARED_PEER_STATE:
        label = (
            f'VM {number} takes the state sent, version {sent_state.version}'
        )
        yield label, _set_folded(state, number, sent_state)


def _write_snapshot(
    state: config.ConfigState,
    number: int,
    mutation: str,
) -> LabelledSteps:
    folded = state.vms[number].folded
    if mutation == config.SNAPSHOT_WITHOUT_PROPOSALS:
        folded = folded._replace(proposals=frozenset())
    if folded.version and state.pending_snapshot is None:
        label = f'VM {number} writes a snapshot of version {folded.version}'
        yield label, state._replace(pending_snapshot=folded)


def _restart(state: config.ConfigState, number: int) -> LabelledSteps:
    vm = state.vms[number]
    if vm.folded.next_offset:
        remaining = state.remaining_events - {config.RESTART}
        next_state = _set_vm(state, number, config.Vm(vm.release))
        yield (
            f'VM {number} starts anew',
            next_state._replace(remaining_events=remaining),
        )


def _append(
    state: config.ConfigState,
    record: config.Record,
) -> config.ConfigState:
    return state._replace(stream=(*state.stream, record))


def _set_folded(
    state: config.ConfigState,
    number: int,
    folded: config.FoldedState,
) -> config.ConfigState:
    vm = state.vms[number]
    has_reverted = vm.has_reverted or folded.version < vm.folded.version
    changed = vm._replace(folded=folded, has_reverted=has_reverted)
    return _set_vm(state, number, changed)


def _set_vm(
    state: config.ConfigState,
    number: int,
    vm: config.Vm,
) -> config.ConfigState:
    before, after = state.vms[:number], state.vms[number + 1 :]
    return state._replace(vms=(*before, vm, *after))
