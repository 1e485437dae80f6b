"""What a cell asks its shell to do beside orders to back ends."""

from typing import NamedTuple

from camphorlink.internal.core.connection.backend_commands import (
    RenewLeases,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.process.transient_work import TaskReport
from camphorlink.internal.core.request.job_records import Record


class Store(NamedTuple):
    """Append a record to the job log."""

    record: Record


class CheckOwnership(NamedTuple):
    """Read the job log to its end: another owner may have claimed the cell."""


class Count(NamedTuple):
    """Count an event by its reason."""

    family: str
    reason: str


class Note(NamedTuple):
    """Log a decision about a task.

    Attributes:
        event: What was decided, a short sentence.
        facts: What it was decided on.
    """

    event: str
    facts: dict[str, object]


CellEffect = (
    StartRun
    | StopRun
    | RenewLeases
    | Store
    | CheckOwnership
    | Count
    | Note
    | TaskReport
)
