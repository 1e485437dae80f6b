"""Which cells get the tasks of a transient job.

Loads that it answers: wide jobs, of which each task takes half of a small
back end, and bursts in one zone.  Cells tell their free room every few ms; a
task goes to the back end, of any cell, that would end it soonest, and when
no room is left, to the cell that works its queue off soonest.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import Step

#: What a task given to another zone loses on the way, in seconds: there and
#: back at 0.9 ms each, and the owner's work.
REMOTE_OVERHEAD_S = 0.004
#: Times that a task takes away from its data: the larger of the stated ones.
REMOTE_DATA_FACTOR = 2.0


class FreeCapacity(NamedTuple):
    """Free room on one back end.

    Attributes:
        speed: Its learned speed.
        free_cpu_milli: Processor that is free, in thousandths of a core.
        labels: Its kind and its rack.
    """

    speed: float
    free_cpu_milli: int
    labels: tuple[str, ...] = ()


class CellLoad(NamedTuple):
    """What the owner of a cell says of its load, for one service.

    Attributes:
        cell: The cell.
        service: The service.
        term: Term of the owner.
        rooms: Back ends with free room.
        wait_s: Time to work off the waiting tasks that can end in time, in
            seconds.
        late_wait_s: The same for those that can't: they come after.
        power: Processor of its usable back ends times their speeds, in
            thousandths of a core.
        cpu: Processor of its usable back ends, in thousandths of a core.
    """

    cell: str
    service: str
    term: int
    free_capacities: tuple[FreeCapacity, ...]
    wait_s: float
    late_wait_s: float
    weighted_cpu_milli: int
    cpu: int


class TaskGroup(NamedTuple):
    """Like tasks that are to be given to cells.

    Attributes:
        service: Service that runs them.
        step: Their step.
        width: How many they are.
        work_s: Run time of each at speed 1, in seconds.
    """

    service: str
    step: Step
    width: int
    work_s: float


class CellPlan(NamedTuple):
    """Cells for the tasks of a step.

    Attributes:
        cells: One for each task.
        end_s: When the last of the tasks is expected to end, from now.
    """

    cells: tuple[str, ...]
    end_s: float


class CellSelector:
    """Free room as last told, less what was given out since."""

    def __init__(self, home_zone: str) -> None:
        """Takes the zone of this VM."""
        self._home_zone = home_zone
        self._load_by_cell: dict[tuple[str, str], CellLoad] = {}

    def record_load(self, load: CellLoad) -> None:
        """Takes what an owner says of its cell."""
        self._load_by_cell[load.cell, load.service] = load

    def plan(
        self,
        group: TaskGroup,
        cells: Iterable[str],
    ) -> CellPlan | None:
        """Chooses the cells for like tasks; nothing is counted yet.

        Args:
            group: The tasks.
            cells: Cells that can be reached and can run them.

        Returns:
            The plan, or ``None`` when no cell has a usable back end.
        """
        loads = list(self._loads(group.service, cells))
        if not loads:
            return None
        free_capacities = self._free_capacity_heap(group, loads)
        queues = _CellQueues(group, loads, self._remote_overhead_s)
        needs_cpu = group.step.needs.cpu_milli
        placed = [
            free_capacities.assign(needs_cpu) or queues.assign()
            for _ in range(group.width)
        ]
        return CellPlan(
            tuple(cell for cell, _ in placed),
            max(end_s for _, end_s in placed),
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
        """Counts the tasks of a plan until owners tell their load anew."""
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
                load = load._replace(wait_s=load.wait_s + share)
            self._load_by_cell[cell, group.service] = load

    def total_cpu_milli(self, service: str, cells: Iterable[str]) -> int:
        """Returns the processor of a service's back ends, in thousandths."""
        return sum(load.cpu for load in self._loads(service, cells))

    def min_total_wait_s(self, service: str, cells: Iterable[str]) -> float:
        """Returns the shortest time to work a cell's whole queue off."""
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


class _CellQueues:
    """What waits in each cell, with what is added to it."""

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
            self._wait_s_by_cell[load.cell] = load.wait_s + remote_overhead_s(
                load.cell
            )
            share_s = group.work_s * needs_cpu / load.weighted_cpu_milli
            self._share_s_by_cell[load.cell] = share_s

    def assign(self) -> tuple[str, float]:
        """Queues a task where it waits least; returns when it ends."""
        waits = self._wait_s_by_cell
        cell = min(waits, key=waits.__getitem__)
        waits[cell] += self._share_s_by_cell[cell]
        return cell, waits[cell] + self._work_s


class _FreeCapacityHeap:
    """Back ends with room, the one that ends a task soonest first."""

    def __init__(
        self, entries: Iterable[tuple[FreeCapacity, str, float]]
    ) -> None:
        self._heap = [
            (end_s, number, cell, capacity.free_cpu_milli)
            for number, (capacity, cell, end_s) in enumerate(entries)
        ]
        heapq.heapify(self._heap)

    def assign(self, cpu: int) -> tuple[str, float] | None:
        """Takes room for one task; returns its cell and when it ends."""
        while self._heap:
            end_s, number, cell, free_cpu_milli = self._heap[0]
            if free_cpu_milli >= cpu:
                remaining = (end_s, number, cell, free_cpu_milli - cpu)
                heapq.heapreplace(self._heap, remaining)
                return cell, end_s
            heapq.heappop(self._heap)
        return None
