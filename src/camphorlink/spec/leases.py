"""Steps of a transient task under the leases of its coordinator."""

from collections.abc import Iterator

from camphorlink.spec import leases_owners
from camphorlink.spec import leases_states as states

LabelledSteps = Iterator[tuple[str, states.LeasesState]]


def list_steps(state: states.LeasesState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
    if state.status == states.COMPLETED:
        return
    if not _has_urgent_step(state):
        yield 'time passes', _advance(state, mutation)
    yield from _step_contacts(state)
    if state.status == states.ASSIGNED:
        yield from _step_assigned(state, mutation)
    elif state.status == states.MOVED:
        yield (
            'the second cell starts the task',
            state._replace(status=states.RESTARTED),
        )
    yield from _step_backend(state)
    for term, owner in states.list_present_owners(state):
        yield from leases_owners.list_owner_steps(state, term, owner, mutation)


def _has_urgent_step(state: states.LeasesState) -> bool:
    """Returns whether a process acts before any time passes.

    A back end ends its runs with its lease, and an owner that is not paused
    drops the task with the coordinator's lease.
    """
    return (bool(state.runs) and state.lease <= 0) or any(
        not owner.is_paused and owner.lease is not None and owner.lease <= 0
        for _term, owner in states.list_present_owners(state)
    )


def _advance(state: states.LeasesState, mutation: str) -> states.LeasesState:
    bound = state.timing.move_bound(mutation)
    advanced = state._replace(
        owners=tuple(
            owner and _advance_owner(owner, state.timing, mutation)
            for owner in state.owners
        ),
        former_silence=_lengthen(state.former_silence, bound),
        lease=max(state.lease - 1, states.EXPIRED),
        renewal=max(state.renewal - 1, states.EXPIRED),
        start=max(state.start - 1, states.EXPIRED),
    )
    return states.drop_idle_lease(advanced)


def _advance_owner(
    owner: states.Owner, timing: states.Timing, mutation: str
) -> states.Owner:
    latest = timing.stop_confirmation + 1
    stop_age = 0
    if owner.run == states.STOPPING:
        stop_age = min(owner.stop_age + 1, latest)
    contact = owner.contact
    assigned = _expire(contact.assigned, timing.coordinator_lease)
    if mutation == states.LATE_ASSIGNMENT:
        assigned = contact.assigned
    sent = _expire(owner.sent, timing.coordinator_lease)
    return owner._replace(
        sent=sent if owner.is_paused else 0,
        lease=None if owner.lease is None else max(owner.lease - 1, -latest),
        stop_age=stop_age,
        contact=states.Contact(
            silence=_lengthen(contact.silence, timing.move_bound(mutation)),
            granted=_expire(contact.granted, timing.coordinator_lease),
            assigned=assigned,
        ),
    )


def _expire(age: states.Age, limit: int) -> states.Age:
    return None if age is None or age == limit else age + 1


def _lengthen(age: states.Age, limit: int) -> states.Age:
    return None if age is None else min(age + 1, limit)


def _step_contacts(state: states.LeasesState) -> LabelledSteps:
    """Receives frames of owners, each of which the next frame echoes."""
    for term, owner in states.list_present_owners(state):
        if owner.sent is None:
            continue
        contact = _answer(owner.contact, owner.sent, state.status)
        frame = f'a frame of age {owner.sent} from owner {term}'
        yield (
            f'the coordinator receives {frame}',
            states.set_owner(state, term, owner._replace(contact=contact)),
        )


def _answer(contact: states.Contact, age: int, status: str) -> states.Contact:
    """Answers a frame with its echo, and assigns the task again."""
    if status == states.ASSIGNED:
        return states.Contact(silence=0, granted=age, assigned=age)
    return contact._replace(granted=age)


def _step_assigned(state: states.LeasesState, mutation: str) -> LabelledSteps:
    silences = [
        owner.contact.silence
        for _term, owner in states.list_present_owners(state)
    ]
    silences.append(state.former_silence)
    bound = state.timing.move_bound(mutation)
    if all(silence is None or silence >= bound for silence in silences):
        yield 'the coordinator moves the task', _move(state)
    if len(state.owners) == 1:
        successor = states.Owner(has_listed=False)
        yield (
            'owner 2 claims the cell',
            state._replace(owners=(*state.owners, successor)),
        )


def _move(state: states.LeasesState) -> states.LeasesState:
    """Moves the task; the silence of its former owners no longer matters."""
    return state._replace(
        status=states.MOVED,
        owners=tuple(
            owner
            and owner._replace(contact=owner.contact._replace(silence=None))
            for owner in state.owners
        ),
        former_silence=None,
    )


def _step_backend(state: states.LeasesState) -> LabelledSteps:
    if state.start > states.EXPIRED:
        # Until the back end has listed its runs to a new owner, it obeys the
        # former one.
        term = 2 if state.owners[0] is None else 1
        started = state._replace(
            runs=(*state.runs, term),
            lease=max(state.lease, state.start),
            start=states.EXPIRED,
        )
        yield 'the back end starts the task', started
    if state.renewal > state.lease:
        renewed = state._replace(lease=state.renewal, renewal=states.EXPIRED)
        yield 'the back end takes the renewal', renewed
    if state.runs:
        label = 'the run ends'
        if state.lease <= 0:
            label = 'the run ends with the lease of the back end'
        yield label, states.end_runs(state)
