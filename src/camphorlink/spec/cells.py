"""Steps of a durable task: in the log, at back ends and at cell owners."""

from collections.abc import Iterator

from camphorlink.spec import cells_calls
from camphorlink.spec import cells_states as states

LabelledSteps = Iterator[tuple[str, states.CellsState]]


def list_steps(state: states.CellsState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
    yield from _step_acceptance(state, mutation)
    if len(state.owners) < state.last_term:
        claimed = (*state.owners, states.Owner(completions=state.completions))
        term = len(claimed)
        label = f'the cell is claimed for term {term}'
        yield label, state._replace(owners=claimed)
    for number, backend in enumerate(state.backends):
        yield from _step_backend(state, number, backend)
    for command in sorted(state.commands):
        yield from _execute_command(state, command)
    for term, owner in enumerate(state.owners, 1):
        if owner is not None:
            yield from _step_owner(state, term, owner, mutation)


def _step_acceptance(state: states.CellsState, mutation: str) -> LabelledSteps:
    if state.acceptance == states.ABSENT:
        sent = state._replace(acceptance=states.SENT)
        if mutation == states.EARLY_ACCEPT:
            sent = states.report_outcome(sent, states.ACCEPTED)
        yield 'the acceptance is sent to the log', sent
        refused = state._replace(acceptance=states.NEVER_STORED)
        yield (
            'the job is refused unsent',
            states.report_outcome(refused, states.REFUSED),
        )
    elif state.acceptance == states.SENT:
        stored = state._replace(acceptance=states.STORED)
        yield (
            'the acceptance is stored',
            states.report_outcome(stored, states.ACCEPTED),
        )
        lost = state._replace(acceptance=states.NEVER_STORED)
        yield 'the acceptance never reaches the log', lost
        if mutation == states.REFUSAL_WITHOUT_ANSWER:
            yield (
                'the append is not answered',
                states.report_outcome(state, states.REFUSED),
            )


def _step_backend(
    state: states.CellsState,
    number: int,
    backend: states.Backend,
) -> LabelledSteps:
    if not backend.run:
        return
    highest_ended_run = max(backend.highest_ended_run, backend.run)
    lapsed_backend = backend._replace(
        run=0, highest_ended_run=highest_ended_run
    )
    label = f'run {backend.run} lapses at back end {number}'
    yield label, states.set_backend(state, number, lapsed_backend)
    for outcome in (states.DONE, states.FAILED):
        completions = backend.completions | {(backend.run, outcome)}
        ended_backend = lapsed_backend._replace(completions=completions)
        label = f'run {backend.run} is {outcome} at back end {number}'
        yield label, states.set_backend(state, number, ended_backend)


def _execute_command(
    state: states.CellsState, command: states.StartCommand
) -> LabelledSteps:
    """Starts the task if the back end accepts the command."""
    backend = state.backends[command.backend]
    if backend.run or not states.accepts_command(backend, command):
        return
    started = backend._replace(term=command.term, run=command.run)
    # A completion does not count if the lease of its run lapsed before the
    # completion was acknowledged.
    valid_completions = frozenset(
        completion
        for completion in state.completions
        if completion[0] not in state.lapsed_runs
    )
    has_failed = state.acknowledged_failures >= states.MAX_ATTEMPTS
    is_late = has_failed or states.is_decided(valid_completions)
    label = f'run {command.run} starts at back end {command.backend}'
    next_state = states.set_backend(state, command.backend, started)
    yield (
        label,
        next_state._replace(
            starts=state.starts + 1,
            has_late_start=state.has_late_start or is_late,
        ),
    )


def _step_owner(
    state: states.CellsState,
    term: int,
    owner: states.Owner,
    mutation: str,
) -> LabelledSteps:
    yield (
        f'the owner of term {term} is lost',
        states.set_owner(state, term, None),
    )
    yield from _read_log(state, term, owner)
    yield from _append_completions(state, term, owner, mutation)
    yield from _command_start(state, term, owner, mutation)
    for number, _ in enumerate(state.backends):
        yield from cells_calls.list_call_steps(state, term, number, mutation)
        yield from cells_calls.assume_lapsed(state, term, number, mutation)


def _read_log(
    state: states.CellsState, term: int, owner: states.Owner
) -> LabelledSteps:
    label = f'the owner of term {term} reads the log'
    if term < len(state.owners):
        yield label, states.set_owner(state, term, None)
        return
    # Until the owner reads a completion back, it neither restarts the task nor
    # acknowledges the completion.
    is_read = states.is_stored_or_ignored(state, owner.pending_completions)
    updated_owner = owner._replace(
        completions=state.completions,
        has_read_acceptance=state.acceptance == states.STORED,
        pending_completions=frozenset()
        if is_read
        else owner.pending_completions,
    )
    yield label, states.set_owner(state, term, updated_owner)


def _append_completions(
    state: states.CellsState,
    term: int,
    owner: states.Owner,
    mutation: str,
) -> LabelledSteps:
    if states.is_stored_or_ignored(state, owner.pending_completions):
        return
    if term == len(state.owners) or mutation == states.UNFENCED_APPEND:
        stored = state._replace(
            completions=state.completions | owner.pending_completions
        )
        yield (
            f'the log takes the ends that term {term} appends',
            states.report_completions(stored),
        )


def _command_start(
    state: states.CellsState,
    term: int,
    owner: states.Owner,
    mutation: str,
) -> LabelledSteps:
    if not _may_command_start(state, owner, mutation):
        return
    first_run = (
        0
        if mutation == states.REUSED_RUN_NUMBERS
        else term * states.RUNS_PER_TERM
    )
    run = first_run + owner.commanded_runs + 1
    for number in sorted(owner.listed_backends):
        updated_owner = owner._replace(
            present_runs=frozenset(((number, run),)),
            commanded_runs=owner.commanded_runs + 1,
        )
        next_state = states.set_owner(state, term, updated_owner)
        command = states.StartCommand(term, number, run)
        label = f'term {term} orders run {run} at back end {number}'
        yield label, next_state._replace(commands=state.commands | {command})


def _may_command_start(
    state: states.CellsState, owner: states.Owner, mutation: str
) -> bool:
    has_listed_backends = (
        len(owner.listed_backends) == len(state.backends)
        or mutation == states.TAKEOVER_WITHOUT_LISTING
    )
    is_idle = not owner.present_runs and not owner.pending_completions
    is_due = owner.has_read_acceptance and not states.is_decided(
        owner.completions
    )
    return (
        has_listed_backends
        and is_idle
        and is_due
        and owner.commanded_runs < state.max_runs
    )
