"""States of one durable task, the log, the cell's owners and two back ends.

Each term has a separate owner process, even on the same VM.  An owner may
pause for any time; it then continues with its old state until it reads the
log.  A start command may be executed late, repeatedly or never, until it
expires.  A call may be executed although its answer is lost.
"""

from typing import NamedTuple

# Status of the append that accepts the job.
ABSENT = 'absent'
SENT = 'sent'
STORED = 'stored'
NEVER_STORED = 'gone'

# Outcomes of a run, as listed by back ends.
DONE = 'done'
FAILED = 'failed'

# Outcomes that are reported to callers.
ACCEPTED = 'accepted'
REFUSED = 'refused'
COMPLETED = 'completed'
JOB_FAILED = 'failed-for-good'

MAX_ATTEMPTS = 2
#: Run numbers per term in the specification.
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


#: Completions of runs, as pairs of a run number and an outcome.
Completions = frozenset[tuple[int, str]]


class Backend(NamedTuple):
    """State of a back end that may run the task.

    Attributes:
        term: Highest term that the back end has seen; it rejects lower ones.
        run: Number of the present run, or 0.
        highest_ended_run: Highest number of a run that ended or was stopped
            here.
        completions: Completions that the back end lists.
    """

    term: int = 0
    run: int = 0
    highest_ended_run: int = 0
    completions: Completions = frozenset()


class StartCommand(NamedTuple):
    """Command to start the task, valid until it expires.

    Attributes:
        term: Term of the owner that sent the command.
        backend: Index of the back end.
        run: Number of the run to start.
    """

    term: int
    backend: int
    run: int


class Owner(NamedTuple):
    """Local state of the owner of the cell in one term.

    Attributes:
        listed_backends: Back ends that have listed their runs to the owner,
            or whose runs the owner has assumed lapsed.
        present_runs: Runs that the owner assumes present, as pairs of a back
            end and a run number.
        commanded_runs: Number of runs that the owner has commanded.
        completions: Completions that the owner has read in the log.
        has_read_acceptance: Whether the owner has read the job's acceptance.
        pending_completions: Completions to append to the log, until the owner
            reads them back.
    """

    listed_backends: frozenset[int] = frozenset()
    present_runs: frozenset[tuple[int, int]] = frozenset()
    commanded_runs: int = 0
    completions: Completions = frozenset()
    has_read_acceptance: bool = False
    pending_completions: Completions = frozenset()


class CellsState(NamedTuple):
    """State of the specification of one durable task.

    Attributes:
        acceptance: Status of the append that accepts the job.
        reported_outcomes: Outcomes that were reported to callers.
        completions: Completions in the log.
        owners: Owners by term; ``None`` once an owner has released the cell or
            was lost.
        last_term: Highest term of the search.
        max_runs: Number of starts that each owner may command.
        backends: Both back ends.
        commands: Start commands that may still be executed.
        starts: Number of executed start commands.
        lapsed_runs: Numbers of completed runs whose lease lapsed before the
            log held the completion.
        acknowledged_failures: Number of acknowledged failed completions whose
            run had not lapsed.
        has_late_start: Whether a run started after the task was done, or
            after it had failed too often, according to the log.
        has_lost_completion: Whether a completion was acknowledged that the
            log did not hold.
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
    """Reports the outcome of the job to callers if the log decides it."""
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
    """Returns whether the log holds the completions or ignores them.

    The log ignores further completions once it decides the task.
    """
    return completions <= state.completions or is_decided(state.completions)


def is_decided(completions: Completions) -> bool:
    """Returns whether the completions rule out further starts of the task."""
    return has_successful_completion(completions) or has_exhausted_attempts(
        completions
    )


def has_successful_completion(completions: Completions) -> bool:
    """Returns whether one of the completions is successful."""
    return any(outcome == DONE for _, outcome in completions)


def has_exhausted_attempts(completions: Completions) -> bool:
    """Returns whether all allowed attempts have failed."""
    return len(completions) >= MAX_ATTEMPTS and not has_successful_completion(
        completions
    )


def report_outcome(state: CellsState, outcome: str) -> CellsState:
    """Reports an outcome to callers."""
    return state._replace(reported_outcomes=state.reported_outcomes | {outcome})


def set_backend(
    state: CellsState,
    number: int,
    backend: Backend,
) -> CellsState:
    """Replaces a back end.

    Drops the commands that the back end rejects from now on, to keep the state
    space small.
    """
    first, second = state.backends
    backends = (first, backend) if number else (backend, second)
    commands = frozenset(
        command
        for command in state.commands
        if command.backend != number or accepts_command(backend, command)
    )
    return state._replace(backends=backends, commands=commands)


def accepts_command(backend: Backend, command: StartCommand) -> bool:
    """Returns whether the term and the run of a command are high enough."""
    return (
        command.term >= backend.term and command.run > backend.highest_ended_run
    )


def set_owner(
    state: CellsState,
    term: int,
    owner: Owner | None,
) -> CellsState:
    """Replaces the owner of a term, or removes it if ``owner`` is ``None``."""
    owners = list(state.owners)
    owners[term - 1] = owner
    return state._replace(owners=tuple(owners))


def list_runs_at(owner: Owner, number: int) -> list[int]:
    """Lists the runs that an owner assumes present at a back end."""
    return sorted(
        run for backend, run in owner.present_runs if backend == number
    )


def remove_run(
    state: CellsState,
    term: int,
    number: int,
    run: int,
) -> CellsState:
    """Removes a run from the present runs of an owner."""
    owner = state.owners[term - 1]
    if owner is None:
        return state
    updated_owner = owner._replace(
        present_runs=owner.present_runs - {(number, run)}
    )
    return set_owner(state, term, updated_owner)
