"""Specification of submissions whose identifiers name their home.

The state covers one submission of one task.  The caller, or a proxy between,
may send any number of copies to the home or to another entry VM, at any time
and in any order.  Any copy may arrive repeatedly or never.  The home may crash
and restart as another incarnation, refuse the submission, evict its answer,
lose answers of the backend server, and reach the deadline in any state.
"""

from collections.abc import Iterator
from typing import NamedTuple

# Status of the submission in the home's table.
ABSENT = 'absent'
QUEUED = 'queued'
SENT = 'sent'
COMPLETE = 'complete'
UNKNOWN = 'unknown'
NOT_RUN = 'not-run'
ANSWERS = frozenset((COMPLETE, UNKNOWN, NOT_RUN))

# Stages of an attempt to run the task on the backend server.
IN_FLIGHT = 'flying'
RUNNING = 'running'
DONE = 'done'
REJECTED = 'turned-away'
STARTED = frozenset((RUNNING, DONE))

#: First and last tick of the home's clock at which the submission may start.
FIRST_TICK = 1
LAST_TICK = 2
END_TICK = 3

NO_FLOOR = 'eviction-without-a-window'
SHARED_FLOOR = 'one-floor-for-what-ran-and-what-was-refused'
NO_TOMBSTONE = 'refusal-without-a-tombstone'
FUTURE_NOT_RUN = 'early-identifier-refused-as-not-run'
NO_INCARNATION = 'home-without-incarnation'
RETRY_AFTER_LOST_CONNECTION = 'retry-after-a-lost-connection'
START_AWAY_FROM_HOME = 'start-away-from-home'
NOT_RUN_AWAY_FROM_HOME = 'not-run-away-from-home'
TIMEOUT_NOT_RUN = 'deadline-answered-as-not-run'


class HomesState(NamedTuple):
    """State of the specification of one submission.

    Attributes:
        tick: Clock of the home, in ticks.
        incarnation: Running incarnation of the home, or 0 while it is down.
            Incarnation 1 issued the identifier.
        next_incarnation: Incarnation after the next restart.
        last_incarnation: Highest incarnation of the search.
        max_attempts: Number of times that the home may send the task.
        entry: Status of the submission in the home's table.
        is_below_floor: Whether the eviction floor is above the identifier.
        is_below_started_floor: Whether the eviction floor of submissions that
            may have run is above the identifier.
        attempts: Stage of each attempt on the backend server.
        reported_outcomes: Outcomes that were reported to a caller.
    """

    tick: int = 0
    incarnation: int = 1
    next_incarnation: int = 2
    last_incarnation: int = 2
    max_attempts: int = 2
    entry: str = ABSENT
    is_below_floor: bool = False
    is_below_started_floor: bool = False
    attempts: tuple[str, ...] = ()
    reported_outcomes: frozenset[str] = frozenset()


LabelledSteps = Iterator[tuple[str, HomesState]]


