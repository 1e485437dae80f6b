"""What must hold for durable tasks, and the faults that must be caught."""

from camphorlink.spec import cells
from camphorlink.spec import cells_states as states
from camphorlink.spec.checking import Mutation, Specification


def _never_two_runs_at_once(state: states.CellsState) -> bool:
    return not all(backend.run for backend in state.backends)


def _no_start_after_its_end(state: states.CellsState) -> bool:
    return not state.has_late_start


def _refused_never_runs(state: states.CellsState) -> bool:
    return states.REFUSED not in state.told or not state.starts


def _accepted_is_stored(state: states.CellsState) -> bool:
    is_told = states.ACCEPTED in state.told
    return not is_told or state.acceptance == states.STORED


def _completed_is_stored(state: states.CellsState) -> bool:
    return states.COMPLETED not in state.told or states.has_good_end(state.ends)


def _failed_is_true(state: states.CellsState) -> bool:
    return states.JOB_FAILED not in state.told or states.has_all_failed(
        state.ends
    )


def _acknowledged_ends_are_stored(state: states.CellsState) -> bool:
    return not state.has_lost_end


SPECIFICATION = Specification(
    name='cells',
    initial=states.CellsState(),
    large_initial=states.CellsState(max_runs=2),
    steps=cells.list_steps,
    invariants={
        'never_two_runs_at_once': _never_two_runs_at_once,
        'no_start_after_its_end': _no_start_after_its_end,
        'refused_never_runs': _refused_never_runs,
        'accepted_is_stored': _accepted_is_stored,
        'completed_is_stored': _completed_is_stored,
        'failed_is_true': _failed_is_true,
        'acknowledged_ends_are_stored': _acknowledged_ends_are_stored,
    },
    witnesses={
        'a job completes': lambda state: states.COMPLETED in state.told,
        'a job fails for good': lambda state: states.JOB_FAILED in state.told,
        'a refused job never ran': lambda state: states.REFUSED in state.told,
        'a later owner completes a job': lambda state: (
            states.COMPLETED in state.told
            and state.starts > 1
            and len(state.owners) > 1
        ),
    },
    mutations=(
        Mutation(states.EARLY_ACCEPT, 'accepted_is_stored'),
        Mutation(states.BLIND_REFUSAL, 'refused_never_runs'),
        Mutation(states.EARLY_ACK, 'acknowledged_ends_are_stored'),
        Mutation(states.EARLY_COMPLETE, 'completed_is_stored'),
        Mutation(states.BLIND_RETRY, 'never_two_runs_at_once', is_deep=True),
        Mutation(states.NO_RELIST, 'never_two_runs_at_once'),
        Mutation(states.SAME_NUMBERS, 'no_start_after_its_end', is_deep=True),
        Mutation(states.EARLY_LAPSE, 'never_two_runs_at_once'),
        Mutation(states.ANY_WRITER, 'no_start_after_its_end'),
    ),
)
