"""Computes the load reports that the owner of a cell sends to other VMs."""

import collections
import heapq
import math
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    FreeCapacity,
)
from camphorlink.internal.core.request.queue_checks import MAX_PRIORITY
from camphorlink.internal.core.request.task_placement import expected_speed
from camphorlink.internal.core.request.usable_share import UsableShare
from camphorlink.internal.core.request.waiting_tasks import WaitingTask
from camphorlink.internal.core.request.waiting_work import WaitingWork, add_work

#: Maximum number of back ends in a report, which lists those with the most
#: free capacity in descending order.  This is enough to place a job of 150
#: tasks on three cells, and keeps a message under 1 KB.
MAX_REPORTED_BACKENDS = 24
#: Minimum period of load reports, in seconds.  It is about the interval between
#: two jobs in a busy installation.
MIN_LOAD_PERIOD_S = 0.02
#: Minimum period of load reports per peer, in seconds.  With 28 peers, reports
#: to all of them every 0.02 s took a sixth of the processor time of VMs that
#: own no cell.
LOAD_PERIOD_PER_PEER_S = 0.003


def load_report_period_s(peers: int) -> float:
    """Returns the period of load reports in seconds for a number of peers."""
    return max(MIN_LOAD_PERIOD_S, LOAD_PERIOD_PER_PEER_S * peers)


def list_loads(cell: Cell, now: float) -> list[CellLoad]:
    """Returns the free capacity and queueing delay of a cell by service.

    A cell in which no task may start has no capacity.
    """
    backends = cell.registry.runs_by_backend.values()
    services = {runs.listed.service for runs in backends}
    return [_compute_load(cell, service, now) for service in sorted(services)]


def _compute_load(cell: Cell, service: str, now: float) -> CellLoad:
    if not cell.drain.may_start:
        return CellLoad(cell.name, service, cell.term, (), 0, 0, 0, 0)
    usable = [
        runs
        for runs in cell.registry.runs_by_backend.values()
        if runs.listed.service == service and runs.is_usable(now)
    ]
    capacities = [
        FreeCapacity(
            round(expected_speed(runs, cell.speeds, now), 2),
            runs.free.cpu_milli,
            runs.listed.labels,
        )
        for runs in usable
    ]
    weighted_cpu_milli = sum(
        runs.listed.capacity.cpu_milli * capacity.speed
        for runs, capacity in zip(usable, capacities, strict=True)
    )
    totals = _sum_waiting(cell, service, usable, now)
    divisor = (
        weighted_cpu_milli
        * _measure_usable_share(
            cell, service, usable, totals.largest_cpu_milli, now
        )
    ) or math.inf
    rows = totals.rows(divisor)
    return CellLoad(
        cell.name,
        service,
        cell.term,
        tuple(
            heapq.nlargest(
                MAX_REPORTED_BACKENDS,
                (entry for entry in capacities if entry.free_cpu_milli > 0),
                key=_weighted_free_cpu,
            )
        ),
        round(sum(row.wait_s for row in rows), 3),
        round(totals.late_work / divisor, 3),
        round(weighted_cpu_milli),
        _total_cpu_milli(usable),
        rows,
    )


def _total_cpu_milli(usable: list[BackendRuns]) -> int:
    return sum(runs.listed.capacity.cpu_milli for runs in usable)


def _used_cpu_milli(usable: list[BackendRuns]) -> int:
    return sum(
        run.needs.cpu_milli
        for runs in usable
        for run in runs.run_by_task.values()
    )


def _weighted_free_cpu(free_capacity: FreeCapacity) -> float:
    return free_capacity.speed * free_capacity.free_cpu_milli


def _measure_usable_share(
    cell: Cell,
    service: str,
    usable: list[BackendRuns],
    largest_cpu_milli: int,
    now: float,
) -> float:
    """Returns the share of the capacity that tasks of a service can use."""
    usable_share = cell.usable_shares.setdefault(service, UsableShare())
    most_free = max((runs.free.cpu_milli for runs in usable), default=0)
    if largest_cpu_milli > most_free:
        usable_share.record(
            now, _used_cpu_milli(usable), _total_cpu_milli(usable)
        )
    return usable_share.current(now)


class _WaitingTotals(NamedTuple):
    """Sums over the waiting tasks of a service.

    Work is in millicore-seconds: thousandths of a core times seconds.

    Attributes:
        work: Work by priority of the tasks that can end by their due time.
        due_s: Time from now until the latest due time of these, by priority.
        late_work: Work of the other tasks.
        largest_cpu_milli: Largest need of a task that several back ends could
            run, in thousandths of a core.
    """

    work: dict[int, float]
    due_s: dict[int, float]
    late_work: float
    largest_cpu_milli: int

    def rows(self, cpu_milli: float) -> tuple[WaitingWork, ...]:
        """Returns rows for a capacity times speed in 1/1000 core."""
        rows: tuple[WaitingWork, ...] = ()
        for priority, work in self.work.items():
            # Durable jobs may have priorities from before the limit.
            row = WaitingWork(
                min(priority, MAX_PRIORITY),
                work / cpu_milli,
                self.due_s[priority],
            )
            rows = add_work(rows, row)
        return rows


def _sum_waiting(
    cell: Cell, service: str, usable: list[BackendRuns], now: float
) -> _WaitingTotals:
    work: dict[int, float] = collections.defaultdict(float)
    due_s: dict[int, float] = collections.defaultdict(float)
    late_work = 0.0
    largest = 0
    limit = max((runs.listed.capacity.cpu_milli for runs in usable), default=0)
    for entry in cell.waiting:
        # Properties are inlined: a report visits thousands of tasks in an overload.
        job = entry.job
        if job.service != service:
            continue
        needs_cpu = job.steps[entry.task.step].needs.cpu_milli
        if largest < needs_cpu <= limit and _is_unrestricted(entry):
            largest = needs_cpu
        if entry.can_be_on_time(now):
            priority = job.priority
            work[priority] += needs_cpu * entry.work_s
            if entry.due_s - now > due_s[priority]:
                due_s[priority] = entry.due_s - now
        else:
            late_work += needs_cpu * entry.work_s
    return _WaitingTotals(work, due_s, late_work, largest)


def _is_unrestricted(entry: WaitingTask) -> bool:
    """Returns whether a task may run on any back end with enough capacity.

    Others say nothing about the capacity that most tasks can use.
    """
    step = entry.step
    return not (
        step.label or step.max_per_backend or entry.assessment.must_run_alone
    )


def count_waiting_jobs(cell: Cell) -> dict[str, int]:
    """Returns the number of jobs with waiting tasks in this cell, by queue."""
    ids_by_queue: dict[str, set[str]] = {}
    for entry in cell.waiting:
        job = entry.job
        ids_by_queue.setdefault(job.queue, set()).add(job.job_id)
    return {queue: len(ids) for queue, ids in ids_by_queue.items()}
