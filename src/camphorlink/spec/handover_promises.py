"""What must hold for planned stops, and the faults to be caught."""

from camphorlink.spec import handover
from camphorlink.spec.checking import Mutation, Specification


def _no_task_starts_twice(state: handover.HandoverState) -> bool:
    return state.starts <= 1


def _not_run_is_true(state: handover.HandoverState) -> bool:
    return not (state.was_refused and state.starts)


def _one_owner_or_none(state: handover.HandoverState) -> bool:
    owners = sum(one.is_owner for one in state.successors)
    return owners + (state.phase == handover.SERVING) <= 1


def _has_successor_started(state: handover.HandoverState) -> bool:
    return any(
        one.is_owner and one.entry == handover.RUNNING
        for one in state.successors
    )


def _has_second_successor(state: handover.HandoverState) -> bool:
    is_owned = any(one.is_owner for one in state.successors)
    return is_owned and len(state.tried) > 1


def _has_nobody(state: handover.HandoverState) -> bool:
    return state.phase == handover.GONE and not any(
        one.is_owner for one in state.successors
    )


def _has_handed_answer(state: handover.HandoverState) -> bool:
    return any(
        one.is_owner and one.entry == handover.ANSWERED
        for one in state.successors
    )


SPECIFICATION = Specification(
    name='handover',
    initial=handover.HandoverState(),
    large_initial=handover.HandoverState(restarts_left=2, turns_left=3),
    steps=handover.list_steps,
    invariants={
        'no_task_starts_twice': _no_task_starts_twice,
        'not_run_is_true': _not_run_is_true,
        'one_owner_or_none': _one_owner_or_none,
    },
    witnesses={
        'a successor has the answer': _has_handed_answer,
        'a successor starts what was never seen': _has_successor_started,
        'a second successor owns the table': _has_second_successor,
        'an interrupted stop leaves no owner': _has_nobody,
    },
    mutations=(
        Mutation(handover.NO_SEAL, 'no_task_starts_twice'),
        Mutation(handover.EARLY_COMMIT, 'no_task_starts_twice'),
        Mutation(handover.SECOND_COMMIT, 'one_owner_or_none'),
        Mutation(handover.REOPENED, 'one_owner_or_none'),
        Mutation(handover.ROOM_AGAIN, 'one_owner_or_none'),
        Mutation(handover.BY_ADDRESS, 'no_task_starts_twice'),
        Mutation(handover.NO_TOMBSTONE, 'not_run_is_true'),
    ),
)
