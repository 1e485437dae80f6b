"""Submissions under identifiers that name their home.

One submission of one task.  Its caller, or anyone between, may send any
number of copies, to the home or to another entry VM, at any time and in any
order: what was ever sent may arrive again or never.  The home may crash and
come back as another incarnation, refuse, evict, miss answers of the backend
server, and reach its deadline in any state.
"""

from collections.abc import Iterator
from typing import NamedTuple

# What the home's table holds.
ABSENT = 'absent'
QUEUED = 'queued'
SENT = 'sent'
COMPLETE = 'complete'
UNKNOWN = 'unknown'
NOT_RUN = 'not-run'
ANSWERS = frozenset((COMPLETE, UNKNOWN, NOT_RUN))

# What a try of the task came to at the backend server.
FLYING = 'flying'
RUNNING = 'running'
DONE = 'done'
TURNED_AWAY = 'turned-away'
STARTED = frozenset((RUNNING, DONE))

#: Ticks of the home's clock between which the identifier may start.
FIRST_TICK = 1
LAST_TICK = 2
END_TICK = 3

NO_FLOOR = 'eviction-without-a-window'
ONE_FLOOR = 'one-floor-for-what-ran-and-what-was-refused'
NO_TOMBSTONE = 'refusal-without-a-tombstone'
FUTURE_NOT_RUN = 'early-identifier-refused-as-not-run'
NO_INCARNATION = 'home-without-incarnation'
BLIND_RETRY = 'retry-after-a-lost-connection'
FOREIGN_START = 'start-away-from-home'
FOREIGN_NOT_RUN = 'not-run-away-from-home'
TIMEOUT_NOT_RUN = 'deadline-answered-as-not-run'


class HomesState(NamedTuple):
    """Everything that matters for one submission.

    Attributes:
        tick: Clock of the home.
        incarnation: The one running, 0 while down; 1 issued the identifier.
        next_incarnation: The one that the next process start gets.
        last_incarnation: The search ends with it.
        max_tries: Tries of the task that the home may make.
        entry: What the home's table holds.
        has_floor: Whether the eviction floor has passed the identifier.
        has_ran_floor: Whether the floor of what may have run has passed it.
        tries: What each try came to at the backend server.
        told: Outcomes that some caller was told.
    """

    tick: int = 0
    incarnation: int = 1
    next_incarnation: int = 2
    last_incarnation: int = 2
    max_tries: int = 2
    entry: str = ABSENT
    has_floor: bool = False
    has_ran_floor: bool = False
    tries: tuple[str, ...] = ()
    told: frozenset[str] = frozenset()


Labelled = Iterator[tuple[str, HomesState]]


def list_steps(state: HomesState, mutation: str) -> Labelled:
    """Lists what may happen next."""
    yield from _step_outside(state)
    yield from _arrive_elsewhere(state, mutation)
    if state.incarnation:
        yield from _arrive_home(state, mutation)
        yield from _run(state, mutation)
        yield from _forget(state, mutation)


def _step_outside(state: HomesState) -> Labelled:
    if state.tick < END_TICK:
        yield 'time passes', state._replace(tick=state.tick + 1)
    if state.incarnation:
        crashed = state._replace(
            incarnation=0,
            entry=ABSENT,
            has_floor=False,
            has_ran_floor=False,
        )
        yield 'the home crashes', crashed
    elif state.next_incarnation <= state.last_incarnation:
        yield (
            'the VM starts again',
            state._replace(
                incarnation=state.next_incarnation,
                next_incarnation=state.next_incarnation + 1,
            ),
        )
    for number, stage in enumerate(state.tries):
        for following in _NEXT_STAGES.get(stage, ()):
            label = f'try {number + 1} is {following} at the backend server'
            yield label, _set_try(state, number, following)


_NEXT_STAGES = {FLYING: (RUNNING, TURNED_AWAY), RUNNING: (DONE,)}


def _arrive_elsewhere(state: HomesState, mutation: str) -> Labelled:
    yield 'a copy elsewhere; home unreachable', _tell(state, UNKNOWN)
    if mutation == FOREIGN_NOT_RUN:
        yield 'a copy elsewhere; home unreachable', _tell(state, NOT_RUN)
    if mutation == FOREIGN_START and len(state.tries) < state.max_tries:
        yield 'a copy elsewhere is started there', _send(state)


def _arrive_home(state: HomesState, mutation: str) -> Labelled:
    if state.incarnation > 1 and mutation != NO_INCARNATION:
        yield 'a copy reaches a later incarnation', _tell(state, UNKNOWN)
    elif state.entry in ANSWERS:
        yield 'a copy finds the answer', _tell(state, state.entry)
    elif state.entry == ABSENT:
        yield from _admit(state, mutation)


def _admit(state: HomesState, mutation: str) -> Labelled:
    if state.tick < FIRST_TICK:
        outcome = NOT_RUN if mutation == FUTURE_NOT_RUN else UNKNOWN
        yield 'a copy is too early', _tell(state, outcome)
    elif state.has_floor or state.tick > LAST_TICK:
        outcome = UNKNOWN if state.has_ran_floor else NOT_RUN
        yield 'a copy is too old', _tell(state, outcome)
    else:
        yield 'a copy is admitted', state._replace(entry=QUEUED)
        entry = ABSENT if mutation == NO_TOMBSTONE else NOT_RUN
        refused = _tell(state._replace(entry=entry), NOT_RUN)
        yield 'a copy is refused', refused


def _run(state: HomesState, mutation: str) -> Labelled:
    if state.entry == QUEUED:
        if len(state.tries) < state.max_tries:
            yield 'the home sends the task', _send(state)
        yield 'the deadline passes, nothing sent', _end(state, NOT_RUN)
    elif state.entry == SENT:
        outcome = NOT_RUN if mutation == TIMEOUT_NOT_RUN else UNKNOWN
        yield 'the deadline passes, task sent', _end(state, outcome)
        yield from _hear_backend(state, mutation)


def _hear_backend(state: HomesState, mutation: str) -> Labelled:
    last = state.tries[-1] if state.tries else ''
    if last == DONE:
        yield 'the result arrives', _end(state, COMPLETE)
    if last == TURNED_AWAY:
        yield 'proof arrives: not started', state._replace(entry=QUEUED)
    elif mutation == BLIND_RETRY:
        yield 'the connection is lost', state._replace(entry=QUEUED)
    else:
        yield 'the connection is lost', _end(state, UNKNOWN)


def _forget(state: HomesState, mutation: str) -> Labelled:
    if state.entry in ANSWERS:
        has_run = state.entry != NOT_RUN and mutation != ONE_FLOOR
        evicted = state._replace(
            entry=ABSENT,
            has_floor=mutation != NO_FLOOR,
            has_ran_floor=state.has_ran_floor or has_run,
        )
        yield 'the answer is evicted', evicted


def _send(state: HomesState) -> HomesState:
    return state._replace(entry=SENT, tries=(*state.tries, FLYING))


def _end(state: HomesState, outcome: str) -> HomesState:
    return _tell(state._replace(entry=outcome), outcome)


def _tell(state: HomesState, outcome: str) -> HomesState:
    return state._replace(told=state.told | {outcome})


def _set_try(state: HomesState, number: int, stage: str) -> HomesState:
    before, after = state.tries[:number], state.tries[number + 1 :]
    return state._replace(tries=(*before, stage, *after))
