"""Claims in the platform's log, for keys that callers choose themselves.

One key.  Two entry VMs get copies of its submission, in any number.  An
append may land late, or never, or land while its answer gets lost; a VM
reads the stream as far as it likes; it may give up, crash, and come back as
another incarnation.  The earliest claim in the stream wins.
"""

from collections.abc import Iterator
from typing import NamedTuple

# What an entry VM knows of its own append.
NONE = 'none'
AWAITED = 'awaited'
ACKED = 'acked'
UNSURE = 'unsure'

CLAIMS_KEPT = 2

NOT_RUN = 'not-run'
COMPLETE = 'complete'

NO_READING = 'claim-without-reading-back'
GUESSING = 'lost-append-answer-taken-for-a-failure'
EAGER_CLAIM = 'given-up-claim-starts-when-it-lands'
NO_INCARNATION = 'claim-without-incarnation'
FOLLOWER_START = 'start-without-the-winner'
EARLY_REFUSAL = 'not-run-before-the-claim'


class Claimer(NamedTuple):
    """One entry VM.

    Attributes:
        claimant: Identity that its claims carry.
        is_up: Whether it runs.
        appends_left: Appends that it may still make.
        append: What it knows of its newest append.
        is_wanted: Whether a caller waits for the key here.
        has_read: Whether it has read the first claim in the stream.
        has_started: Whether it remembers to have started the task.
    """

    claimant: int
    is_up: bool = True
    appends_left: int = 2
    append: str = NONE
    is_wanted: bool = False
    has_read: bool = False
    has_started: bool = False


class ClaimsState(NamedTuple):
    """The stream, what is on its way there, and the entry VMs.

    Attributes:
        stream: Claimants in the order of their claims; later ones than the
            second can't matter, since the first wins.
        flying: VM and claimant of each append that may still land.
        claimers: The entry VMs.
        restarts_left: Process starts that may still happen.
        starts: How often the task was started.
        is_stray: Whether it was started with nobody waiting at the time.
        told: Outcomes that callers were told; unknown is left out, since it
            promises nothing.
    """

    stream: tuple[int, ...] = ()
    flying: tuple[tuple[int, int], ...] = ()
    claimers: tuple[Claimer, ...] = (Claimer(1), Claimer(2))
    restarts_left: int = 1
    starts: int = 0
    is_stray: bool = False
    told: frozenset[str] = frozenset()


Labelled = Iterator[tuple[str, ClaimsState]]


def list_steps(state: ClaimsState, mutation: str) -> Labelled:
    """Lists what may happen next."""
    for flight in sorted(set(state.flying)):
        yield from _land(state, flight)
    for vm, claimer in enumerate(state.claimers):
        if claimer.is_up:
            yield from _step_claimer(state, vm, mutation)
        elif state.restarts_left:
            yield _restart(state, vm, mutation)


def _land(state: ClaimsState, flight: tuple[int, int]) -> Labelled:
    vm, claimant = flight
    flying = list(state.flying)
    flying.remove(flight)
    landed = state._replace(
        flying=tuple(flying),
        stream=(*state.stream, claimant)[:CLAIMS_KEPT],
    )
    yield f'a claim of VM {vm} lands, its answer lost', landed
    claimer = state.claimers[vm]
    if claimer.append == AWAITED and claimer.claimant == claimant:
        acked = claimer._replace(append=ACKED)
        yield f'a claim of VM {vm} lands', _put(landed, vm, acked)


def _step_claimer(state: ClaimsState, vm: int, mutation: str) -> Labelled:
    claimer = state.claimers[vm]
    down = Claimer(claimer.claimant, is_up=False, appends_left=0)
    yield f'VM {vm} crashes', _put(state, vm, down)
    if state.stream and not claimer.has_read:
        reader = claimer._replace(has_read=True)
        if mutation == EAGER_CLAIM and state.stream[0] == claimer.claimant:
            started = _start(_put(state, vm, reader), vm)
            yield f'VM {vm} reads its claim and starts', started
        yield f'VM {vm} reads the first claim', _put(state, vm, reader)
    if claimer.is_wanted:
        yield from _pursue(state, vm, mutation)
    else:
        wanted = claimer._replace(is_wanted=True)
        yield f'a caller submits the key to VM {vm}', _put(state, vm, wanted)
    if mutation == EARLY_REFUSAL and claimer.append == NONE:
        yield f'VM {vm} refuses the key', _tell(state, NOT_RUN)


