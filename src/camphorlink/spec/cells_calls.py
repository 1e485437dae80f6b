"""Calls of a cell owner to a back end, and back ends that do not answer."""

from collections.abc import Iterator

from camphorlink.spec import cells_states as states

LabelledSteps = Iterator[tuple[str, states.CellsState]]


def list_call_steps(
    state: states.CellsState,
    term: int,
    number: int,
    mutation: str,
) -> LabelledSteps:
    """Lists the steps in which an owner calls a back end.

    The owner lists the runs of the back end or stops one of them.  The back
    end rejects the call if it has seen a higher term.
    """
    backend = state.backends[number]
    owner = state.owners[term - 1]
    if owner is None:
        return
    if term < backend.term:
        label = f'back end {number} shuts term {term} out'
        yield label, states.set_owner(state, term, None)
        return
    fenced_state = states.set_backend(
        state, number, backend._replace(term=term)
    )
    yield (
        f'back end {number} lists its runs to term {term}',
        _process_run_list(fenced_state, term, number, mutation),
    )
    for run in states.list_runs_at(owner, number):
        yield from _stop_run(fenced_state, term, number, run)
        if mutation == states.RETRY_WITHOUT_STOP:
            label = f'term {term} gives run {run} up unanswered'
            yield label, states.remove_run(state, term, number, run)


def _stop_run(
    state: states.CellsState,
    term: int,
    number: int,
    run: int,
) -> LabelledSteps:
    """Stops a run; the owner may not receive the answer."""
    backend = state.backends[number]
    stopped = backend._replace(
        run=0 if backend.run == run else backend.run,
        highest_ended_run=max(backend.highest_ended_run, run),
    )
    unanswered = states.set_backend(state, number, stopped)
    label = f'term {term} stops run {run} at back end {number}'
    yield f'{label}, unanswered', unanswered
    # A listed completion takes precedence over a later stop.
    if not any(completion[0] == run for completion in stopped.completions):
        yield label, states.remove_run(unanswered, term, number, run)


def _process_run_list(
    state: states.CellsState,
    term: int,
    number: int,
    mutation: str,
) -> states.CellsState:
    """Processes the runs and completions that a back end lists.

    Completions that the owner has read in the log are acknowledged, and all
    completions once the task is decided.  The others are to be stored.
    """
    owner = state.owners[term - 1]
    backend = state.backends[number]
    if owner is None:
        return state
    unacknowledged = backend.completions - owner.completions
    if states.is_decided(owner.completions):
        unacknowledged = frozenset()
    new_completions = unacknowledged - owner.pending_completions
    state = _apply_early_mutations(state, new_completions, mutation)
    if mutation == states.EARLY_ACK:
        unacknowledged -= new_completions
    updated_owner = _record_run_list(
        owner, number, backend.run, new_completions
    )
    state = states.set_owner(state, term, updated_owner)
    acknowledged = backend._replace(completions=unacknowledged)
    return states.set_backend(state, number, acknowledged)._replace(
        acknowledged_failures=state.acknowledged_failures
        + _count_failures(state, backend.completions - unacknowledged),
    )


def _count_failures(
    state: states.CellsState, completions: states.Completions
) -> int:
    return sum(
        outcome == states.FAILED and run not in state.lapsed_runs
        for run, outcome in completions
    )


def _apply_early_mutations(
    state: states.CellsState,
    new_completions: states.Completions,
    mutation: str,
) -> states.CellsState:
    """Reports or acknowledges completions before the log holds them.

    Does nothing without one of the two mutations for it.
    """
    if mutation == states.EARLY_COMPLETE and states.has_successful_completion(
        new_completions
    ):
        return states.report_outcome(state, states.COMPLETED)
    is_lost = (
        mutation == states.EARLY_ACK
        and not new_completions <= state.completions
    )
    return state._replace(
        has_lost_completion=state.has_lost_completion or is_lost
    )


def _record_run_list(
    owner: states.Owner,
    number: int,
    run: int,
    new_completions: states.Completions,
) -> states.Owner:
    """Records the present run of a back end and its new completions."""
    ended_runs = {(number, ended) for ended, _ in new_completions}
    running = {(number, run)} if run else set()
    return owner._replace(
        listed_backends=owner.listed_backends | {number},
        present_runs=(owner.present_runs | running) - ended_runs,
        pending_completions=owner.pending_completions | new_completions,
    )


def assume_lapsed(
    state: states.CellsState,
    term: int,
    number: int,
    mutation: str,
) -> LabelledSteps:
    """Lists the step in which an owner assumes that silent runs have lapsed.

    The owner removes the runs of a back end that does not answer, once no
    start command and no lease for that back end can still be valid.
    """
    owner = state.owners[term - 1]
    if owner is None:
        return
    may_run = _may_run(state, term, number, owner)
    if may_run and mutation != states.EARLY_LAPSE:
        return
    remaining_runs = frozenset(
        run for run in owner.present_runs if run[0] != number
    )
    updated_owner = owner._replace(
        listed_backends=owner.listed_backends | {number},
        present_runs=remaining_runs,
    )
    if updated_owner != owner:
        label = f'term {term} takes the runs of back end {number} as lapsed'
        yield (
            label,
            states.set_owner(
                _expire_commands(state, number), term, updated_owner
            ),
        )


def _may_run(
    state: states.CellsState,
    term: int,
    number: int,
    owner: states.Owner,
) -> bool:
    """Returns whether a silent back end may still run the task.

    The owner checks the log for a later owner.  Earlier owners were fenced at
    this back end, or have stopped because the store did not confirm their
    ownership for too long.
    """
    is_fenced = number in owner.listed_backends or not any(
        state.owners[: term - 1]
    )
    is_latest = term == len(state.owners)
    is_present = bool(state.backends[number].run)
    return is_present or not is_fenced or not is_latest


def _expire_commands(
    state: states.CellsState, number: int
) -> states.CellsState:
    """Advances the time until all commands to a back end have expired.

    Runs whose completion is not yet in the log then count as lapsed.
    """
    unstored = state.backends[number].completions - state.completions
    return state._replace(
        commands=frozenset(
            command for command in state.commands if command.backend != number
        ),
        lapsed_runs=state.lapsed_runs | {run for run, _ in unstored},
    )