def list_steps(state: HomesState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
    yield from _step_environment(state)
    yield from _receive_elsewhere(state, mutation)
    if state.incarnation:
        yield from _receive_at_home(state, mutation)
        yield from _process_entry(state, mutation)
        yield from _evict_answer(state, mutation)


def _step_environment(state: HomesState) -> LabelledSteps:
    if state.tick < END_TICK:
        yield 'time passes', state._replace(tick=state.tick + 1)
    if state.incarnation:
        crashed = state._replace(
            incarnation=0,
            entry=ABSENT,
            is_below_floor=False,
            is_below_started_floor=False,
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
    for number, stage in enumerate(state.attempts):
        for next_stage in _NEXT_STAGES.get(stage, ()):
            label = f'try {number + 1} is {next_stage} at the backend server'
            yield label, _set_attempt(state, number, next_stage)


_NEXT_STAGES = {IN_FLIGHT: (RUNNING, REJECTED), RUNNING: (DONE,)}


def _receive_elsewhere(state: HomesState, mutation: str) -> LabelledSteps:
    """Lists the steps of a VM that receives a copy but is not its home."""
    yield 'a copy elsewhere; home unreachable', _report_outcome(state, UNKNOWN)
    if mutation == NOT_RUN_AWAY_FROM_HOME:
        yield (
            'a copy elsewhere; home unreachable',
            _report_outcome(state, NOT_RUN),
        )
    if (
        mutation == START_AWAY_FROM_HOME
        and len(state.attempts) < state.max_attempts
    ):
        yield 'a copy elsewhere is started there', _send_task(state)


def _receive_at_home(state: HomesState, mutation: str) -> LabelledSteps:
    if state.incarnation > 1 and mutation != NO_INCARNATION:
        yield (
            'a copy reaches a later incarnation',
            _report_outcome(state, UNKNOWN),
        )
    elif state.entry in ANSWERS:
        yield 'a copy finds the answer', _report_outcome(state, state.entry)
    elif state.entry == ABSENT:
        yield from _admit(state, mutation)


def _admit(state: HomesState, mutation: str) -> LabelledSteps:
    if state.tick < FIRST_TICK:
        outcome = NOT_RUN if mutation == FUTURE_NOT_RUN else UNKNOWN
        yield 'a copy is too early', _report_outcome(state, outcome)
    elif state.is_below_floor or state.tick > LAST_TICK:
        outcome = UNKNOWN if state.is_below_started_floor else NOT_RUN
        yield 'a copy is too old', _report_outcome(state, outcome)
    else:
        yield 'a copy is admitted', state._replace(entry=QUEUED)
        entry = ABSENT if mutation == NO_TOMBSTONE else NOT_RUN
        refused = _report_outcome(state._replace(entry=entry), NOT_RUN)
        yield 'a copy is refused', refused


def _process_entry(state: HomesState, mutation: str) -> LabelledSteps:
    if state.entry == QUEUED:
        if len(state.attempts) < state.max_attempts:
            yield 'the home sends the task', _send_task(state)
        yield (
            'the deadline passes, nothing sent',
            _answer_submission(state, NOT_RUN),
        )
    elif state.entry == SENT:
        outcome = NOT_RUN if mutation == TIMEOUT_NOT_RUN else UNKNOWN
        yield (
            'the deadline passes, task sent',
            _answer_submission(state, outcome),
        )
        yield from _receive_backend_answer(state, mutation)


def _receive_backend_answer(state: HomesState, mutation: str) -> LabelledSteps:
    last = state.attempts[-1] if state.attempts else ''
    if last == DONE:
        yield 'the result arrives', _answer_submission(state, COMPLETE)
    if last == REJECTED:
        yield 'proof arrives: not started', state._replace(entry=QUEUED)
    elif mutation == RETRY_AFTER_LOST_CONNECTION:
        yield 'the connection is lost', state._replace(entry=QUEUED)
    else:
        yield 'the connection is lost', _answer_submission(state, UNKNOWN)


def _evict_answer(state: HomesState, mutation: str) -> LabelledSteps:
    if state.entry in ANSWERS:
        has_run = state.entry != NOT_RUN and mutation != SHARED_FLOOR
        evicted = state._replace(
            entry=ABSENT,
            is_below_floor=mutation != NO_FLOOR,
            is_below_started_floor=state.is_below_started_floor or has_run,
        )
        yield 'the answer is evicted', evicted


def _send_task(state: HomesState) -> HomesState:
    return state._replace(entry=SENT, attempts=(*state.attempts, IN_FLIGHT))


def _answer_submission(state: HomesState, outcome: str) -> HomesState:
    return _report_outcome(state._replace(entry=outcome), outcome)


def _report_outcome(state: HomesState, outcome: str) -> HomesState:
    return state._replace(reported_outcomes=state.reported_outcomes | {outcome})


def _set_attempt(state: HomesState, number: int, stage: str) -> HomesState:
    before, after = state.attempts[:number], state.attempts[number + 1 :]
    return state._replace(attempts=(*before, stage, *after))
