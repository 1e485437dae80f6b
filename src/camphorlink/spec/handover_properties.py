"""Invariants, witnesses and mutations of planned stops."""

from camphorlink.spec import handover_states as states
from camphorlink.spec.checking import Mutation, Specification
from camphorlink.spec.handover import list_steps


def _no_task_starts_twice(state: states.HandoverState) -> bool:
    return state.starts <= 1


def _not_run_is_true(state: states.HandoverState) -> bool:
    return not (state.has_reported_not_run and state.starts)


def _one_owner_or_none(state: states.HandoverState) -> bool:
    owners = sum(successor.is_owner for successor in state.successors)
    return owners + (state.phase == states.SERVING) <= 1


def _has_successor_started(state: states.HandoverState) -> bool:
    return any(
        successor.is_owner and successor.entry == states.RUNNING
        for successor in state.successors
    )


def _has_second_successor(state: states.HandoverState) -> bool:
    is_owned = any(successor.is_owner for successor in state.successors)
    return is_owned and len(state.chosen_vms) > 1


def _has_no_owner(state: states.HandoverState) -> bool:
    return state.phase == states.STOPPED and not any(
        successor.is_owner for successor in state.successors
    )


def _has_successor_answer(state: states.HandoverState) -> bool:
    return any(
        successor.is_owner and successor.entry == states.ANSWERED
        for successor in state.successors
    )


SPECIFICATION = Specification(
    name='handover',
    initial=states.HandoverState(),
    large_initial=states.HandoverState(
        restarts_left=2, capacity_changes_left=3
    ),
    steps=list_steps,
    invariants={
        'no_task_starts_twice': _no_task_starts_twice,
        'not_run_is_true': _not_run_is_true,
        'one_owner_or_none': _one_owner_or_none,
    },
    witnesses={
        'a successor has the answer': _has_successor_answer,
        'a successor starts what was never seen': _has_successor_started,
        'a second successor owns the table': _has_second_successor,
        'an interrupted stop leaves no owner': _has_no_owner,
    },
    mutations=(
        Mutation(states.NO_SEAL, 'no_task_starts_twice'),
        Mutation(states.EARLY_COMMIT, 'no_task_starts_twice'),
        Mutation(states.SECOND_SUCCESSOR, 'one_owner_or_none'),
        Mutation(states.REOPENED, 'one_owner_or_none'),
        Mutation(states.REVERSED_REFUSAL, 'one_owner_or_none'),
        Mutation(states.NO_INCARNATION, 'no_task_starts_twice'),
        Mutation(states.NO_TOMBSTONE, 'not_run_is_true'),
    ),
)
