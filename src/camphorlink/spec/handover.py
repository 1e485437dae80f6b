"""Steps of a planned stop, in which a home hands its table over in parts.

The state covers one submission, whose caller may send any number of copies to
any entry VM.  The home seals its table and sends it to a successor in two
parts, of which the second is the commit.  A successor may refuse the table for
lack of capacity, stop answering, crash, and restart at the same address as
another incarnation.  Any message may arrive late, repeatedly or never.
"""

from collections.abc import Iterator

from camphorlink.spec import handover_states as states

LabelledSteps = Iterator[tuple[str, states.HandoverState]]


def list_steps(state: states.HandoverState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
    if state.phase != states.STOPPED:
        yield 'the home leaves or crashes', state._replace(phase=states.STOPPED)
        yield from _step_home(state, mutation)
        yield from _hand_over_table(state, mutation)
    for vm, _successor in enumerate(state.successors):
        yield from _change_successor(state, vm)
        yield from _deliver_parts(state, vm, mutation)
        yield from _step_owner(state, vm)


def _step_home(state: states.HandoverState, mutation: str) -> LabelledSteps:
    is_open = state.phase == states.SERVING or mutation == states.NO_SEAL
    if state.entry == states.ABSENT and is_open:
        yield 'a copy starts at the home', _start_home(state)
        refused = state._replace(
            entry=states.NOT_RUN, has_reported_not_run=True
        )
        yield 'a copy is refused at the home', refused
    if state.entry == states.RUNNING:
        yield 'the home has the answer', state._replace(entry=states.ANSWERED)
    if state.phase == states.SERVING and state.entry != states.RUNNING:
        yield 'the home seals its table', state._replace(phase=states.SEALED)
    if state.phase == states.COMMITTED and mutation == states.REOPENED:
        yield 'the home opens again', state._replace(phase=states.SERVING)


def _start_home(state: states.HandoverState) -> states.HandoverState:
    return state._replace(entry=states.RUNNING, starts=state.starts + 1)


def _hand_over_table(
    state: states.HandoverState, mutation: str
) -> LabelledSteps:
    if state.phase not in {states.SEALED, states.COMMITTED}:
        return
    if _may_choose_successor(state, mutation):
        for vm, successor in enumerate(state.successors):
            if vm not in state.chosen_vms:
                next_state = _choose_successor(state, vm, successor.incarnation)
                yield f'the home names VM {vm}', next_state
    if state.target_vm >= 0:
        entry = state.entry
        if entry == states.NOT_RUN and mutation == states.NO_TOMBSTONE:
            entry = states.ABSENT
        first_part = states.Part(
            state.target_vm, state.target_incarnation, states.FIRST_PART, entry
        )
        yield (
            'the home sends the first part',
            _send_part(state, first_part),
        )
        if (
            _has_acknowledged_first_part(state)
            or mutation == states.EARLY_COMMIT
        ):
            last_part = states.Part(
                state.target_vm, state.target_incarnation, states.LAST_PART
            )
            committed = _send_part(state, last_part)._replace(
                phase=states.COMMITTED
            )
            yield 'the home sends the commit', committed


def _may_choose_successor(state: states.HandoverState, mutation: str) -> bool:
    """Returns whether the home may offer the table to another successor."""
    if state.phase == states.SEALED or mutation == states.SECOND_SUCCESSOR:
        return True
    return any(
        not reply.is_accepted
        for reply in sorted(state.replies)
        if (reply.vm, reply.incarnation)
        == (state.target_vm, state.target_incarnation)
    )


def _choose_successor(
    state: states.HandoverState, vm: int, incarnation: int
) -> states.HandoverState:
    return state._replace(
        phase=states.SEALED,
        target_vm=vm,
        target_incarnation=incarnation,
        chosen_vms=state.chosen_vms | {vm},
    )


def _has_acknowledged_first_part(state: states.HandoverState) -> bool:
    acked = states.Reply(
        state.target_vm,
        state.target_incarnation,
        states.FIRST_PART,
        is_accepted=True,
    )
    return acked in state.replies


def _send_part(
    state: states.HandoverState, part: states.Part
) -> states.HandoverState:
    return state._replace(sent_parts=state.sent_parts | {part})


def _change_successor(state: states.HandoverState, vm: int) -> LabelledSteps:
    successor = state.successors[vm]
    if state.restarts_left:
        new_successor = states.Successor(incarnation=successor.incarnation + 1)
        restarted = _set_successor(state, vm, new_successor)
        label = f'VM {vm} crashes and starts again'
        yield label, restarted._replace(restarts_left=state.restarts_left - 1)
    if state.capacity_changes_left:
        updated = successor._replace(has_capacity=not successor.has_capacity)
        changed = _set_successor(state, vm, updated)
        label = f'VM {vm} has {"room" if updated.has_capacity else "no room"}'
        yield (
            label,
            changed._replace(
                capacity_changes_left=state.capacity_changes_left - 1
            ),
        )


def _deliver_parts(
    state: states.HandoverState, vm: int, mutation: str
) -> LabelledSteps:
    successor = state.successors[vm]
    for part in sorted(state.sent_parts):
        is_addressee = part.incarnation == successor.incarnation
        if part.vm == vm and (
            is_addressee or mutation == states.NO_INCARNATION
        ):
            label = f'part {part.number} reaches VM {vm}'
            yield label, _receive_part(state, vm, part, mutation)


def _receive_part(
    state: states.HandoverState,
    vm: int,
    part: states.Part,
    mutation: str,
) -> states.HandoverState:
    successor = state.successors[vm]
    is_refusing = (
        successor.has_refused_table and mutation != states.REVERSED_REFUSAL
    )
    is_accepted = successor.is_owner or (
        successor.has_capacity and not is_refusing
    )
    if is_accepted:
        changed = _add_part(successor, part, mutation)
    else:
        changed = successor._replace(has_refused_table=True, parts=frozenset())
    reply = states.Reply(vm, successor.incarnation, part.number, is_accepted)
    next_state = _set_successor(state, vm, changed)
    return next_state._replace(replies=next_state.replies | {reply})


def _add_part(
    successor: states.Successor, part: states.Part, mutation: str
) -> states.Successor:
    if successor.is_owner:
        return successor
    parts = successor.parts | {part}
    numbers = {received.number for received in parts}
    is_complete = numbers == {states.FIRST_PART, states.LAST_PART}
    if mutation == states.EARLY_COMMIT and part.number == states.LAST_PART:
        is_complete = True
    if not is_complete:
        return successor._replace(parts=parts)
    entries = [
        received.entry
        for received in parts
        if received.number == states.FIRST_PART
    ]
    return successor._replace(
        parts=frozenset(),
        is_owner=True,
        entry=entries[0] if entries else states.ABSENT,
    )


def _step_owner(state: states.HandoverState, vm: int) -> LabelledSteps:
    successor = state.successors[vm]
    if not successor.is_owner:
        return
    if successor.entry == states.ABSENT:
        running = _set_successor(
            state, vm, successor._replace(entry=states.RUNNING)
        )
        started = running._replace(starts=state.starts + 1)
        yield f'a copy starts at VM {vm}', started


def _set_successor(
    state: states.HandoverState,
    vm: int,
    successor: states.Successor,
) -> states.HandoverState:
    before, after = state.successors[:vm], state.successors[vm + 1 :]
    return state._replace(successors=(*before, successor, *after))
