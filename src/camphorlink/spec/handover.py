"""Planned stops: a sealed table goes to a successor, in parts.

One submission, whose caller may send any number of copies to any entry VM.
Its home seals its table of two parts, of which the last is the commit, and
hands it to a successor.  A successor may refuse while it has no room, go
silent, crash, and come back at the same address as another incarnation.
What was ever sent may arrive again, late, or never.
"""

from collections.abc import Iterator
from typing import NamedTuple

# What a table holds of the submission.
ABSENT = 'absent'
RUNNING = 'running'
ANSWERED = 'answered'
NOT_RUN = 'not-run'

# What the home does.
SERVING = 'serving'
SEALED = 'sealed'
COMMITTED = 'committed'
GONE = 'gone'

#: Parts of the table; the entry is in the first, the last is the commit.
FIRST_PART = 0
LAST_PART = 1

NO_SEAL = 'successor-without-a-seal'
EARLY_COMMIT = 'commit-before-all-parts'
SECOND_COMMIT = 'second-successor-after-an-unanswered-commit'
REOPENED = 'home-opens-again-after-the-commit'
ROOM_AGAIN = 'refusal-of-a-table-not-final'
BY_ADDRESS = 'parts-addressed-without-incarnation'
NO_TOMBSTONE = 'refusals-not-handed-over'


class Part(NamedTuple):
    """A part of the table on its way.

    Attributes:
        vm: VM of the successor.
        incarnation: Process that it is meant for.
        number: Position of the part.
        entry: The entry, in the first part.
    """

    vm: int
    incarnation: int
    number: int
    entry: str = ABSENT


class Reply(NamedTuple):
    """What a successor says of a part.

    Attributes:
        vm: Its VM.
        incarnation: The process that speaks.
        number: Position of the part.
        is_taken: Whether it was taken, or the table refused.
    """

    vm: int
    incarnation: int
    number: int
    is_taken: bool


class Successor(NamedTuple):
    """An entry VM that may take the table over.

    Attributes:
        incarnation: Number of its process start.
        has_room: Whether it takes tables at this time.
        has_refused: Whether it remembers to have refused this table.
        parts: Parts that it holds.
        is_owner: Whether it owns the table.
        entry: What its table holds of the submission.
    """

    incarnation: int = 1
    has_room: bool = True
    has_refused: bool = False
    parts: frozenset[Part] = frozenset()
    is_owner: bool = False
    entry: str = ABSENT


class HandoverState(NamedTuple):
    """The home, its successors and what is on its way.

    Attributes:
        phase: What the home does.
        entry: What its table holds of the submission.
        target: VM of the successor that it has named, or -1.
        meant_for: Incarnation of it that the home knows.
        tried: VMs that were named.
        sent: Parts that were ever sent.
        replies: Replies that were ever sent.
        successors: The other entry VMs.
        restarts_left: Process starts that may still happen.
        turns_left: Times that a successor's room may still change.
        starts: How often the submission was started.
        was_refused: Whether some caller was told that it was not run.
    """

    phase: str = SERVING
    entry: str = ABSENT
    target: int = -1
    meant_for: int = 0
    tried: frozenset[int] = frozenset()
    sent: frozenset[Part] = frozenset()
    replies: frozenset[Reply] = frozenset()
    successors: tuple[Successor, ...] = (Successor(), Successor())
    restarts_left: int = 1
    turns_left: int = 2
    starts: int = 0
    was_refused: bool = False


Labelled = Iterator[tuple[str, HandoverState]]


def list_steps(state: HandoverState, mutation: str) -> Labelled:
    """Lists what may happen next."""
    if state.phase != GONE:
        yield 'the home leaves or crashes', state._replace(phase=GONE)
        yield from _serve(state, mutation)
        yield from _give(state, mutation)
    for vm, _successor in enumerate(state.successors):
        yield from _change(state, vm)
        yield from _take(state, vm, mutation)
        yield from _own(state, vm)


def _serve(state: HandoverState, mutation: str) -> Labelled:
    is_open = state.phase == SERVING or mutation == NO_SEAL
    if state.entry == ABSENT and is_open:
        yield 'a copy starts at the home', _start_home(state)
        refused = state._replace(entry=NOT_RUN, was_refused=True)
        yield 'a copy is refused at the home', refused
    if state.entry == RUNNING:
        yield 'the home has the answer', state._replace(entry=ANSWERED)
    if state.phase == SERVING and state.entry != RUNNING:
        yield 'the home seals its table', state._replace(phase=SEALED)
    if state.phase == COMMITTED and mutation == REOPENED:
        yield 'the home opens again', state._replace(phase=SERVING)


