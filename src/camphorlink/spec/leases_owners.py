"""Steps of the owners of a cell under the leases of a coordinator."""

from collections.abc import Iterator

from camphorlink.spec import leases_states as states

LabelledSteps = Iterator[tuple[str, states.LeasesState]]
_OwnerSteps = Iterator[tuple[str, states.Owner]]


def list_owner_steps(
    state: states.LeasesState, term: int, owner: states.Owner, mutation: str
) -> LabelledSteps:
    """Lists the steps of the owner of a term."""
    name = f'owner {term}'
    for label, next_owner in _step_alone(state.timing, owner, mutation):
        yield f'{name} {label}', states.set_owner(state, term, next_owner)
    for label, next_state in _step_backend(state, term, owner, mutation):
        yield f'{name} {label}', next_state


def _is_overdue(owner: states.Owner) -> bool:
    """Returns whether the owner has not noticed the end of its lease."""
    return owner.lease is not None and owner.lease < 0


def _step_alone(
    timing: states.Timing, owner: states.Owner, mutation: str
) -> _OwnerSteps:
    """Lists the steps that change the owner alone."""
    if not owner.has_listed:
        return
    if owner.is_paused:
        yield 'resumes', _resume(owner)
        return
    if owner.lease is not None and owner.lease <= 0:
        yield 'drops the task with its lease', _drop(owner, mutation)
    if _is_overdue(owner):
        return
    yield 'pauses', owner._replace(is_paused=True)
    if owner.run == states.RUNNING:
        # A run without an assignment keeps renewals withheld while it stops.
        stop_age = timing.stop_confirmation + 1 if owner.lease is None else 0
        yield 'decides to stop the run', _stop(owner, stop_age)
    yield from _receive(timing, owner, mutation)


def _resume(owner: states.Owner) -> states.Owner:
    return owner._replace(is_paused=False, sent=0)


def _drop(owner: states.Owner, mutation: str) -> states.Owner:
    """Drops the task; its run had to end when the lease did."""
    stop_age = -(owner.lease or 0)
    if mutation == states.CONFIRMATION_FROM_NOTICE:
        stop_age = 0
    return _stop(owner, stop_age)._replace(lease=None)


def _stop(owner: states.Owner, stop_age: int) -> states.Owner:
    if owner.run != states.RUNNING:
        return owner
    return owner._replace(run=states.STOPPING, stop_age=stop_age)


def _receive(
    timing: states.Timing, owner: states.Owner, mutation: str
) -> _OwnerSteps:
    """Receives a frame with a newer echo, or an assignment."""
    full_lease = timing.coordinator_lease
    contact = owner.contact
    if owner.lease is None:
        echo_age = contact.assigned
        if mutation == states.LATE_ASSIGNMENT and echo_age is not None:
            echo_age = contact.granted
        if echo_age is not None:
            yield 'is assigned', owner._replace(lease=full_lease - echo_age)
        return
    echo_age = contact.granted
    if mutation == states.LEASE_FROM_RECEIPT:
        echo_age = 0
    if echo_age is not None and full_lease - echo_age > owner.lease:
        renewed = owner._replace(lease=full_lease - echo_age)
        yield 'receives a frame', renewed


def _step_backend(
    state: states.LeasesState, term: int, owner: states.Owner, mutation: str
) -> LabelledSteps:
    """Lists the steps of the owner at the back end."""
    if not owner.has_listed:
        yield 'lists the runs', _list_first(state)
    elif owner.is_paused:
        if mutation == states.UNCHECKED_RENEWAL and _holds_run(owner):
            resumed = states.set_owner(state, term, _resume(owner))
            yield 'resumes and sends a renewal', _renew(resumed)
    elif not _is_overdue(owner):
        yield from _command(state, term, owner, mutation)


def _holds_run(owner: states.Owner) -> bool:
    return owner.run == states.RUNNING and owner.lease is not None


def _list_first(state: states.LeasesState) -> states.LeasesState:
    """Lists the runs to the new owner, which shuts the former one out."""
    former, successor = state.owners
    if former is None or successor is None:
        return state
    listed = successor._replace(
        has_listed=True, run=states.RUNNING if state.runs else states.IDLE
    )
    shut_out = state._replace(
        owners=(None, listed),
        former_silence=former.contact.silence,
        renewal=states.EXPIRED,
        start=states.EXPIRED,
    )
    return states.drop_idle_lease(shut_out)


def _command(
    state: states.LeasesState, term: int, owner: states.Owner, mutation: str
) -> LabelledSteps:
    if owner.run == states.IDLE:
        if owner.lease is not None:
            yield 'sends a start', _start(state, term, owner)
        return
    if not _is_withheld(state.timing, owner, mutation):
        yield 'sends a renewal', _renew(state)
    idle = owner._replace(run=states.IDLE, stop_age=0)
    if owner.run == states.STOPPING:
        stopped = states.end_runs(state._replace(start=states.EXPIRED))
        yield 'stops the run', states.set_owner(stopped, term, idle)
    elif state.runs:
        if owner.lease is not None and state.status == states.ASSIGNED:
            completed = states.LeasesState(
                timing=state.timing, status=states.COMPLETED
            )
            yield 'reports that the task is done', completed
    elif state.start == states.EXPIRED:
        ended = states.set_owner(state, term, idle)
        yield 'reads that the run has ended', ended


def _start(
    state: states.LeasesState, term: int, owner: states.Owner
) -> states.LeasesState:
    running = owner._replace(run=states.RUNNING)
    started = states.set_owner(state, term, running)
    return started._replace(start=state.timing.backend_lease)


def _renew(state: states.LeasesState) -> states.LeasesState:
    renewed = state._replace(renewal=state.timing.backend_lease)
    return states.drop_idle_lease(renewed)


def _is_withheld(
    timing: states.Timing, owner: states.Owner, mutation: str
) -> bool:
    """Returns whether the owner does not renew the back end's lease."""
    if owner.run == states.STOPPING:
        return (
            owner.stop_age > timing.stop_confirmation
            and mutation != states.RENEWAL_WHILE_STOPPING
        )
    return owner.lease is None and mutation != states.RENEWAL_WITHOUT_ASSIGNMENT
