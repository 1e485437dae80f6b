"""Steps of the owners of cells under the leases of a coordinator."""

from collections.abc import Iterator

from camphorlink.spec import leases_states as states

LabelledSteps = Iterator[tuple[str, states.LeasesState]]
_OwnerSteps = Iterator[tuple[str, states.Owner]]


def list_owner_steps(
    state: states.LeasesState, number: int, mutation: str
) -> LabelledSteps:
    """Lists the steps of the owners of a cell."""
    if number > state.location:
        return
    for term, owner in enumerate(state.cells[number].owners, 1):
        if owner is None:
            continue
        name = f'owner {term} of cell {number}'
        for label, next_owner in _step_alone(state, owner, mutation):
            yield (
                f'{name} {label}',
                states.set_owner(state, number, term, next_owner),
            )
        if owner.is_paused:
            yield from _resume(state, term, owner, mutation)
        yield from _step_commands(state, number, term, mutation)


def _may_act(owner: states.Owner) -> bool:
    """Returns whether the owner runs and has noticed the end of its lease."""
    is_overdue = owner.has_task and owner.lease == states.EXPIRED
    return not owner.is_paused and not is_overdue


def _step_alone(
    state: states.LeasesState, owner: states.Owner, mutation: str
) -> _OwnerSteps:
    """Lists the steps that change the owner alone."""
    if owner.is_paused:
        return
    if owner.has_task and owner.lease <= 0:
        stopping = _stop(owner, 0)
        yield (
            'drops the task with its lease',
            stopping._replace(has_task=False, lease=states.EXPIRED),
        )
    if not _may_act(owner):
        return
    if owner.run == states.RUNNING:
        # A run without an assignment keeps renewals withheld while it stops.
        age = 0 if owner.has_task else state.timing.stop_confirmation + 1
        yield 'decides to stop the run', _stop(owner, age)
    yield from _receive(state.timing, owner, mutation)


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
    is_shorter = owner.has_task and owner.lease < full_lease
    if mutation == states.LEASE_FROM_RECEIPT and is_shorter:
        yield 'receives a frame', owner._replace(lease=full_lease)
    age = contact.granted if owner.has_task else contact.assigned
    if mutation == states.LATE_ASSIGNMENT and age is not None:
        age = contact.granted
    if age is not None and full_lease - age > owner.lease:
        label = 'receives a newer echo' if owner.has_task else 'is assigned'
        yield label, owner._replace(has_task=True, lease=full_lease - age)


def _resume(
    state: states.LeasesState, term: int, owner: states.Owner, mutation: str
) -> LabelledSteps:
    resumed = owner._replace(is_paused=False, sent=0)
    next_state = states.set_owner(state, 0, term, resumed)
    name = f'owner {term} of cell 0'
    yield f'{name} resumes', next_state
    if mutation == states.UNCHECKED_COMMAND and owner.has_listed:
        cell = next_state.cells[0]
        lease = state.timing.backend_lease
        if owner.run == states.RUNNING:
            renewed = cell._replace(renewal=lease)
            yield (
                f'{name} resumes and renews',
                states.set_cell(next_state, 0, renewed),
            )
        elif owner.run == states.IDLE and owner.has_task:
            started = states.set_owner(
                next_state, 0, term, resumed._replace(run=states.RUNNING)
            )
            yield (
                f'{name} resumes and starts the task',
                states.set_cell(
                    started, 0, started.cells[0]._replace(start=lease)
                ),
            )


def _step_commands(
    state: states.LeasesState, number: int, term: int, mutation: str
) -> LabelledSteps:
    """Lists the steps of an owner that has checked its lease."""
    owner = state.cells[number].owners[term - 1]
    if owner is None or not _may_act(owner):
        return
    name = f'owner {term} of cell {number}'
    for label, next_state in _command(state, number, term, mutation):
        yield f'{name} {label}', next_state


def _command(
    state: states.LeasesState, number: int, term: int, mutation: str
) -> LabelledSteps:
    cell = state.cells[number]
    owner = cell.owners[term - 1]
    if owner is None:
        return
    if number == states.FIRST_CELL:
        paused = owner._replace(is_paused=True)
        yield 'pauses', states.set_owner(state, number, term, paused)
    if not owner.has_listed:
        yield 'lists the runs', _list_first(state, number)
        return
    if not _is_withheld(state.timing, owner, mutation):
        yield from _renew_or_start(state, number, term, owner)
    if owner.run == states.STOPPING:
        stopped = states.set_cell(
            state, number, cell._replace(runs=(), start=states.EXPIRED)
        )
        yield 'stops the run, unconfirmed', stopped
        idle = owner._replace(run=states.IDLE, stop_age=0)
        yield (
            'stops the run, confirmed',
            states.set_owner(stopped, number, term, idle),
        )
    elif owner.run == states.RUNNING:
        yield from _read_end(state, number, term, owner)


def _list_first(state: states.LeasesState, number: int) -> states.LeasesState:
    """Lists the runs to a new owner, which shuts the former one out."""
    cell = state.cells[number]
    former, owner = cell.owners
    if former is None or owner is None:
        return state
    listed = owner._replace(
        has_listed=True, run=states.RUNNING if cell.runs else states.IDLE
    )
    return states.set_cell(
        state,
        number,
        cell._replace(
            owners=(None, listed),
            former_silence=former.contact.silence,
            renewal=states.EXPIRED,
            start=states.EXPIRED,
        ),
    )


def _is_withheld(
    timing: states.Timing, owner: states.Owner, mutation: str
) -> bool:
    """Returns whether the owner neither renews nor starts."""
    if owner.run == states.STOPPING:
        return (
            owner.stop_age > timing.stop_confirmation
            and mutation != states.RENEWAL_WHILE_STOPPING
        )
    return (
        owner.run == states.RUNNING
        and not owner.has_task
        and mutation != states.RENEWAL_WITHOUT_ASSIGNMENT
    )


def _renew_or_start(
    state: states.LeasesState, number: int, term: int, owner: states.Owner
) -> LabelledSteps:
    cell = state.cells[number]
    lease = state.timing.backend_lease
    if owner.run == states.IDLE:
        if owner.has_task:
            running = owner._replace(run=states.RUNNING)
            started = states.set_owner(state, number, term, running)
            yield (
                'sends a start',
                states.set_cell(
                    started,
                    number,
                    started.cells[number]._replace(start=lease),
                ),
            )
    elif max(cell.renewal, cell.lease) < lease and (
        cell.runs or cell.start > states.EXPIRED
    ):
        is_unclaimed = owner.run == states.RUNNING and not owner.has_task
        renewed = states.set_cell(state, number, cell._replace(renewal=lease))
        yield (
            'sends a renewal',
            renewed._replace(
                has_unclaimed_renewal=state.has_unclaimed_renewal
                or is_unclaimed
            ),
        )


def _read_end(
    state: states.LeasesState, number: int, term: int, owner: states.Owner
) -> LabelledSteps:
    cell = state.cells[number]
    if cell.runs:
        if owner.has_task and number == state.location:
            done = states.set_owner(
                state,
                number,
                term,
                owner._replace(
                    run=states.IDLE, has_task=False, lease=states.EXPIRED
                ),
            )
            done = states.set_cell(
                done, number, done.cells[number]._replace(runs=())
            )
            yield (
                'reports that the run is done',
                done._replace(is_completed=True),
            )
    elif cell.start == states.EXPIRED:
        yield (
            'reads that the run has ended',
            states.set_owner(
                state, number, term, owner._replace(run=states.IDLE)
            ),
        )
