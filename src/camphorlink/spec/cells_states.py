"""One durable task, the log, the owners of its cell, and two back ends.

Each term has an owner of its own, which is another process even on the same
VM.  An owner may pause for any time: it goes on with what it knew until it
reads the log.  Orders to start that were sent may be carried out at any later
time, again, or never, until they expire; a call may be carried out and its
answer be lost.
"""

from typing import NamedTuple

# What became of the append of the job's acceptance.
ABSENT = 'absent'
SENT = 'sent'
STORED = 'stored'
NEVER_STORED = 'gone'

# How a run ended, as back ends list it.
DONE = 'done'
FAILED = 'failed'

# Outcomes that callers were told.
ACCEPTED = 'accepted'
REFUSED = 'refused'
COMPLETED = 'completed'
JOB_FAILED = 'failed-for-good'

MAX_ATTEMPTS = 2
#: Numbers of runs that a term has in the specification.
RUNS_PER_TERM = 10

EARLY_ACCEPT = 'acceptance-told-before-stored'
REFUSAL_WITHOUT_ANSWER = 'refusal-after-an-unanswered-append'
EARLY_ACK = 'end-acknowledged-before-stored'
EARLY_COMPLETE = 'completion-told-before-stored'
RETRY_WITHOUT_STOP = 'retry-without-stop'
TAKEOVER_WITHOUT_LISTING = 'takeover-without-listing-all-back-ends'
REUSED_RUN_NUMBERS = 'run-numbers-begin-anew-in-each-term'
EARLY_LAPSE = 'silent-back-end-taken-as-lapsed-while-it-is-renewed'
UNFENCED_APPEND = 'ends-of-former-owners-count'


#: Ends of runs, as pairs of a number and how.
Completions = frozenset[tuple[int, str]]


class Backend(NamedTuple):
    """One back end.

    Attributes:
        term: Highest term that it has seen; it obeys no lower one.
        run: Number of the run that is present, or 0.
        highest: Highest number of a run that ended or was stopped here.
        ends: Ends that it lists, as pairs of a number and how.
    """

    term: int = 0
    run: int = 0
    highest_ended_run: int = 0
    completions: Completions = frozenset()


class StartCommand(NamedTuple):
    """An order to start the task, which may be carried out until it expires."""

    term: int
    backend: int
    run: int


class Owner(NamedTuple):
    """The owner of the cell in one term, and what it believes.

    Attributes:
        heard: Back ends whose runs it knows.
        present: Runs that it counts as present, as back end and number.
        runs: How many it has ordered.
        ends: Ends in the log, as far as it has read them.
        has_read_acceptance: Whether it has read the job's acceptance.
        writes: Ends that it appends now, until it reads them back.
    """

    listed_backends: frozenset[int] = frozenset()
    present_runs: frozenset[tuple[int, int]] = frozenset()
    commanded_runs: int = 0
    completions: Completions = frozenset()
    has_read_acceptance: bool = False
    pending_completions: Completions = frozenset()


class CellsState(NamedTuple):
    """Everything that matters for one durable task.

    Attributes:
        acceptance: What became of the append that accepts the job.
        told: Outcomes that callers were told.
        ends: Ends in the log.
        owners: By term; ``None`` once an owner has given up or was lost.
        last_term: The search ends with it.
        max_runs: Starts that each owner may order.
        backends: Both back ends.
        orders: Orders to start that may still be carried out.
        starts: How many were carried out.
        lapsed: Numbers of runs whose lease lapsed after their end, unheard.
        failures: Failed ends that were acknowledged, and had not lapsed.
        has_late_start: Whether one began after the task was done, or after it
            had failed too often, by what the log held.
        has_lost_completion: Whether an end was acknowledged that the log never got.
    """

    acceptance: str = ABSENT
    reported_outcomes: frozenset[str] = frozenset()
    completions: Completions = frozenset()
    owners: tuple[Owner | None, ...] = ()
    last_term: int = 2
    max_runs: int = 1
    backends: tuple[Backend, Backend] = (Backend(), Backend())
    commands: frozenset[StartCommand] = frozenset()
    starts: int = 0
    lapsed_runs: frozenset[int] = frozenset()
    acknowledged_failures: int = 0
    has_late_start: bool = False
    has_lost_completion: bool = False


def report_completions(state: CellsState) -> CellsState:
    """Tells callers what the log says; it says it for good."""
    if has_successful_completion(state.completions):
        return report_outcome(state, COMPLETED)
    return (
        report_outcome(state, JOB_FAILED)
        if is_decided(state.completions)
        else state
    )


def is_stored_or_ignored(
    state: CellsState,
    completions: Completions,
) -> bool:
    """Tells whether the log holds ends, or ignores them: their job is over."""
    return completions <= state.completions or is_decided(state.completions)


def is_decided(completions: Completions) -> bool:
    """Tells whether the ends decide the task: no more starts."""
    return has_successful_completion(completions) or has_exhausted_attempts(
        completions
    )


def has_successful_completion(completions: Completions) -> bool:
    """Tells whether one of the ends is good."""
    return any(outcome == DONE for _, outcome in completions)


def has_exhausted_attempts(completions: Completions) -> bool:
    """Tells whether the ends are as many failures as are allowed."""
    return len(completions) >= MAX_ATTEMPTS and not has_successful_completion(
        completions
    )


def report_outcome(state: CellsState, outcome: str) -> CellsState:
    """Tells callers of an outcome."""
    return state._replace(reported_outcomes=state.reported_outcomes | {outcome})


def set_backend(
    state: CellsState,
    number: int,
    backend: Backend,
) -> CellsState:
    """Changes a back end; orders that it will never obey need no state."""
    first, second = state.backends
    backends = (first, backend) if number else (backend, second)
    commands = frozenset(
        command
        for command in state.commands
        if command.backend != number or accepts_command(backend, command)
    )
    return state._replace(backends=backends, commands=commands)


def accepts_command(backend: Backend, command: StartCommand) -> bool:
    """Tells whether a back end starts what an order asks for."""
    return (
        command.term >= backend.term and command.run > backend.highest_ended_run
    )


def set_owner(
    state: CellsState,
    term: int,
    owner: Owner | None,
) -> CellsState:
    """Changes what an owner believes, or loses it."""
    owners = list(state.owners)
    owners[term - 1] = owner
    return state._replace(owners=tuple(owners))


def list_runs_at(owner: Owner, number: int) -> list[int]:
    """Lists the runs that an owner counts at a back end."""
    return sorted(
        run for backend, run in owner.present_runs if backend == number
    )


def remove_run(
    state: CellsState,
    term: int,
    number: int,
    run: int,
) -> CellsState:
    """Lets an owner take a run as over."""
    owner = state.owners[term - 1]
    if owner is None:
        return state
    updated_owner = owner._replace(
        present_runs=owner.present_runs - {(number, run)}
    )
    return set_owner(state, term, updated_owner)
