"""Invariants, witnesses and mutations of coordinators' leases."""

from camphorlink.spec import leases
from camphorlink.spec import leases_states as states
from camphorlink.spec.checking import Mutation, Specification

_TWICE = 'never_two_runs_at_once'


def _never_two_runs_at_once(state: states.LeasesState) -> bool:
    return sum(len(cell.runs) for cell in state.cells) <= 1


def _no_renewal_without_an_assignment(state: states.LeasesState) -> bool:
    return not state.has_unclaimed_renewal


def _is_adopted_and_reassigned(state: states.LeasesState) -> bool:
    cell = state.cells[states.FIRST_CELL]
    owner = cell.owners[-1]
    return (
        owner is not None
        and len(cell.owners) > 1
        and owner.has_task
        and owner.run == states.RUNNING
        and cell.runs == (1,)
    )


def _outlives_a_lost_stop(state: states.LeasesState) -> bool:
    cell = state.cells[states.FIRST_CELL]
    owner = cell.owners[0]
    return (
        owner is not None
        and owner.run == states.STOPPING
        and owner.stop_age > state.timing.stop_confirmation
        and bool(cell.runs)
        and cell.lease == 0
    )


def _start(timing: states.Timing) -> states.LeasesState:
    assigned = states.Cell(owners=(states.assign(states.Owner()),))
    return states.LeasesState(timing=timing, cells=(assigned, states.Cell()))


SPECIFICATION = Specification(
    name='leases',
    initial=_start(states.Timing()),
    large_initial=_start(states.Timing(coordinator_lease=2, backend_lease=2)),
    steps=leases.list_steps,
    invariants={
        _TWICE: _never_two_runs_at_once,
        'no_renewal_without_an_assignment': _no_renewal_without_an_assignment,
    },
    witnesses={
        'the task completes in the first cell': lambda state: (
            state.is_completed and state.location == states.FIRST_CELL
        ),
        'the task is moved and completes in the second cell': lambda state: (
            state.is_completed and state.location == states.SECOND_CELL
        ),
        'a new owner adopts a run and is assigned its task': (
            _is_adopted_and_reassigned
        ),
        'a stop is lost and the run ends with its lease': (
            _outlives_a_lost_stop
        ),
    },
    mutations=(
        Mutation(states.LEASE_FROM_RECEIPT, _TWICE),
        Mutation(states.MOVE_WITHOUT_BACKEND_LEASE, _TWICE),
        Mutation(states.RENEWAL_WHILE_STOPPING, _TWICE),
        Mutation(
            states.RENEWAL_WITHOUT_ASSIGNMENT,
            'no_renewal_without_an_assignment',
        ),
        Mutation(states.LATE_ASSIGNMENT, _TWICE),
        Mutation(states.UNCHECKED_COMMAND, _TWICE),
    ),
)
