"""Commands that a cell's owner sends to back ends, and their answers.

Times on a back end's clock end in ``_clock_ms``; all other times are on this
VM's clock, in seconds.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import Resources, TaskKey


class ReportedClock(NamedTuple):
    """A reading of a back end's clock that it has published itself.

    Attributes:
        started_ms: Start time of the incarnation, in ms.
        read_ms: The reading, in ms.
    """

    started_ms: int
    read_ms: int


NO_CLOCKS: Mapping[str, ReportedClock] = MappingProxyType({})


class ListedBackend(NamedTuple):
    """Entry of a back end in the platform's directory.

    Attributes:
        backend_id: Identifier, which a restarted back end keeps.
        started_ms: Start time; a restart with another start time is another
            incarnation.
        service: Name of the service that it serves.
        address: IP number and port.
        zone: Name of its availability zone.
        capacity: Resources that all its tasks together may use.
        labels: Its kind and its rack.
        is_draining: Whether it must get no new work.
        remaining_ms: Least time for which a draining back end keeps running.
    """

    backend_id: str
    started_ms: int
    service: str
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    is_draining: bool
    remaining_ms: int = 0


class StartVerdict(enum.Enum):
    """Result of a command to start a run."""

    STARTED = 'started'
    NO_CAPACITY = 'no-room'
    RUN_TOO_LOW = 'run-too-low'
    TOO_LATE = 'too-late'
    FENCED = 'fenced'
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other-lifetime'
    INVALID = 'invalid'
    UNANSWERED = 'unanswered'


class RunResult(enum.Enum):
    """How a run ended on its back end."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class ActiveRun(NamedTuple):
    """A run that a back end lists as running.

    Attributes:
        task: Key of the task.
        run: Number of the run.
        checkpoint: Latest checkpoint, empty if there is none.
        percent: Progress of the run, in percent.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int = 0


class FinishedRun(NamedTuple):
    """A run that a back end lists as ended.

    Attributes:
        number: Sequence number of the completion within this incarnation,
            from 1.
        task: Key of the task.
        run: Number of the run.
        result: How the run ended.
        checkpoint: Last checkpoint, empty if there is none.
    """

    number: int
    task: TaskKey
    run: int
    result: RunResult
    checkpoint: str


class StartAnswer(NamedTuple):
    """Answer to a command to start a run.

    Attributes:
        verdict: Result of the command.
        clock_ms: Reading of the back end's clock, or ``None`` if unknown.
    """

    verdict: StartVerdict
    clock_ms: int | None = None


class RenewalVerdict(enum.Enum):
    """Result of a lease renewal, or of a call that only lists the runs.

    ``REFUSED``: the connection was refused, so that no process seems to listen.
    ``UNREACHABLE``: no connection could be opened for another reason.  ``RESET``:
    the connection was open until now, without an answer.
    """

    LISTED = 'listed'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other-lifetime'
    UNANSWERED = 'unanswered'
    RESET = 'reset'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'


class RenewalAnswer(NamedTuple):
    """Answer to a lease renewal, with the runs of the back end.

    Attributes:
        verdict: Whether the back end listed its runs, or why it did not.
        clock_ms: Reading of the back end's clock.
        started_ms: Start time of the incarnation that answered.
        active: Runs that are running.
        finished: Completions that are not acknowledged.
    """

    verdict: RenewalVerdict
    clock_ms: int = 0
    started_ms: int = 0
    active: tuple[ActiveRun, ...] = ()
    finished: tuple[FinishedRun, ...] = ()


class StartRun(NamedTuple):
    """Command to start a run under a lease.

    ``token`` is the fencing token of the incarnation, as in all commands.
    """

    backend: ListedBackend
    token: int
    task: TaskKey
    run: int
    spec: str
    lease_until_clock_ms: int
    checkpoint: str


class StopRun(NamedTuple):
    """Command to stop a run, and to reject its start if that comes later."""

    backend: ListedBackend
    token: int
    task: TaskKey
    run: int


class RenewLeases(NamedTuple):
    """Command to renew the leases of all runs of a back end and list them.

    Attributes:
        backend: The back end.
        token: Fencing token of the incarnation.
        acknowledged: Completions up to this number are stored, so that the
            back end may delete them.
        lease_until_clock_ms: New end of the leases, or ``None`` to only list
            the runs.
        wait_ms: Longest time that the answer may wait for a completion.
        number: Number of the call, which matches the answer to it.
    """

    backend: ListedBackend
    token: int
    acknowledged: int
    lease_until_clock_ms: int | None
    wait_ms: int
    number: int
