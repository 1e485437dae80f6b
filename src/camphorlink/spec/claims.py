"""Specification of claims in the log for keys that callers choose.

The state covers one key.  Two entry VMs receive any number of copies of its
submission.  An append may be stored late or never, and its answer may be lost
although it is stored.  A VM may lag behind in reading the stream, stop waiting
for its claim, crash, and restart as another incarnation.  The earliest claim
in the stream wins.
"""

from collections.abc import Iterator
from typing import NamedTuple

# Status of an append, as known to the entry VM that sent it.
NO_APPEND = 'none'
AWAITED = 'awaited'
ACKED = 'acked'
UNCERTAIN = 'unsure'

MAX_CLAIMS = 2

NOT_RUN = 'not-run'
COMPLETE = 'complete'

START_WITHOUT_READING = 'claim-without-reading-back'
LOST_ANSWER_AS_FAILURE = 'lost-append-answer-taken-for-a-failure'
RELEASED_CLAIM_START = 'given-up-claim-starts-when-it-lands'
NO_INCARNATION = 'claim-without-incarnation'
START_WITHOUT_WINNER = 'start-without-the-winner'
EARLY_REFUSAL = 'not-run-before-the-claim'


class Claimer(NamedTuple):
    """State of an entry VM that may claim the key.

    Attributes:
        claimant: Identity in the claims of the VM's current incarnation.
        is_up: Whether the VM is running.
        appends_left: Number of appends that the VM may still send.
        append_status: Status of the VM's latest append.
        is_requested: Whether a caller waits for the key at this VM.
        has_read_claim: Whether the VM has read the first claim in the stream.
        has_started: Whether this incarnation has started the task.
    """

    claimant: int
    is_up: bool = True
    appends_left: int = 2
    append_status: str = NO_APPEND
    is_requested: bool = False
    has_read_claim: bool = False
    has_started: bool = False


class ClaimsState(NamedTuple):
    """State of the stream, the appends in flight and the entry VMs.

    Attributes:
        stream: Claimants in the order of their claims.  At most two are kept:
            later ones have no effect, since the first claim wins.
        in_flight: VM and claimant of each append that may still be stored.
        claimers: Entry VMs.
        restarts_left: Number of restarts that may still occur.
        starts: Number of times that the task was started.
        has_unrequested_start: Whether the task was started while no caller
            waited for it.
        reported_outcomes: Outcomes that were reported to callers, except
            unknown, which asserts nothing.
    """

    stream: tuple[int, ...] = ()
    in_flight: tuple[tuple[int, int], ...] = ()
    claimers: tuple[Claimer, ...] = (Claimer(1), Claimer(2))
    restarts_left: int = 1
    starts: int = 0
    has_unrequested_start: bool = False
    reported_outcomes: frozenset[str] = frozenset()


LabelledSteps = Iterator[tuple[str, ClaimsState]]


