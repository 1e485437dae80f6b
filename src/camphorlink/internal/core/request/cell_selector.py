"""Selection of the cells that run the tasks of a job.

Each cell reports its free capacity every few milliseconds.  A task is
assigned to the back end, in any cell, on which it is expected to complete
first.  When no back end has enough free capacity, the task is assigned to the
cell with the shortest expected queueing time.

The selection is designed for wide jobs, in which each task takes half of a
small back end, and for bursts of jobs in one zone.  In large fleets, cells are
drawn at random instead; see ``cell_sampling``.
"""

import heapq
import math
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import NamedTuple

from camphorlink.internal.core.request.cell_sampling import (
    CellCapacity,
    draw_cells,
)
from camphorlink.internal.core.request.durable_job import Step
from camphorlink.internal.core.request.waiting_work import (
    WaitingWork,
    add_work,
    preceding_s,
)

#: Delay of a task that runs in another zone, in seconds: 0.9 ms of network
#: time each way, and the processing time of the cell's owner.
REMOTE_OVERHEAD_S = 0.004
#: Factor on the run time of a task that runs away from its data; the larger of
#: the stated factors.
REMOTE_DATA_FACTOR = 2.0
#: Number of VMs from which on cells are drawn at random: load reports are then
#: older than 0.12 s, the run time of two short tasks.
MANY_COORDINATORS = 40


class FreeCapacity(NamedTuple):
    """Free capacity of one back end.

    Attributes:
        speed: Learned speed of the back end, where 1 is the reference.
        free_cpu_milli: Free processor capacity, in thousandths of a core.
        labels: Kind and rack of the back end.
    """

    speed: float
    free_cpu_milli: int
    labels: tuple[str, ...] = ()


class CellLoad(NamedTuple):
    """Load of a cell for one service, as reported by the cell's owner.

    Attributes:
        cell: Name of the cell.
        service: Name of the service.
        term: Term of the owner.
        free_capacities: Back ends with free capacity.
        wait_s: Time to complete the waiting tasks that can still meet their
            due time, in seconds.
        late_wait_s: Time to complete the waiting tasks that will miss their
            due time, in seconds.  They run after the others.
        weighted_cpu_milli: Sum over the usable back ends of processor
            capacity times speed, in thousandths of a core.
        cpu: Processor capacity of the usable back ends, in thousandths of a
            core.
        waiting: The work of ``wait_s`` by priority.  If it is empty, all of
            ``wait_s`` precedes any job.
    """

    cell: str
    service: str
    term: int
    free_capacities: tuple[FreeCapacity, ...]
    wait_s: float
    late_wait_s: float
    weighted_cpu_milli: int
    cpu: int
    waiting: tuple[WaitingWork, ...] = ()

    def wait_before_s(self, priority: int, due_s: float) -> float:
        """Returns the queueing time of a job that is due in ``due_s``."""
        if not self.waiting:
            return self.wait_s
        return preceding_s(self.waiting, priority, due_s)


class TaskGroup(NamedTuple):
    """Tasks of one step that are to be assigned to cells.

    Attributes:
        service: Service that runs the tasks.
        step: Step of the tasks.
        width: Number of tasks.
        work_s: Run time of each task at speed 1, in seconds.
        priority: Priority of their job, where 0 is the highest.
        due_s: Time from now until the job is due, in seconds.
    """

    service: str
    step: Step
    width: int
    work_s: float
    priority: int = 0
    due_s: float = math.inf


class CellPlan(NamedTuple):
    """Assignment of the tasks of a step to cells.

    Attributes:
        cells: Cell of each task.
        end_s: Expected time from now until the last task ends, in seconds.
    """

    cells: tuple[str, ...]
    end_s: float


