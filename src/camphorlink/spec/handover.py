"""Planned stops: a sealed table goes to a successor, in parts.

One submission, whose caller may send any number of copies to any entry VM.
Its home seals its table of two parts, of which the last is the commit, and
hands it to a successor.  A successor may refuse while it has no room, go
silent, crash, and come back at the same address as another incarnation.
What was ever sent may arrive again, late, or never.
"""

from collections.abc import Iterator

from camphorlink.spec import handover_states as states

Labelled = Iterator[tuple[str, states.HandoverState]]


def list_steps(state: states.HandoverState, mutation: str) -> Labelled:
    """Lists what may happen next."""
    if state.phase != states.GONE:
        yield 'the home leaves or crashes', state._replace(phase=states.GONE)
        yield from _serve(state, mutation)
        yield from _give(state, mutation)
    for vm, _successor in enumerate(state.successors):
        yield from _change(state, vm)
        yield from _take(state, vm, mutation)
        yield from _own(state, vm)


def _serve(state: states.HandoverState, mutation: str) -> Labelled:
    is_open = state.phase == states.SERVING or mutation == states.NO_SEAL
    if state.entry == states.ABSENT and is_open:
        yield 'a copy starts at the home', _start_home(state)
        refused = state._replace(entry=states.NOT_RUN, was_refused=True)
        yield 'a copy is refused at the home', refused
    if state.entry == states.RUNNING:
        yield 'the home has the answer', state._replace(entry=states.ANSWERED)
    if state.phase == states.SERVING and state.entry != states.RUNNING:
        yield 'the home seals its table', state._replace(phase=states.SEALED)
    if state.phase == states.COMMITTED and mutation == states.REOPENED:
        yield 'the home opens again', state._replace(phase=states.SERVING)


def _start_home(state: states.HandoverState) -> states.HandoverState:
    return state._replace(entry=states.RUNNING, starts=state.starts + 1)


def _give(state: states.HandoverState, mutation: str) -> Labelled:
    if state.phase not in {states.SEALED, states.COMMITTED}:
        return
    if _may_name(state, mutation):
        for vm, successor in enumerate(state.successors):
            if vm not in state.tried:
                named = _name(state, vm, successor.incarnation)
                yield f'the home names VM {vm}', named
    if state.target >= 0:
        entry = state.entry
        if entry == states.NOT_RUN and mutation == states.NO_TOMBSTONE:
            entry = states.ABSENT
        first = states.Part(
            state.target, state.meant_for, states.FIRST_PART, entry
        )
        yield 'the home sends the first part', _send(state, first)
        if _has_all_acked(state) or mutation == states.EARLY_COMMIT:
            last = states.Part(state.target, state.meant_for, states.LAST_PART)
            committed = _send(state, last)._replace(phase=states.COMMITTED)
            yield 'the home sends the commit', committed


def _may_name(state: states.HandoverState, mutation: str) -> bool:
    if state.phase == states.SEALED or mutation == states.SECOND_COMMIT:
        return True
    return any(
        not reply.is_taken
        for reply in sorted(state.replies)
        if (reply.vm, reply.incarnation) == (state.target, state.meant_for)
    )


def _name(
    state: states.HandoverState, vm: int, incarnation: int
) -> states.HandoverState:
    return state._replace(
        phase=states.SEALED,
        target=vm,
        meant_for=incarnation,
        tried=state.tried | {vm},
    )


def _has_all_acked(state: states.HandoverState) -> bool:
    acked = states.Reply(
        state.target, state.meant_for, states.FIRST_PART, is_taken=True
    )
    return acked in state.replies


def _send(
    state: states.HandoverState, part: states.Part
) -> states.HandoverState:
    return state._replace(sent=state.sent | {part})


def _change(state: states.HandoverState, vm: int) -> Labelled:
    successor = state.successors[vm]
    if state.restarts_left:
        fresh = states.Successor(incarnation=successor.incarnation + 1)
        restarted = _put(state, vm, fresh)
        label = f'VM {vm} crashes and starts again'
        yield label, restarted._replace(restarts_left=state.restarts_left - 1)
    if state.turns_left:
        turned = successor._replace(has_room=not successor.has_room)
        changed = _put(state, vm, turned)
        label = f'VM {vm} has {"room" if turned.has_room else "no room"}'
        yield label, changed._replace(turns_left=state.turns_left - 1)


def _take(state: states.HandoverState, vm: int, mutation: str) -> Labelled:
    successor = state.successors[vm]
    for part in sorted(state.sent):
        is_mine = part.incarnation == successor.incarnation
        if part.vm == vm and (is_mine or mutation == states.BY_ADDRESS):
            label = f'part {part.number} reaches VM {vm}'
            yield label, _hear_part(state, vm, part, mutation)


def _hear_part(
    state: states.HandoverState,
    vm: int,
    part: states.Part,
    mutation: str,
) -> states.HandoverState:
    successor = state.successors[vm]
    is_barred = successor.has_refused and mutation != states.ROOM_AGAIN
    is_taken = successor.is_owner or (successor.has_room and not is_barred)
    if is_taken:
        changed = _add_part(successor, part, mutation)
    else:
        changed = successor._replace(has_refused=True, parts=frozenset())
    reply = states.Reply(vm, successor.incarnation, part.number, is_taken)
    heard = _put(state, vm, changed)
    return heard._replace(replies=heard.replies | {reply})


def _add_part(
    successor: states.Successor, part: states.Part, mutation: str
) -> states.Successor:
    if successor.is_owner:
        return successor
    parts = successor.parts | {part}
    numbers = {one.number for one in parts}
    is_whole = numbers == {states.FIRST_PART, states.LAST_PART}
    if mutation == states.EARLY_COMMIT and part.number == states.LAST_PART:
        is_whole = True
    if not is_whole:
        return successor._replace(parts=parts)
    entries = [one.entry for one in parts if one.number == states.FIRST_PART]
    return successor._replace(
        parts=frozenset(),
        is_owner=True,
        entry=entries[0] if entries else states.ABSENT,
    )


def _own(state: states.HandoverState, vm: int) -> Labelled:
    successor = state.successors[vm]
    if not successor.is_owner:
        return
    if successor.entry == states.ABSENT:
        running = _put(state, vm, successor._replace(entry=states.RUNNING))
        started = running._replace(starts=state.starts + 1)
        yield f'a copy starts at VM {vm}', started


def _put(
    state: states.HandoverState,
    vm: int,
    successor: states.Successor,
) -> states.HandoverState:
    before, after = state.successors[:vm], state.successors[vm + 1 :]
    return state._replace(successors=(*before, successor, *after))