def list_steps(state: ClaimsState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
    for in_flight_append in sorted(set(state.in_flight)):
        yield from _store_claim(state, in_flight_append)
    for vm, claimer in enumerate(state.claimers):
        if claimer.is_up:
            yield from _step_claimer(state, vm, mutation)
        elif state.restarts_left:
            yield _restart(state, vm, mutation)


def _store_claim(
    state: ClaimsState, in_flight_append: tuple[int, int]
) -> LabelledSteps:
    """Stores an append in flight, with or without an answer to its VM."""
    vm, claimant = in_flight_append
    in_flight = list(state.in_flight)
    in_flight.remove(in_flight_append)
    next_state = state._replace(
        in_flight=tuple(in_flight),
        stream=(*state.stream, claimant)[:MAX_CLAIMS],
    )
    yield f'a claim of VM {vm} lands, its answer lost', next_state
    claimer = state.claimers[vm]
    if claimer.append_status == AWAITED and claimer.claimant == claimant:
        acked = claimer._replace(append_status=ACKED)
        yield f'a claim of VM {vm} lands', _set_claimer(next_state, vm, acked)


def _step_claimer(state: ClaimsState, vm: int, mutation: str) -> LabelledSteps:
    claimer = state.claimers[vm]
    crashed = Claimer(claimer.claimant, is_up=False, appends_left=0)
    yield f'VM {vm} crashes', _set_claimer(state, vm, crashed)
    if state.stream and not claimer.has_read_claim:
        updated_claimer = claimer._replace(has_read_claim=True)
        if (
            mutation == RELEASED_CLAIM_START
            and state.stream[0] == claimer.claimant
        ):
            started = _start_task(_set_claimer(state, vm, updated_claimer), vm)
            yield f'VM {vm} reads its claim and starts', started
        yield (
            f'VM {vm} reads the first claim',
            _set_claimer(state, vm, updated_claimer),
        )
    if claimer.is_requested:
        yield from _process_request(state, vm, mutation)
    else:
        requested = claimer._replace(is_requested=True)
        yield (
            f'a caller submits the key to VM {vm}',
            _set_claimer(state, vm, requested),
        )
    if mutation == EARLY_REFUSAL and claimer.append_status == NO_APPEND:
        yield f'VM {vm} refuses the key', _report_outcome(state, NOT_RUN)


def _process_request(
    state: ClaimsState, vm: int, mutation: str
) -> LabelledSteps:
    claimer = state.claimers[vm]
    released = claimer._replace(is_requested=False)
    yield f'VM {vm} gives up: unknown', _set_claimer(state, vm, released)
    if claimer.append_status == AWAITED:
        yield from _lose_append_answer(state, vm, mutation)
    if mutation == START_WITHOUT_READING and claimer.append_status == ACKED:
        yield f'VM {vm} starts the task unread', _start_task(state, vm)
    if claimer.has_read_claim:
        yield from _follow_winner(state, vm, mutation)
    elif claimer.append_status == NO_APPEND and claimer.appends_left:
        yield f'VM {vm} appends a claim', _append_claim(state, vm)


def _append_claim(state: ClaimsState, vm: int) -> ClaimsState:
    claimer = state.claimers[vm]
    in_flight_append = (vm, claimer.claimant)
    awaiting = claimer._replace(
        append_status=AWAITED,
        appends_left=claimer.appends_left - 1,
    )
    in_flight = tuple(sorted((*state.in_flight, in_flight_append)))
    return _set_claimer(state._replace(in_flight=in_flight), vm, awaiting)


def _lose_append_answer(
    state: ClaimsState, vm: int, mutation: str
) -> LabelledSteps:
    claimer = state.claimers[vm]
    label = f'the answer to the append of VM {vm} is lost'
    if mutation == LOST_ANSWER_AS_FAILURE:
        refused = claimer._replace(append_status=NO_APPEND, is_requested=False)
        yield label, _report_outcome(_set_claimer(state, vm, refused), NOT_RUN)
        return
    yield (
        label,
        _set_claimer(state, vm, claimer._replace(append_status=UNCERTAIN)),
    )
    released = claimer._replace(append_status=NO_APPEND, is_requested=False)
    yield f'{label}; it gives up: unknown', _set_claimer(state, vm, released)


def _follow_winner(state: ClaimsState, vm: int, mutation: str) -> LabelledSteps:
    """Lists the steps of a VM that has read the winning claim."""
    claimer = state.claimers[vm]
    winner = state.stream[0]
    if winner == claimer.claimant:
        if claimer.has_started:
            released = claimer._replace(is_requested=False)
            answered = _report_outcome(
                _set_claimer(state, vm, released), COMPLETE
            )
            yield f'VM {vm} answers', answered
        else:
            yield f'VM {vm} starts the task', _start_task(state, vm)
        return
    if mutation == START_WITHOUT_WINNER:
        yield (
            f'VM {vm} starts the task, the winner silent',
            _start_task(state, vm),
        )
    for other, peer in enumerate(state.claimers):
        if peer.is_up and peer.claimant == winner:
            next_state = _set_claimer(
                state, other, peer._replace(is_requested=True)
            )
            yield f'VM {vm} forwards to VM {other}', next_state
    released = claimer._replace(is_requested=False)
    yield (
        f'VM {vm} has no word of the winner: unknown',
        _set_claimer(state, vm, released),
    )


def _start_task(state: ClaimsState, vm: int) -> ClaimsState:
    claimer = state.claimers[vm]
    if claimer.has_started:
        return state
    started = state._replace(
        starts=state.starts + 1,
        has_unrequested_start=state.has_unrequested_start
        or not claimer.is_requested,
    )
    return _set_claimer(started, vm, claimer._replace(has_started=True))


def _restart(
    state: ClaimsState,
    vm: int,
    mutation: str,
) -> tuple[str, ClaimsState]:
    old_claimant = state.claimers[vm].claimant
    claimant = old_claimant if mutation == NO_INCARNATION else old_claimant + 2
    next_state = state._replace(restarts_left=state.restarts_left - 1)
    return f'VM {vm} starts again', _set_claimer(
        next_state, vm, Claimer(claimant)
    )


def _set_claimer(state: ClaimsState, vm: int, claimer: Claimer) -> ClaimsState:
    before, after = state.claimers[:vm], state.claimers[vm + 1 :]
    return state._replace(claimers=(*before, claimer, *after))


def _report_outcome(state: ClaimsState, outcome: str) -> ClaimsState:
    return state._replace(reported_outcomes=state.reported_outcomes | {outcome})
