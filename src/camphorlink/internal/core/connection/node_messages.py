"""Messages between entry VMs about durable and transient jobs.

No message is acknowledged, and each may be lost.  A later message or a read of
the store then provides the same state, or the caller submits its job again.
"""

import math
from typing import NamedTuple

from camphorlink.internal.core.request.cell_selector import CellLoad
from camphorlink.internal.core.request.durable_job import DurableJob, TaskKey
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)


class Stamp(NamedTuple):
    """Times in seconds that each frame between VMs carries.

    Attributes:
        sent_s: Time at which the frame was sent, on the sender's clock.
        echo_s: Newest ``sent_s`` that the sender has received from the
            recipient, or ``None`` in a frame that is sent to many.  It extends
            the lease that the recipient has for the sender's tasks.
    """

    sent_s: float
    echo_s: float | None = None


class Beat(NamedTuple):
    """Heartbeat of an entry VM.

    Attributes:
        member: Name of its process.
        ip: IP number at which it listens for peers.
        port: TCP port at which it listens for peers.
        zone: Name of its availability zone.
        store_age_s: Time since it last got an answer from the store, in
            seconds.
        is_leaving: Whether it is about to stop.
        waiting_by_cell: For each cell that it owns, the number of jobs with
            waiting tasks, by queue.
        next_offset: Offset of the next record of the job log that it will
            apply.  Peers send a VM that can't reach the store what it lacks.
    """

    member: str
    ip: str
    port: int
    zone: str
    store_age_s: float
    is_leaving: bool
    waiting_by_cell: dict[str, dict[str, int]]
    next_offset: int = 0


class RecordsAppended(NamedTuple):
    """Records that the sender appended to the job log.

    Attributes:
        offset: Offset of the first record.
        records: The records, at consecutive offsets.
    """

    offset: int
    records: tuple[bytes, ...]


class LoadTold(NamedTuple):
    """Load of a cell, as reported by its owner."""

    load: CellLoad


class RunTasks(NamedTuple):
    """Assigns tasks of a transient job to the owner of a cell.

    Attributes:
        coordinator: Member to which the completions are reported.
        cell: Name of the cell.
        job: The job.
        tasks: Tasks that the cell has to run.
        objective_s: Response time objective of the job, in seconds.
        may_have_run: Whether an earlier owner may have started the tasks.
        number: Number of the assignment, which rises for each coordinator.
        useful_s: Time from now until which the job is of use, in seconds.
        may_return: Whether the owner may return the tasks because the cell is
            overloaded.
    """

    coordinator: str
    cell: str
    job: DurableJob
    tasks: tuple[TaskKey, ...]
    objective_s: float
    may_have_run: bool
    number: int = 0
    useful_s: float = math.inf
    may_return: bool = True


class DropTasks(NamedTuple):
    """Command to the owner of a cell to stop all tasks of a transient job.

    It is void if another coordinator has assigned the job since.

    Attributes:
        coordinator: Member that coordinates the job.
        cell: Name of the cell.
        job_id: Identifier of the job.
        must_return: Whether the owner returns the tasks.
    """

    coordinator: str
    cell: str
    job_id: str
    must_return: bool = False


class OpenJobs(NamedTuple):
    """Lists the open jobs of a coordinator in a cell, on a new channel.

    The owner of the cell stops the coordinator's other jobs.  The listed ones
    follow as ``RunTasks``.
    """

    coordinator: str
    cell: str
    job_ids: tuple[str, ...]


class TaskEnded(NamedTuple):
    """Reports to the coordinator that a task of a transient job has ended.

    Attributes:
        task: The task.
        is_done: Whether it is done; otherwise it has used up its attempts.
    """

    task: TaskKey
    is_done: bool


class TasksReturned(NamedTuple):
    """Returns waiting tasks from the owner of a cell to their coordinator.

    If it is lost, the next session assigns the tasks to the cell again.

    Attributes:
        cell: Name of the cell.
        tasks: The tasks.
        reason: Why they are returned.
    """

    cell: str
    tasks: tuple[ReturnedTask, ...]
    reason: ReturnReason


NodeMessage = (
    Beat
    | RecordsAppended
    | LoadTold
    | RunTasks
    | DropTasks
    | OpenJobs
    | TaskEnded
    | TasksReturned
)
