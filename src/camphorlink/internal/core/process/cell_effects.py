"""Effects that a cell returns to its shell, besides commands to back ends."""

from typing import NamedTuple

from camphorlink.internal.core.connection.backend_commands import (
    RenewLeases,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.process.transient_job_table import TaskReport
from camphorlink.internal.core.request.job_records import Record
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)


class AppendRecord(NamedTuple):
    """Append a record to the job log.

    Attributes:
        record: Record to append.
    """

    record: Record


class CheckOwnership(NamedTuple):
    """Read the job log to its end, as another VM may have claimed the cell."""


class ReadBackends(NamedTuple):
    """Read the list of back ends, as one has another incarnation."""


class CountEvent(NamedTuple):
    """Increment a counter.

    Attributes:
        family: Name of the counter.
        reason: Label that the event is counted under.
    """

    family: str
    reason: str


class LogEvent(NamedTuple):
    """Log a decision about a back end.

    Attributes:
        event: Log message.
        facts: Extra fields of the log entry.
    """

    event: str
    facts: dict[str, object]


class CoordinatorExpired(NamedTuple):
    """Tell a coordinator that its tasks were stopped when its lease expired.

    Attributes:
        member: The coordinator.
    """

    member: str


class ReturnTasks(NamedTuple):
    """Return waiting tasks to their coordinator.

    Attributes:
        coordinator: The coordinator.
        tasks: The tasks.
        reason: Why they are returned.
    """

    coordinator: str
    tasks: tuple[ReturnedTask, ...]
    reason: ReturnReason


CellEffect = (
    StartRun
    | StopRun
    | RenewLeases
    | AppendRecord
    | CheckOwnership
    | ReadBackends
    | CountEvent
    | LogEvent
    | CoordinatorExpired
    | TaskReport
    | ReturnTasks
)
