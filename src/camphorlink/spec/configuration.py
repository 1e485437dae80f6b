"""The configuration: one stream, folded by VMs of differing age.

Two operators race: each reads a version at some entry VM, proposes its
manifest over it, approves it, and may append any record again because an
answer was lost.  Records expire, entry VMs write snapshots that land late,
give each other their states, start anew with nothing, and one of them runs a
release that lacks the second set of rules.
"""

from collections.abc import Iterator

from camphorlink.spec import configuration_states as config
from camphorlink.spec.configuration_fold import fold

Labelled = Iterator[tuple[str, config.ConfigState]]


def list_steps(state: config.ConfigState, mutation: str) -> Labelled:
    """Lists what may happen next."""
    if len(state.stream) < state.max_records:
        yield from _operate(state)
        yield from _land_snapshot(state)
    if config.EXPIRY in state.events and state.earliest < len(state.stream):
        expired = state._replace(earliest=state.earliest + 1)
        yield f'record {state.earliest} expires', expired
    for number, _vm in enumerate(state.vms):
        yield from _read(state, number, mutation)
        if config.SNAPSHOTS in state.events:
            yield from _write(state, number, mutation)
        if config.PEERS in state.events:
            yield from _exchange(state, number, mutation)
        if config.RESTART in state.events:
            yield from _restart(state, number)


def _operate(state: config.ConfigState) -> Labelled:
    versions = frozenset(vm.folded.version for vm in state.vms)
    for operator, base in enumerate(state.bases):
        if base >= 0:
            approved = config.Record(config.APPROVED, base, operator)
            label = f'operator {operator} approves over version {base}'
            yield label, _append(state, approved)
        for seen in versions:
            if seen > base:
                yield _propose(state, operator, seen)
    if config.NEWER_RULES in state.events:
        rest = state.events - {config.NEWER_RULES}
        for version in versions:
            record = config.Record(config.RULESET, version)
            label = f'the second set of rules, over version {version}'
            yield label, _append(state, record)._replace(events=rest)


def _propose(
    state: config.ConfigState,
    operator: int,
    seen: int,
) -> tuple[str, config.ConfigState]:
    proposed = config.Record(config.PROPOSED, seen, operator)
    before, after = state.bases[:operator], state.bases[operator + 1 :]
    following = _append(state, proposed)._replace(
        bases=(*before, seen, *after),
    )
    return f'operator {operator} proposes over version {seen}', following


def _land_snapshot(state: config.ConfigState) -> Labelled:
    if state.writing is not None:
        landed = _append(
            state, config.Record(config.SNAPSHOT, folded=state.writing)
        )
        label = f'the snapshot of version {state.writing.version} lands'
        yield label, landed._replace(writing=None)


def _read(state: config.ConfigState, number: int, mutation: str) -> Labelled:
    vm = state.vms[number]
    offset = vm.folded.next_offset
    if offset < state.earliest:
        yield from _close_gap(state, number, mutation)
    elif offset < len(state.stream):
        folded = fold(vm.folded, state.stream[offset], vm.release, mutation)
        label = f'VM {number} folds record {offset}'
        yield label, _set_folded(state, number, folded)


def _close_gap(
    state: config.ConfigState, number: int, mutation: str
) -> Labelled:
    vm = state.vms[number]
    if mutation == config.SKIPPED_GAP:
        skipped = vm.folded._replace(next_offset=state.earliest)
        label = f'VM {number} skips to record {state.earliest}'
        yield label, _set_folded(state, number, skipped)
    kept = state.stream[state.earliest :]
    for offset, record in enumerate(kept, state.earliest):
        folded = record.folded
        if folded is None or folded.ruleset > vm.release:
            continue
        label = f'VM {number} takes the snapshot in record {offset}'
        if mutation == config.STALE_SNAPSHOT:
            taken = folded._replace(next_offset=offset)
            yield label, _set_folded(state, number, taken)
        elif folded.next_offset >= state.earliest:
            yield label, _set_folded(state, number, folded)


def _exchange(
    state: config.ConfigState, number: int, mutation: str
) -> Labelled:
    vm = state.vms[number]
    if vm.folded.version and state.carried != vm.folded:
        label = f'VM {number} sends its state, version {vm.folded.version}'
        yield label, state._replace(carried=vm.folded)
    carried = state.carried
    if carried is None or carried.ruleset > vm.release:
        return
    is_ahead = carried.next_offset > vm.folded.next_offset
    if is_ahead or mutation == config.BLIND_PEER:
        label = f'VM {number} takes the state sent, version {carried.version}'
        yield label, _set_folded(state, number, carried)


def _write(
    state: config.ConfigState,
    number: int,
    mutation: str,
) -> Labelled:
    folded = state.vms[number].folded
    if mutation == config.BARE_SNAPSHOT:
        folded = folded._replace(proposals=frozenset())
    if folded.version and state.writing is None:
        label = f'VM {number} writes a snapshot of version {folded.version}'
        yield label, state._replace(writing=folded)


def _restart(state: config.ConfigState, number: int) -> Labelled:
    vm = state.vms[number]
    if vm.folded.next_offset:
        rest = state.events - {config.RESTART}
        fresh = _put(state, number, config.Vm(vm.release))
        yield f'VM {number} starts anew', fresh._replace(events=rest)


def _append(
    state: config.ConfigState,
    record: config.Record,
) -> config.ConfigState:
    return state._replace(stream=(*state.stream, record))


def _set_folded(
    state: config.ConfigState,
    number: int,
    folded: config.Folded,
) -> config.ConfigState:
    vm = state.vms[number]
    has_reverted = vm.has_reverted or folded.version < vm.folded.version
    changed = vm._replace(folded=folded, has_reverted=has_reverted)
    return _put(state, number, changed)


def _put(
    state: config.ConfigState,
    number: int,
    vm: config.Vm,
) -> config.ConfigState:
    before, after = state.vms[:number], state.vms[number + 1 :]
    return state._replace(vms=(*before, vm, *after))
