"""What an owner of a cell learns from back ends, and from their silence."""

from collections.abc import Iterator

from camphorlink.spec import cells_states as states

Labelled = Iterator[tuple[str, states.CellsState]]


def list_calls(
    state: states.CellsState,
    term: int,
    number: int,
    mutation: str,
) -> Labelled:
    """Lists a back end's runs to an owner, or stops one; it may be refused."""
    backend = state.backends[number]
    owner = state.owners[term - 1]
    if owner is None:
        return
    if term < backend.term:
        label = f'back end {number} shuts term {term} out'
        yield label, states.set_owner(state, term, None)
        return
    shut = states.set_backend(state, number, backend._replace(term=term))
    yield (
        f'back end {number} lists its runs to term {term}',
        _note_list(shut, term, number, mutation),
    )
    for run in states.runs_at(owner, number):
        yield from _stop(shut, term, number, run)
        if mutation == states.BLIND_RETRY:
            label = f'term {term} gives run {run} up unanswered'
            yield label, states.forget_run(state, term, number, run)


def _stop(
    state: states.CellsState,
    term: int,
    number: int,
    run: int,
) -> Labelled:
    """Stops a run; the answer may be lost."""
    backend = state.backends[number]
    stopped = backend._replace(
        run=0 if backend.run == run else backend.run,
        highest=max(backend.highest, run),
    )
    unanswered = states.set_backend(state, number, stopped)
    label = f'term {term} stops run {run} at back end {number}'
    yield f'{label}, unanswered', unanswered
    # An end that is listed counts, not the stop that came after it.
    if not any(end[0] == run for end in stopped.ends):
        yield label, states.forget_run(unanswered, term, number, run)


def _note_list(
    state: states.CellsState,
    term: int,
    number: int,
    mutation: str,
) -> states.CellsState:
    """Takes runs and ends; what the log holds already is acknowledged."""
    owner = state.owners[term - 1]
    backend = state.backends[number]
    if owner is None:
        return state
    kept = backend.ends - owner.ends
    if states.is_over(owner.ends):
        kept = frozenset()
    fresh = kept - owner.writes
    state = _tell_early(state, fresh, mutation)
    if mutation == states.EARLY_ACK:
        kept -= fresh
    known = _know(owner, number, backend.run, fresh)
    state = states.set_owner(state, term, known)
    acknowledged = backend._replace(ends=kept)
    return states.set_backend(state, number, acknowledged)._replace(
        failures=state.failures + _count_failures(state, backend.ends - kept),
    )


def _count_failures(state: states.CellsState, ends: states.Ends) -> int:
    return sum(
        how == states.FAILED and run not in state.lapsed for run, how in ends
    )


def _tell_early(
    state: states.CellsState,
    fresh: states.Ends,
    mutation: str,
) -> states.CellsState:
    """Says of ends that are not in the log what only the log may say."""
    if mutation == states.EARLY_COMPLETE and states.has_good_end(fresh):
        return states.tell(state, states.COMPLETED)
    is_lost = mutation == states.EARLY_ACK and not fresh <= state.ends
    return state._replace(has_lost_end=state.has_lost_end or is_lost)


def _know(
    owner: states.Owner,
    number: int,
    run: int,
    fresh: states.Ends,
) -> states.Owner:
    """Counts what a back end lists: its run, and ends that are to be stored."""
    over = {(number, ended) for ended, _ in fresh}
    found = {(number, run)} if run else set()
    return owner._replace(
        heard=owner.heard | {number},
        present=(owner.present | found) - over,
        writes=owner.writes | fresh,
    )


def presume(
    state: states.CellsState,
    term: int,
    number: int,
    mutation: str,
) -> Labelled:
    """Takes a silent back end's runs as over, when no order or lease lasts."""
    owner = state.owners[term - 1]
    if owner is None:
        return
    may_run = _may_run(state, term, number, owner)
    if may_run and mutation != states.EARLY_LAPSE:
        return
    left = frozenset(run for run in owner.present if run[0] != number)
    known = owner._replace(heard=owner.heard | {number}, present=left)
    if known != owner:
        label = f'term {term} takes the runs of back end {number} as lapsed'
        yield label, states.set_owner(_lapse(state, number), term, known)


def _may_run(
    state: states.CellsState,
    term: int,
    number: int,
    owner: states.Owner,
) -> bool:
    """Tells whether a run at a silent back end may last.

    The owner asks the log whether a later one exists.  Earlier ones were shut
    out there, or have stopped since the store did not confirm them for long.
    """
    is_shut_out = number in owner.heard or not any(state.owners[: term - 1])
    is_latest = term == len(state.owners)
    is_present = bool(state.backends[number].run)
    return is_present or not is_shut_out or not is_latest


def _lapse(state: states.CellsState, number: int) -> states.CellsState:
    """Lets the time pass after which no order sent before is carried out."""
    unheard = state.backends[number].ends - state.ends
    return state._replace(
        orders=frozenset(
            order for order in state.orders if order.backend != number
        ),
        lapsed=state.lapsed | {run for run, _ in unheard},
    )
