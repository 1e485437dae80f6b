"""What is said to back ends that take orders, and what they say.

Times on a back end's clock end in ``_clock_ms``; all other times are those of
this VM, in seconds.
"""

import enum
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import Resources, TaskKey


class ListedBackend(NamedTuple):
    """A back end as the platform's directory shows it.

    Attributes:
        backend_id: Its identifier.
        started_ms: Start of its lifetime; another start is another lifetime.
        service: The service that it serves.
        address: IP number and port.
        zone: Its availability zone.
        capacity: What its tasks may take in all.
        labels: Its kind and its rack.
        is_draining: Whether it is to get no new work.
        remaining_ms: Least time that a draining one is still there.
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
    """What became of the order to start a run."""

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
    """How a run ended at its back end."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class ActiveRun(NamedTuple):
    """A run that a back end lists as present.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: What it has saved, empty for nothing.
        percent: How far it is.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int = 0


class FinishedRun(NamedTuple):
    """A run that a back end lists as ended.

    Attributes:
        number: Number of the end in this lifetime, from 1.
        task: The task.
        run: Number of the run.
        how: How it ended.
        checkpoint: What it had saved, empty for nothing.
    """

    number: int
    task: TaskKey
    run: int
    result: RunResult
    checkpoint: str


class StartAnswer(NamedTuple):
    """Answer to the order to start a run.

    Attributes:
        verdict: What became of it.
        clock_ms: The back end's clock, or ``None``.
    """

    verdict: StartVerdict
    clock_ms: int | None = None


class RenewalVerdict(enum.Enum):
    """Whether a back end answered a look at its runs."""

    LISTED = 'listed'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other-lifetime'
    UNANSWERED = 'unanswered'
    UNREACHABLE = 'unreachable'


class RenewalAnswer(NamedTuple):
    """Answer to a look at the runs of a back end.

    Attributes:
        verdict: Whether it listed them.
        clock_ms: The back end's clock.
        started_ms: Start of the lifetime that answered.
        active: Runs that are present.
        finished: Ends that are not acknowledged.
    """

    verdict: RenewalVerdict
    clock_ms: int = 0
    started_ms: int = 0
    active: tuple[ActiveRun, ...] = ()
    finished: tuple[FinishedRun, ...] = ()


class StartRun(NamedTuple):
    """Order to start a run."""

    backend: ListedBackend
    term: int
    task: TaskKey
    run: int
    spec: str
    lease_until_clock_ms: int
    checkpoint: str


class StopRun(NamedTuple):
    """Order to stop a run, and never to start it later."""

    backend: ListedBackend
    term: int
    task: TaskKey
    run: int


class RenewLeases(NamedTuple):
    """Order to keep what runs, and to list it.

    Attributes:
        backend: The back end.
        term: Fencing token.
        acknowledged: Ends up to this number are stored.
        lease_until_clock_ms: New end of the lease, or ``None`` to only look.
        wait_ms: How long the answer may wait for an end.
        number: Number of the call, for the answer.
    """

    backend: ListedBackend
    term: int
    acknowledged: int
    lease_until_clock_ms: int | None
    wait_ms: int
    number: int