def _pursue(state: ClaimsState, vm: int, mutation: str) -> Labelled:
    claimer = state.claimers[vm]
    idle = claimer._replace(is_wanted=False)
    yield f'VM {vm} gives up: unknown', _put(state, vm, idle)
    if claimer.append == AWAITED:
        yield from _lose_answer(state, vm, mutation)
    if mutation == NO_READING and claimer.append == ACKED:
        yield f'VM {vm} starts the task unread', _start(state, vm)
    if claimer.has_read:
        yield from _obey(state, vm, mutation)
    elif claimer.append == NONE and claimer.appends_left:
        yield f'VM {vm} appends a claim', _append(state, vm)


def _append(state: ClaimsState, vm: int) -> ClaimsState:
    claimer = state.claimers[vm]
    flight = (vm, claimer.claimant)
    awaiting = claimer._replace(
        append=AWAITED,
        appends_left=claimer.appends_left - 1,
    )
    flying = tuple(sorted((*state.flying, flight)))
    return _put(state._replace(flying=flying), vm, awaiting)


def _lose_answer(state: ClaimsState, vm: int, mutation: str) -> Labelled:
    claimer = state.claimers[vm]
    label = f'the answer to the append of VM {vm} is lost'
    if mutation == GUESSING:
        idle = claimer._replace(append=NONE, is_wanted=False)
        yield label, _tell(_put(state, vm, idle), NOT_RUN)
        return
    yield label, _put(state, vm, claimer._replace(append=UNSURE))
    again = claimer._replace(append=NONE, is_wanted=False)
    yield f'{label}; it gives up: unknown', _put(state, vm, again)


def _obey(state: ClaimsState, vm: int, mutation: str) -> Labelled:
    claimer = state.claimers[vm]
    winner = state.stream[0]
    if winner == claimer.claimant:
        if claimer.has_started:
            idle = claimer._replace(is_wanted=False)
            answered = _tell(_put(state, vm, idle), COMPLETE)
            yield f'VM {vm} answers', answered
        else:
            yield f'VM {vm} starts the task', _start(state, vm)
        return
    if mutation == FOLLOWER_START:
        yield f'VM {vm} starts the task, the winner silent', _start(state, vm)
    for other, peer in enumerate(state.claimers):
        if peer.is_up and peer.claimant == winner:
            wanted = _put(state, other, peer._replace(is_wanted=True))
            yield f'VM {vm} forwards to VM {other}', wanted
    idle = claimer._replace(is_wanted=False)
    yield f'VM {vm} has no word of the winner: unknown', _put(state, vm, idle)


def _start(state: ClaimsState, vm: int) -> ClaimsState:
    claimer = state.claimers[vm]
    if claimer.has_started:
        return state
    started = state._replace(
        starts=state.starts + 1,
        is_stray=state.is_stray or not claimer.is_wanted,
    )
    return _put(started, vm, claimer._replace(has_started=True))


def _restart(
    state: ClaimsState,
    vm: int,
    mutation: str,
) -> tuple[str, ClaimsState]:
    old = state.claimers[vm].claimant
    claimant = old if mutation == NO_INCARNATION else old + 2
    fresh = state._replace(restarts_left=state.restarts_left - 1)
    return f'VM {vm} starts again', _put(fresh, vm, Claimer(claimant))


def _put(state: ClaimsState, vm: int, claimer: Claimer) -> ClaimsState:
    before, after = state.claimers[:vm], state.claimers[vm + 1 :]
    return state._replace(claimers=(*before, claimer, *after))


def _tell(state: ClaimsState, outcome: str) -> ClaimsState:
    return state._replace(told=state.told | {outcome})