def _start_home(state: HandoverState) -> HandoverState:
    return state._replace(entry=RUNNING, starts=state.starts + 1)


def _give(state: HandoverState, mutation: str) -> Labelled:
    if state.phase not in {SEALED, COMMITTED}:
        return
    if _may_name(state, mutation):
        for vm, successor in enumerate(state.successors):
            if vm not in state.tried:
                named = _name(state, vm, successor.incarnation)
                yield f'the home names VM {vm}', named
    if state.target >= 0:
        entry = state.entry
        if entry == NOT_RUN and mutation == NO_TOMBSTONE:
            entry = ABSENT
        first = Part(state.target, state.meant_for, FIRST_PART, entry)
        yield 'the home sends the first part', _send(state, first)
        if _has_all_acked(state) or mutation == EARLY_COMMIT:
            last = Part(state.target, state.meant_for, LAST_PART)
            committed = _send(state, last)._replace(phase=COMMITTED)
            yield 'the home sends the commit', committed


def _may_name(state: HandoverState, mutation: str) -> bool:
    if state.phase == SEALED or mutation == SECOND_COMMIT:
        return True
    return any(
        not reply.is_taken
        for reply in state.replies
        if (reply.vm, reply.incarnation) == (state.target, state.meant_for)
    )


def _name(state: HandoverState, vm: int, incarnation: int) -> HandoverState:
    return state._replace(
        phase=SEALED,
        target=vm,
        meant_for=incarnation,
        tried=state.tried | {vm},
    )


def _has_all_acked(state: HandoverState) -> bool:
    acked = Reply(state.target, state.meant_for, FIRST_PART, is_taken=True)
    return acked in state.replies


def _send(state: HandoverState, part: Part) -> HandoverState:
    return state._replace(sent=state.sent | {part})


def _change(state: HandoverState, vm: int) -> Labelled:
    successor = state.successors[vm]
    if state.restarts_left:
        fresh = Successor(incarnation=successor.incarnation + 1)
        restarted = _put(state, vm, fresh)
        label = f'VM {vm} crashes and starts again'
        yield label, restarted._replace(restarts_left=state.restarts_left - 1)
    if state.turns_left:
        turned = successor._replace(has_room=not successor.has_room)
        changed = _put(state, vm, turned)
        label = f'VM {vm} has {"room" if turned.has_room else "no room"}'
        yield label, changed._replace(turns_left=state.turns_left - 1)


def _take(state: HandoverState, vm: int, mutation: str) -> Labelled:
    successor = state.successors[vm]
    for part in state.sent:
        is_mine = part.incarnation == successor.incarnation
        if part.vm == vm and (is_mine or mutation == BY_ADDRESS):
            label = f'part {part.number} reaches VM {vm}'
            yield label, _hear_part(state, vm, part, mutation)


def _hear_part(
    state: HandoverState,
    vm: int,
    part: Part,
    mutation: str,
) -> HandoverState:
    successor = state.successors[vm]
    is_barred = successor.has_refused and mutation != ROOM_AGAIN
    is_taken = successor.is_owner or (successor.has_room and not is_barred)
    if is_taken:
        changed = _add_part(successor, part, mutation)
    else:
        changed = successor._replace(has_refused=True, parts=frozenset())
    reply = Reply(vm, successor.incarnation, part.number, is_taken)
    heard = _put(state, vm, changed)
    return heard._replace(replies=heard.replies | {reply})


def _add_part(successor: Successor, part: Part, mutation: str) -> Successor:
    if successor.is_owner:
        return successor
    parts = successor.parts | {part}
    numbers = {one.number for one in parts}
    is_whole = numbers == {FIRST_PART, LAST_PART}
    if mutation == EARLY_COMMIT and part.number == LAST_PART:
        is_whole = True
    if not is_whole:
        return successor._replace(parts=parts)
    entries = [one.entry for one in parts if one.number == FIRST_PART]
    return successor._replace(
        parts=frozenset(),
        is_owner=True,
        entry=entries[0] if entries else ABSENT,
    )


def _own(state: HandoverState, vm: int) -> Labelled:
    successor = state.successors[vm]
    if not successor.is_owner:
        return
    if successor.entry == ABSENT:
        running = _put(state, vm, successor._replace(entry=RUNNING))
        started = running._replace(starts=state.starts + 1)
        yield f'a copy starts at VM {vm}', started


def _put(
    state: HandoverState,
    vm: int,
    successor: Successor,
) -> HandoverState:
    before, after = state.successors[:vm], state.successors[vm + 1 :]
    return state._replace(successors=(*before, successor, *after))