class CellSelector:
    """Selects cells for tasks by the reported load of the cells.

    It keeps the last reported load of each cell, reduced by the capacity that
    was reserved since the report.

    Attributes:
        coordinators: Number of VMs that assign tasks to the same cells.
    """

    def __init__(self, home_zone: str, seed: str = '') -> None:
        """Creates a selector without any reported load.

        Args:
            home_zone: Zone of this VM.
            seed: Seed of random choices, which must differ between VMs.
        """
        self.coordinators = 1
        self._home_zone = home_zone
        self._random = Random(seed)
        self._load_by_cell: dict[tuple[str, str], CellLoad] = {}
        self._reported_s_by_cell: dict[tuple[str, str], float] = {}

    def record_load(self, load: CellLoad, now: float = 0) -> None:
        """Stores the load that the owner of a cell reported.

        It replaces the previous load, with all reservations.

        Args:
            load: The load.
            now: Time in seconds.
        """
        self._load_by_cell[load.cell, load.service] = load
        self._reported_s_by_cell[load.cell, load.service] = now

    def find_load(self, cell: str, service: str) -> CellLoad | None:
        """Returns the last load of a cell without what was reserved since."""
        return self._load_by_cell.get((cell, service))

    def plan(
        self,
        group: TaskGroup,
        cells: Iterable[str],
    ) -> CellPlan | None:
        """Chooses a cell for each task without reserving any capacity.

        Args:
            group: Tasks to assign.
            cells: Cells that are reachable and can run the tasks.

        Returns:
            The plan, or ``None`` when no cell has a usable back end.
        """
        loads = list(self._loads(group.service, cells))
        if not loads:
            return None
        if self.coordinators >= MANY_COORDINATORS:
            return self._draw_plan(group, loads)
        free_capacities = self._free_capacity_heap(group, loads)
        queues = _CellQueues(group, loads, self._remote_overhead_s)
        needs_cpu = group.step.needs.cpu_milli
        placed = [
            free_capacities.assign(needs_cpu) or queues.assign()
            for _ in range(group.width)
        ]
        return _build_plan(placed)

    def plan_free(
        self, group: TaskGroup, cells: Iterable[str]
    ) -> CellPlan | None:
        """Returns a plan without queueing, or ``None`` if the tasks don't fit.

        Args:
            group: Tasks to assign.
            cells: Cells that are reachable and can run the tasks.
        """
        loads = list(self._loads(group.service, cells))
        free_capacities = self._free_capacity_heap(group, loads)
        placed: list[tuple[str, float]] = []
        for _ in range(group.width):
            chosen = free_capacities.assign(group.step.needs.cpu_milli)
            if chosen is None:
                return None
            placed.append(chosen)
        return _build_plan(placed)

    def _draw_plan(self, group: TaskGroup, loads: list[CellLoad]) -> CellPlan:
        drawn = draw_cells(
            [_capacity_for(group, load) for load in loads],
            group.width,
            self._random,
        )
        return CellPlan(
            tuple(capacity.cell for capacity in drawn),
            max(
                capacity.expected_end_s(group.work_s)
                + self._remote_overhead_s(capacity.cell)
                for capacity in drawn
            ),
        )

    def _free_capacity_heap(
        self, group: TaskGroup, loads: list[CellLoad]
    ) -> '_FreeCapacityHeap':
        label = group.step.label
        return _FreeCapacityHeap(
            (
                capacity,
                load.cell,
                self._expected_end_s(group, capacity, load.cell),
            )
            for load in loads
            for capacity in load.free_capacities
            if not label or label in capacity.labels
        )

    def reserve(self, plan: CellPlan, group: TaskGroup) -> None:
        """Reserves the capacity of a plan until the next load reports."""
        needs_cpu = group.step.needs.cpu_milli
        for cell in plan.cells:
            load = self._load_by_cell[cell, group.service]
            fitting = [
                capacity
                for capacity in load.free_capacities
                if capacity.free_cpu_milli >= needs_cpu
            ]
            if fitting:
                capacity = max(fitting)
                free_capacities = list(load.free_capacities)
                remaining = capacity.free_cpu_milli - needs_cpu
                free_capacities[free_capacities.index(capacity)] = (
                    capacity._replace(free_cpu_milli=remaining)
                )
                load = load._replace(free_capacities=tuple(free_capacities))
            else:
                share = group.work_s * needs_cpu / load.weighted_cpu_milli
                load = _add_wait(load, group, share)
            self._load_by_cell[cell, group.service] = load

    def total_cpu_milli(self, service: str, cells: Iterable[str]) -> int:
        """Returns the processor capacity of a service, in 1/1000 core."""
        return sum(load.cpu for load in self._loads(service, cells))

    def own_weighted_cpu_milli(
        self, service: str, cells: Iterable[str]
    ) -> float:
        """Returns the capacity times speed that this VM counts on.

        It is an equal part of the total among all VMs that assign tasks, in
        1/1000 core.
        """
        total = sum(
            load.weighted_cpu_milli for load in self._loads(service, cells)
        )
        return total / self.coordinators

    def max_wait_s(self, plan: CellPlan, group: TaskGroup) -> float:
        """Returns the longest queueing time of the cells of a plan."""
        return max(
            self._load_by_cell[cell, group.service].wait_before_s(
                group.priority, group.due_s
            )
            for cell in set(plan.cells)
        )

    def report_age_s(self, plan: CellPlan, service: str, now: float) -> float:
        """Returns the age of the oldest report of a plan, in seconds."""
        return now - min(
            self._reported_s_by_cell[cell, service] for cell in plan.cells
        )

    def min_total_wait_s(self, service: str, cells: Iterable[str]) -> float:
        """Returns the shortest time in which a cell empties its queue."""
        return min(
            (
                load.wait_s + load.late_wait_s
                for load in self._loads(service, cells)
            ),
            default=0,
        )

    def _loads(
        self,
        service: str,
        cells: Iterable[str],
    ) -> Iterator[CellLoad]:
        for cell in cells:
            load = self._load_by_cell.get((cell, service))
            if load is not None and load.weighted_cpu_milli:
                yield load

    def _expected_end_s(
        self, group: TaskGroup, capacity: FreeCapacity, cell: str
    ) -> float:
        rack = group.step.rack
        is_near = not rack or rack in capacity.labels
        factor = 1 if is_near else REMOTE_DATA_FACTOR
        return group.work_s * factor / capacity.speed + self._remote_overhead_s(
            cell
        )

    def _remote_overhead_s(self, cell: str) -> float:
        return 0 if cell == self._home_zone else REMOTE_OVERHEAD_S


