"""Steps of durable tasks: callers, the log, back ends, and their owners."""

from collections.abc import Iterator

from camphorlink.spec import cells_calls
from camphorlink.spec import cells_states as states

Labelled = Iterator[tuple[str, states.CellsState]]


def list_steps(state: states.CellsState, mutation: str) -> Labelled:
    """Lists what may happen next."""
    yield from _accept(state, mutation)
    if len(state.owners) < state.last_term:
        claimed = (*state.owners, states.Owner(ends=state.ends))
        term = len(claimed)
        label = f'the cell is claimed for term {term}'
        yield label, state._replace(owners=claimed)
    for number, backend in enumerate(state.backends):
        yield from _step_backend(state, number, backend)
    for order in sorted(state.orders):
        yield from _carry_out(state, order)
    for term, owner in enumerate(state.owners, 1):
        if owner is not None:
            yield from _step_owner(state, term, owner, mutation)


def _accept(state: states.CellsState, mutation: str) -> Labelled:
    if state.acceptance == states.ABSENT:
        sent = state._replace(acceptance=states.SENT)
        if mutation == states.EARLY_ACCEPT:
            sent = states.tell(sent, states.ACCEPTED)
        yield 'the acceptance is sent to the log', sent
        refused = state._replace(acceptance=states.GONE)
        yield 'the job is refused unsent', states.tell(refused, states.REFUSED)
    elif state.acceptance == states.SENT:
        stored = state._replace(acceptance=states.STORED)
        yield 'the acceptance is stored', states.tell(stored, states.ACCEPTED)
        lost = state._replace(acceptance=states.GONE)
        yield 'the acceptance never reaches the log', lost
        if mutation == states.BLIND_REFUSAL:
            yield (
                'the append is not answered',
                states.tell(state, states.REFUSED),
            )


def _step_backend(
    state: states.CellsState,
    number: int,
    backend: states.Backend,
) -> Labelled:
    if not backend.run:
        return
    highest = max(backend.highest, backend.run)
    lapsed = backend._replace(run=0, highest=highest)
    label = f'run {backend.run} lapses at back end {number}'
    yield label, states.set_backend(state, number, lapsed)
    for how in (states.DONE, states.FAILED):
        ends = backend.ends | {(backend.run, how)}
        ended = lapsed._replace(ends=ends)
        label = f'run {backend.run} is {how} at back end {number}'
        yield label, states.set_backend(state, number, ended)


def _carry_out(state: states.CellsState, order: states.Order) -> Labelled:
    """Starts the task, if the back end obeys the order."""
    backend = state.backends[order.backend]
    if backend.run or not states.obeys(backend, order):
        return
    started = backend._replace(term=order.term, run=order.run)
    # Ends whose lease lapsed before they were acknowledged bind nobody.
    binding = frozenset(end for end in state.ends if end[0] not in state.lapsed)
    has_failed = state.failures >= states.MAX_ATTEMPTS
    is_late = has_failed or states.is_over(binding)
    label = f'run {order.run} starts at back end {order.backend}'
    following = states.set_backend(state, order.backend, started)
    yield (
        label,
        following._replace(
            starts=state.starts + 1,
            has_late_start=state.has_late_start or is_late,
        ),
    )


def _step_owner(
    state: states.CellsState,
    term: int,
    owner: states.Owner,
    mutation: str,
) -> Labelled:
    yield (
        f'the owner of term {term} is lost',
        states.set_owner(state, term, None),
    )
    yield from _read_log(state, term, owner)
    yield from _write_end(state, term, owner, mutation)
    yield from _start(state, term, owner, mutation)
    for number, _ in enumerate(state.backends):
        yield from cells_calls.list_calls(state, term, number, mutation)
        yield from cells_calls.presume(state, term, number, mutation)


def _read_log(
    state: states.CellsState, term: int, owner: states.Owner
) -> Labelled:
    label = f'the owner of term {term} reads the log'
    if term < len(state.owners):
        yield label, states.set_owner(state, term, None)
        return
    # Until an end is read back its task is neither free nor acknowledged.
    is_read = states.is_settled(state, owner.writes)
    read = owner._replace(
        ends=state.ends,
        is_accepted=state.acceptance == states.STORED,
        writes=frozenset() if is_read else owner.writes,
    )
    yield label, states.set_owner(state, term, read)


def _write_end(
    state: states.CellsState,
    term: int,
    owner: states.Owner,
    mutation: str,
) -> Labelled:
    if states.is_settled(state, owner.writes):
        return
    if term == len(state.owners) or mutation == states.ANY_WRITER:
        stored = state._replace(ends=state.ends | owner.writes)
        yield (
            f'the log takes the ends that term {term} appends',
            states.tell_ends(stored),
        )


def _start(
    state: states.CellsState,
    term: int,
    owner: states.Owner,
    mutation: str,
) -> Labelled:
    if not _may_start(state, owner, mutation):
        return
    first = (
        0 if mutation == states.SAME_NUMBERS else term * states.RUNS_PER_TERM
    )
    run = first + owner.runs + 1
    for number in sorted(owner.heard):
        ordered = owner._replace(
            present=frozenset(((number, run),)),
            runs=owner.runs + 1,
        )
        following = states.set_owner(state, term, ordered)
        order = states.Order(term, number, run)
        label = f'term {term} orders run {run} at back end {number}'
        yield label, following._replace(orders=state.orders | {order})


def _may_start(
    state: states.CellsState, owner: states.Owner, mutation: str
) -> bool:
    is_informed = (
        len(owner.heard) == len(state.backends) or mutation == states.NO_RELIST
    )
    is_idle = not owner.present and not owner.writes
    is_due = owner.is_accepted and not states.is_over(owner.ends)
    return is_informed and is_idle and is_due and owner.runs < state.max_runs
