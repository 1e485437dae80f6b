"""Messages between entry VMs about durable and transient jobs.

They are news, never questions: one that is lost is made good by the next, by
reading the store, or by a caller who sends its job again.
"""

from typing import NamedTuple

from camphorlink.internal.core.request.cell_choice import CellLoad
from camphorlink.internal.core.request.durable_job import DurableJob, TaskKey


class Beat(NamedTuple):
    """A VM is alive.

    Attributes:
        member: Name of its process.
        ip: IP number at which it listens for peers.
        port: TCP port of the same.
        zone: Its availability zone.
        store_age_s: Age of its last answer of the store, in seconds.
        is_leaving: Whether it is about to stop.
        waiting_by_cell: For each cell that it owns, the number of jobs by
            queue of which no task was started.
    """

    member: str
    ip: str
    port: int
    zone: str
    store_age_s: float
    is_leaving: bool
    waiting_by_cell: dict[str, dict[str, int]]


class RecordsAppended(NamedTuple):
    """Records were appended to the job log at an offset."""

    offset: int
    records: tuple[bytes, ...]


class LoadTold(NamedTuple):
    """The owner of a cell tells its load."""

    load: CellLoad


class RunTasks(NamedTuple):
    """Tasks of a transient job for the owner of a cell.

    Attributes:
        coordinator: Member to report to.
        cell: The cell.
        job: The job.
        tasks: Those that it is to run.
        objective_s: Time within which the job should end, in seconds.
        may_have_run: Whether an earlier owner may have begun.
    """

    coordinator: str
    cell: str
    job: DurableJob
    tasks: tuple[TaskKey, ...]
    objective_s: float
    may_have_run: bool


class DropTasks(NamedTuple):
    """The owner of a cell is to stop what it has of a transient job."""

    cell: str
    job_id: str


class TaskEnded(NamedTuple):
    """A task of a transient job was done, or is given up."""

    task: TaskKey
    is_done: bool


NodeMessage = (
    Beat | RecordsAppended | LoadTold | RunTasks | DropTasks | TaskEnded
)
