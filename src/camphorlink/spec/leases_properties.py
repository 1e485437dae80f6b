"""Invariant, witnesses and mutations of coordinators' leases."""

from camphorlink.spec import leases
from camphorlink.spec import leases_states as states
from camphorlink.spec.checking import Mutation, Specification

_TWICE = 'never_two_runs_at_once'


def _never_two_runs_at_once(state: states.LeasesState) -> bool:
    elsewhere = 1 if state.status == states.RESTARTED else 0
    return len(state.runs) + elsewhere <= 1


def _is_adopted_and_reassigned(state: states.LeasesState) -> bool:
    return any(
        term == 2
        and owner.has_listed
        and owner.lease is not None
        and owner.run == states.RUNNING
        and state.runs == (1,)
        for term, owner in states.list_present_owners(state)
    )


def _outlives_a_lost_stop(state: states.LeasesState) -> bool:
    return (
        bool(state.runs)
        and state.lease == 0
        and any(
            owner.run == states.STOPPING
            and owner.stop_age > state.timing.stop_confirmation
            for _term, owner in states.list_present_owners(state)
        )
    )


SPECIFICATION = Specification(
    name='leases',
    initial=states.begin(states.Timing()),
    large_initial=states.begin(
        states.Timing(coordinator_lease=2, backend_lease=2)
    ),
    steps=leases.list_steps,
    invariants={_TWICE: _never_two_runs_at_once},
    witnesses={
        'the task completes in the first cell': lambda state: (
            state.status == states.COMPLETED
        ),
        'the task is moved and starts in the second cell': lambda state: (
            state.status == states.RESTARTED
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
        Mutation(states.CONFIRMATION_FROM_NOTICE, _TWICE),
        Mutation(states.RENEWAL_WITHOUT_ASSIGNMENT, _TWICE),
        Mutation(states.LATE_ASSIGNMENT, _TWICE),
        Mutation(states.UNCHECKED_RENEWAL, _TWICE, is_deep=True),
    ),
)
