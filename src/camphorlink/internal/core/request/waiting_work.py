"""Waiting work of a cell by priority, and the part that precedes a job.

This addresses bursts of a queue of low priority.  If the prediction for a job
of a high priority counted all waiting work, the job would be refused although
it overtakes most of that work.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

#: Share of the processor time that each lower priority gets while it waits.
GUARANTEED_SHARE = 0.1


class WaitingWork(NamedTuple):
    """Waiting tasks of one priority that can still meet their due time.

    Attributes:
        priority: Priority of the tasks, where 0 is the highest.
        wait_s: Time in which the cell completes them alone, in seconds.
        latest_due_s: Time from now until the latest due time, in seconds.
    """

    priority: int
    wait_s: float
    latest_due_s: float


def preceding_s(
    rows: Iterable[WaitingWork], priority: int, due_s: float
) -> float:
    """Returns the time until the work that precedes a job has started.

    Work of a higher priority precedes the job, and work of its own priority
    that is due before it; due times are assumed to be spread evenly.  Each
    lower priority that waits gets its guaranteed share meanwhile.

    Args:
        rows: Waiting work by priority.
        priority: Priority of the job.
        due_s: Time from now until the job is due, in seconds.
    """
    before_s = 0.0
    lower: list[float] = []
    for row in rows:
        if row.priority > priority:
            lower.append(row.wait_s)
        elif row.priority == priority and due_s < row.latest_due_s < math.inf:
            before_s += row.wait_s * due_s / row.latest_due_s
        else:
            before_s += row.wait_s
    # Nine lower priorities leave a tenth to the job's own and higher ones.
    own_share = max(1 - GUARANTEED_SHARE * len(lower), GUARANTEED_SHARE)
    guaranteed_s = before_s * GUARANTEED_SHARE / own_share
    return before_s + sum(min(wait_s, guaranteed_s) for wait_s in lower)


def add_work(
    rows: Sequence[WaitingWork], added: WaitingWork
) -> tuple[WaitingWork, ...]:
    """Returns rows to which work of one priority is added."""
    row_by_priority = {row.priority: row for row in rows}
    known = row_by_priority.get(added.priority)
    if known is not None:
        latest_due_s = max(known.latest_due_s, added.latest_due_s)
        if not math.isfinite(latest_due_s):
            latest_due_s = known.latest_due_s
        added = WaitingWork(
            added.priority, known.wait_s + added.wait_s, latest_due_s
        )
    row_by_priority[added.priority] = added
    return tuple(sorted(row_by_priority.values()))
