"""Invariants, witnesses and mutations of durable tasks."""

from camphorlink.spec import cells
from camphorlink.spec import cells_states as states
from camphorlink.spec.checking import Mutation, Specification


def _never_two_runs_at_once(state: states.CellsState) -> bool:
    return not all(backend.run for backend in state.backends)


def _no_start_after_its_end(state: states.CellsState) -> bool:
    return not state.has_late_start


def _refused_never_runs(state: states.CellsState) -> bool:
    return states.REFUSED not in state.reported_outcomes or not state.starts


def _accepted_is_stored(state: states.CellsState) -> bool:
    is_reported = states.ACCEPTED in state.reported_outcomes
    return not is_reported or state.acceptance == states.STORED


def _completed_is_stored(state: states.CellsState) -> bool:
    return (
        states.COMPLETED not in state.reported_outcomes
        or states.has_successful_completion(state.completions)
    )


def _failed_is_true(state: states.CellsState) -> bool:
    return (
        states.JOB_FAILED not in state.reported_outcomes
        or states.has_exhausted_attempts(state.completions)
    )


def _acknowledged_completions_are_stored(state: states.CellsState) -> bool:
    return not state.has_lost_completion


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
        'acknowledged_ends_are_stored': _acknowledged_completions_are_stored,
    },
    witnesses={
        'a job completes': lambda state: (
            states.COMPLETED in state.reported_outcomes
        ),
        'a job fails for good': lambda state: (
            states.JOB_FAILED in state.reported_outcomes
        ),
        'a refused job never ran': lambda state: (
            states.REFUSED in state.reported_outcomes
        ),
        'a later owner completes a job': lambda state: (
            states.COMPLETED in state.reported_outcomes
            and state.starts > 1
            and len(state.owners) > 1
        ),
    },
    mutations=(
        Mutation(states.EARLY_ACCEPT, 'accepted_is_stored'),
        Mutation(states.REFUSAL_WITHOUT_ANSWER, 'refused_never_runs'),
        Mutation(states.EARLY_ACK, 'acknowledged_ends_are_stored'),
        Mutation(states.EARLY_COMPLETE, 'completed_is_stored'),
        Mutation(
            states.RETRY_WITHOUT_STOP, 'never_two_runs_at_once', is_deep=True
        ),
        Mutation(states.TAKEOVER_WITHOUT_LISTING, 'never_two_runs_at_once'),
        Mutation(
            states.REUSED_RUN_NUMBERS, 'no_start_after_its_end', is_deep=True
        ),
        Mutation(states.EARLY_LAPSE, 'never_two_runs_at_once'),
        Mutation(states.UNFENCED_APPEND, 'no_start_after_its_end'),
    ),
)
