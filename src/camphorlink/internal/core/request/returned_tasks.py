"""Tasks that the owner of a cell returns to their coordinator.

The owner returns tasks that wait, when they are better off in another cell or
cannot end in time in any.  Only a task without a run can be returned.  The
coordinator may then assign it to another cell without waiting for a lease.
"""

import enum
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import TaskKey


class ReturnReason(enum.Enum):
    """Why an owner returns tasks.

    ``ZONE_DRAINED``: nothing may start in the cell.  ``CELL_OVERLOADED``:
    another cell has reported free capacity.  ``OUT_OF_REACH``: the tasks cannot
    end while their job is of use.  ``EXPECTED_LATE``: their job is expected to
    miss its due time and would delay others.  ``WITHDRAWN``: the coordinator has
    withdrawn the job.
    """

    ZONE_DRAINED = 'zone-drained'
    CELL_OVERLOADED = 'cell-overloaded'
    OUT_OF_REACH = 'out-of-reach'
    EXPECTED_LATE = 'expected-late'
    WITHDRAWN = 'withdrawn'


class ReturnedTask(NamedTuple):
    """A returned task.

    Attributes:
        task: The task.
        assignment: Number of the newest assignment of the task that the owner
            has received.  The coordinator ignores the return if it has assigned
            the task again since, because the owner then still has it.
        has_begun: Whether a task of its job may have run in the cell, so that
            the job can no longer be refused.
        target: Cell that has reported free capacity for the task, empty for
            none.  Coordinators that chose by themselves would all choose the
            same cell.
    """

    task: TaskKey
    assignment: int
    has_begun: bool = False
    target: str = ''
