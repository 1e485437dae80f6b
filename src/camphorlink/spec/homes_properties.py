"""Invariants, witnesses and mutations of submissions at their home."""

from camphorlink.spec import homes
from camphorlink.spec.checking import Mutation, Specification


def _count_started(state: homes.HomesState) -> int:
    return sum(stage in homes.STARTED for stage in state.attempts)


def _no_task_starts_twice(state: homes.HomesState) -> bool:
    return _count_started(state) <= 1


def _non_idempotent_at_most_once(state: homes.HomesState) -> bool:
    return state.attempts.count(homes.DONE) <= 1


def _not_run_is_true(state: homes.HomesState) -> bool:
    return homes.NOT_RUN not in state.reported_outcomes or not _count_started(
        state
    )


def _answer_complete_or_failed(state: homes.HomesState) -> bool:
    return (
        homes.COMPLETE not in state.reported_outcomes
        or homes.DONE in state.attempts
    )


SPECIFICATION = Specification(
    name='homes',
    initial=homes.HomesState(),
    large_initial=homes.HomesState(last_incarnation=4, max_attempts=4),
    steps=homes.list_steps,
    invariants={
        'no_task_starts_twice': _no_task_starts_twice,
        'non_idempotent_at_most_once': _non_idempotent_at_most_once,
        'not_run_is_true': _not_run_is_true,
        'answer_complete_or_failed': _answer_complete_or_failed,
    },
    witnesses={
        'a caller gets a complete answer': lambda state: (
            homes.COMPLETE in state.reported_outcomes
        ),
        'a caller is refused': lambda state: (
            homes.NOT_RUN in state.reported_outcomes
        ),
        'a second try completes': lambda state: (
            homes.COMPLETE in state.reported_outcomes
            and homes.REJECTED in state.attempts
        ),
        'a task runs on after the crash': lambda state: (
            state.incarnation != 1 and homes.RUNNING in state.attempts
        ),
    },
    mutations=(
        Mutation(homes.NO_FLOOR, 'no_task_starts_twice'),
        Mutation(homes.SHARED_FLOOR, 'not_run_is_true'),
        Mutation(homes.NO_TOMBSTONE, 'not_run_is_true'),
        Mutation(homes.FUTURE_NOT_RUN, 'not_run_is_true'),
        Mutation(homes.NO_INCARNATION, 'no_task_starts_twice'),
        Mutation(
            homes.RETRY_AFTER_LOST_CONNECTION, 'non_idempotent_at_most_once'
        ),
        Mutation(homes.START_AWAY_FROM_HOME, 'no_task_starts_twice'),
        Mutation(homes.NOT_RUN_AWAY_FROM_HOME, 'not_run_is_true'),
        Mutation(homes.TIMEOUT_NOT_RUN, 'not_run_is_true'),
    ),
)
