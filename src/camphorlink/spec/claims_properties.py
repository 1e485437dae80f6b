"""Invariants, witnesses and mutations of claims."""

from camphorlink.spec import claims
from camphorlink.spec.checking import Mutation, Specification

_ONE_APPEND = (
    claims.Claimer(1, appends_left=1),
    claims.Claimer(2, appends_left=1),
)


def _no_task_starts_twice(state: claims.ClaimsState) -> bool:
    return state.starts <= 1


def _not_run_is_true(state: claims.ClaimsState) -> bool:
    return claims.NOT_RUN not in state.reported_outcomes or not state.starts


def _answer_complete_or_failed(state: claims.ClaimsState) -> bool:
    return claims.COMPLETE not in state.reported_outcomes or state.starts > 0


def _released_claim_does_not_start(state: claims.ClaimsState) -> bool:
    return not state.has_unrequested_start


def _has_late_claim(state: claims.ClaimsState) -> bool:
    was_released = any(
        not claimer.is_requested and claimer.claimant == state.stream[0]
        for claimer in state.claimers
        if state.stream and not claimer.has_started
    )
    return was_released and not state.starts


def _has_two_claims(state: claims.ClaimsState) -> bool:
    return (
        len(set(state.stream)) > 1
        and claims.COMPLETE in state.reported_outcomes
    )


def _has_dead_winner(state: claims.ClaimsState) -> bool:
    return (
        state.starts == 1
        and not state.restarts_left
        and all(not claimer.has_started for claimer in state.claimers)
    )


SPECIFICATION = Specification(
    name='claims',
    initial=claims.ClaimsState(claimers=_ONE_APPEND),
    large_initial=claims.ClaimsState(),
    steps=claims.list_steps,
    invariants={
        'no_task_starts_twice': _no_task_starts_twice,
        'not_run_is_true': _not_run_is_true,
        'answer_complete_or_failed': _answer_complete_or_failed,
        'given_up_does_not_start': _released_claim_does_not_start,
    },
    witnesses={
        'a caller gets a complete answer': lambda state: (
            claims.COMPLETE in state.reported_outcomes
        ),
        'a claim lands after it was given up': _has_late_claim,
        'two claimers race and one completes': _has_two_claims,
        'the winner dies after the start': _has_dead_winner,
    },
    mutations=(
        Mutation(claims.START_WITHOUT_READING, 'no_task_starts_twice'),
        Mutation(claims.LOST_ANSWER_AS_FAILURE, 'not_run_is_true'),
        Mutation(claims.RELEASED_CLAIM_START, 'given_up_does_not_start'),
        Mutation(claims.NO_INCARNATION, 'no_task_starts_twice'),
        Mutation(claims.START_WITHOUT_WINNER, 'no_task_starts_twice'),
        Mutation(claims.EARLY_REFUSAL, 'not_run_is_true'),
    ),
)
