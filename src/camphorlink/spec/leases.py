"""Steps of a transient task under the leases of its coordinator."""

from collections.abc import Iterator

from camphorlink.spec import leases_owners
from camphorlink.spec import leases_states as states

LabelledSteps = Iterator[tuple[str, states.LeasesState]]


def list_steps(state: states.LeasesState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
    if state.is_completed:
        return
    if not _has_urgent_step(state):
        yield 'time passes', _advance(state, mutation)
    yield from _step_coordinator(state, mutation)
    for number, cell in enumerate(state.cells):
        yield from _step_backend(state, number, cell)
        yield from leases_owners.list_owner_steps(state, number, mutation)


def _has_urgent_step(state: states.LeasesState) -> bool:
    """Returns whether a process acts before any time passes.

    A back end ends its runs with its lease, and an owner that is not paused
    stops the task with the coordinator's lease.
    """
    return any(
        (cell.runs and cell.lease <= 0)
        or any(
            owner.has_task and owner.lease <= 0 and not owner.is_paused
            for owner in cell.owners
            if owner is not None
        )
        for cell in state.cells
    )


def _advance(state: states.LeasesState, mutation: str) -> states.LeasesState:
    first, second = state.cells
    # The coordinator does not move the task again, so the silence of the
    # second cell does not matter.
    bound = state.timing.move_bound(mutation)
    first = _advance_cell(first, state.timing, bound, mutation)
    if state.location == states.SECOND_CELL:
        second = _advance_cell(second, state.timing, 0, mutation)
    advanced = states.set_cell(state, states.FIRST_CELL, first)
    return states.set_cell(advanced, states.SECOND_CELL, second)


def _advance_cell(
    cell: states.Cell, timing: states.Timing, bound: int, mutation: str
) -> states.Cell:
    return cell._replace(
        owners=tuple(
            owner and _advance_owner(owner, timing, bound, mutation)
            for owner in cell.owners
        ),
        former_silence=_lengthen(cell.former_silence, bound),
        lease=max(cell.lease - 1, states.EXPIRED),
        renewal=max(cell.renewal - 1, states.EXPIRED),
        start=max(cell.start - 1, states.EXPIRED),
    )


def _advance_owner(
    owner: states.Owner, timing: states.Timing, bound: int, mutation: str
) -> states.Owner:
    sent = _age(owner.sent, timing.coordinator_lease)
    stop_age = 0
    if owner.run == states.STOPPING:
        stop_age = min(owner.stop_age + 1, timing.stop_confirmation + 1)
    contact = owner.contact
    assigned = _age(contact.assigned, timing.coordinator_lease)
    if mutation == states.LATE_ASSIGNMENT and assigned is None:
        assigned = contact.assigned
    return owner._replace(
        sent=sent if owner.is_paused else 0,
        lease=max(owner.lease - 1, states.EXPIRED),
        stop_age=stop_age,
        contact=states.Contact(
            silence=_lengthen(contact.silence, bound),
            granted=_age(contact.granted, timing.coordinator_lease),
            assigned=assigned,
        ),
    )


def _age(age: states.Age, limit: int) -> states.Age:
    return None if age is None or age == limit else age + 1


def _lengthen(silence: int | None, bound: int) -> int | None:
    return None if silence is None else min(silence + 1, bound)


def _step_coordinator(
    state: states.LeasesState, mutation: str
) -> LabelledSteps:
    for number, cell in enumerate(state.cells):
        if number > state.location:
            continue
        for term, owner in enumerate(cell.owners, 1):
            if owner is not None:
                yield from _receive_frames(state, number, term, owner)
    if state.location == states.FIRST_CELL and not state.is_completed:
        yield from _move(state, mutation)
        if len(state.cells[0].owners) == 1:
            first = state.cells[0]
            successor = states.Owner(has_listed=False)
            claimed = first._replace(owners=(*first.owners, successor))
            yield (
                'a new owner claims the first cell',
                states.set_cell(state, 0, claimed),
            )


def _receive_frames(
    state: states.LeasesState, number: int, term: int, owner: states.Owner
) -> LabelledSteps:
    contact = owner.contact
    if owner.sent is None:
        return
    is_assigned = state.location == number and not state.is_completed
    received = states.Contact(
        silence=0 if is_assigned else contact.silence,
        granted=owner.sent,
        assigned=owner.sent if is_assigned else contact.assigned,
    )
    label = (
        f'the coordinator receives a frame of age {owner.sent} '
        f'from owner {term} of cell {number}'
    )
    yield (
        label,
        states.set_owner(state, number, term, owner._replace(contact=received)),
    )


def _move(state: states.LeasesState, mutation: str) -> LabelledSteps:
    first, second = state.cells
    silences = [first.former_silence]
    silences.extend(
        owner.contact.silence for owner in first.owners if owner is not None
    )
    bound = state.timing.move_bound(mutation)
    if any(silence is not None and silence < bound for silence in silences):
        return
    owner = second.owners[0]
    if owner is None:
        return
    assigned = second._replace(owners=(states.assign(owner),))
    moved = state._replace(cells=(first, assigned), location=states.SECOND_CELL)
    yield 'the coordinator moves the task to the second cell', moved


def _step_backend(
    state: states.LeasesState, number: int, cell: states.Cell
) -> LabelledSteps:
    if cell.start > states.EXPIRED:
        started = cell._replace(
            runs=(*cell.runs, len(cell.owners)),
            lease=max(cell.lease, cell.start),
            start=states.EXPIRED,
        )
        label = f'back end {number} starts the task'
        yield label, states.set_cell(state, number, started)
    if cell.renewal > cell.lease:
        renewed = cell._replace(lease=cell.renewal, renewal=states.EXPIRED)
        label = f'back end {number} takes the renewal'
        yield label, states.set_cell(state, number, renewed)
    if cell.runs:
        ended = cell._replace(runs=())
        label = f'a run ends at back end {number}'
        if cell.lease <= 0:
            label = f'the lease of back end {number} ends, and its runs'
        yield label, states.set_cell(state, number, ended)