def _build_plan(placed: list[tuple[str, float]]) -> CellPlan:
    return CellPlan(
        tuple(cell for cell, _ in placed),
        max(end_s for _, end_s in placed),
    )


def _add_wait(load: CellLoad, group: TaskGroup, wait_s: float) -> CellLoad:
    """Returns a load to which a task that will wait is added."""
    waiting = load.waiting
    if waiting or not load.wait_s:
        added = WaitingWork(group.priority, wait_s, group.due_s)
        waiting = add_work(waiting, added)
    return load._replace(wait_s=load.wait_s + wait_s, waiting=waiting)


def _capacity_for(group: TaskGroup, load: CellLoad) -> CellCapacity:
    step = group.step
    return CellCapacity(
        load.cell,
        load.weighted_cpu_milli,
        load.cpu,
        sum(
            capacity.free_cpu_milli
            for capacity in load.free_capacities
            if capacity.free_cpu_milli >= step.needs.cpu_milli
            and (not step.label or step.label in capacity.labels)
        ),
        load.wait_before_s(group.priority, group.due_s),
    )


class _CellQueues:
    """Expected queueing time of each cell during one planning pass."""

    def __init__(
        self,
        group: TaskGroup,
        loads: Iterable[CellLoad],
        remote_overhead_s: Callable[[str], float],
    ) -> None:
        self._work_s = group.work_s
        self._wait_s_by_cell: dict[str, float] = {}
        self._share_s_by_cell: dict[str, float] = {}
        needs_cpu = group.step.needs.cpu_milli
        for load in loads:
            self._wait_s_by_cell[load.cell] = load.wait_before_s(
                group.priority, group.due_s
            ) + remote_overhead_s(load.cell)
            share_s = group.work_s * needs_cpu / load.weighted_cpu_milli
            self._share_s_by_cell[load.cell] = share_s

    def assign(self) -> tuple[str, float]:
        """Assigns a task to the cell with the shortest queueing time.

        Returns:
            The cell, and the expected time until the task ends, in seconds.
        """
        waits = self._wait_s_by_cell
        cell = min(waits, key=waits.__getitem__)
        waits[cell] += self._share_s_by_cell[cell]
        return cell, waits[cell] + self._work_s


class _FreeCapacityHeap:
    """Back ends with free capacity, ordered by expected end of a task."""

    def __init__(
        self, entries: Iterable[tuple[FreeCapacity, str, float]]
    ) -> None:
        self._heap = [
            (end_s, number, cell, capacity.free_cpu_milli)
            for number, (capacity, cell, end_s) in enumerate(entries)
        ]
        heapq.heapify(self._heap)

    def assign(self, cpu: int) -> tuple[str, float] | None:
        """Assigns a task to the first back end with enough free capacity.

        Args:
            cpu: Processor capacity of the task, in thousandths of a core.

        Returns:
            The cell, and the expected time until the task ends, in seconds,
            or ``None`` when no back end has enough free capacity.
        """
        while self._heap:
            end_s, number, cell, free_cpu_milli = self._heap[0]
            if free_cpu_milli >= cpu:
                remaining = (end_s, number, cell, free_cpu_milli - cpu)
                heapq.heapreplace(self._heap, remaining)
                return cell, end_s
            heapq.heappop(self._heap)
        return None
