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
REMOTE_S = 0.004
#: Times that a task takes away from its data: the larger of the stated ones.
REMOTE_FACTOR = 2.0


class Room(NamedTuple):
    """Free room on one back end.

    Attributes:
        speed: Its learned speed.
        free_cpu: Processor that is free, in thousandths of a core.
        labels: Its kind and its rack.
    """

    speed: float
    free_cpu: int
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
        late_s: The same for those that can't: they come after.
        power: Processor of its usable back ends times their speeds, in
            thousandths of a core.
        cpu: Processor of its usable back ends, in thousandths of a core.
    """

    cell: str
    service: str
    term: int
    rooms: tuple[Room, ...]
    wait_s: float
    late_s: float
    power: int
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


class Plan(NamedTuple):
    """Cells for the tasks of a step.

    Attributes:
        cells: One for each task.
        end_s: When the last of the tasks is expected to end, from now.
    """

    cells: tuple[str, ...]
    end_s: float


class CellChoice:
    """Free room as last told, less what was given out since."""

    def __init__(self, home: str) -> None:
        """Takes the zone of this VM."""
        self._home = home
        self._load_by_cell: dict[tuple[str, str], CellLoad] = {}

    def note_load(self, load: CellLoad) -> None:
        """Takes what an owner says of its cell."""
        self._load_by_cell[load.cell, load.service] = load

    def plan(
        self,
        group: TaskGroup,
        cells: Iterable[str],
    ) -> Plan | None:
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
        rooms = self._rooms(group, loads)
        queues = _Queues(group, loads, self._away_s)
        needs_cpu = group.step.needs.cpu_milli
        placed = [
            rooms.take(needs_cpu) or queues.take() for _ in range(group.width)
        ]
        return Plan(
            tuple(cell for cell, _ in placed),
            max(end_s for _, end_s in placed),
        )

    def _rooms(self, group: TaskGroup, loads: list[CellLoad]) -> '_RoomHeap':
        label = group.step.label
        return _RoomHeap(
            (room, load.cell, self._end_s(group, room, load.cell))
            for load in loads
            for room in load.rooms
            if not label or label in room.labels
        )

    def count(self, plan: Plan, group: TaskGroup) -> None:
        """Counts the tasks of a plan until owners tell their load anew."""
        needs_cpu = group.step.needs.cpu_milli
        for cell in plan.cells:
            load = self._load_by_cell[cell, group.service]
            fitting = [
                room for room in load.rooms if room.free_cpu >= needs_cpu
            ]
            if fitting:
                room = max(fitting)
                rooms = list(load.rooms)
                left = room.free_cpu - needs_cpu
                rooms[rooms.index(room)] = room._replace(free_cpu=left)
                load = load._replace(rooms=tuple(rooms))
            else:
                share = group.work_s * needs_cpu / load.power
                load = load._replace(wait_s=load.wait_s + share)
            self._load_by_cell[cell, group.service] = load

    def cpu_of(self, service: str, cells: Iterable[str]) -> int:
        """Returns the processor of a service's back ends, in thousandths."""
        return sum(load.cpu for load in self._loads(service, cells))

    def whole_wait_s(self, service: str, cells: Iterable[str]) -> float:
        """Returns the shortest time to work a cell's whole queue off."""
        return min(
            (load.wait_s + load.late_s for load in self._loads(service, cells)),
            default=0,
        )

    def _loads(
        self,
        service: str,
        cells: Iterable[str],
    ) -> Iterator[CellLoad]:
        for cell in cells:
            load = self._load_by_cell.get((cell, service))
            if load is not None and load.power:
                yield load

    def _end_s(self, group: TaskGroup, room: Room, cell: str) -> float:
        rack = group.step.rack
        is_near = not rack or rack in room.labels
        factor = 1 if is_near else REMOTE_FACTOR
        return group.work_s * factor / room.speed + self._away_s(cell)

    def _away_s(self, cell: str) -> float:
        return 0 if cell == self._home else REMOTE_S


class _Queues:
    """What waits in each cell, with what is added to it."""

    def __init__(
        self,
        group: TaskGroup,
        loads: Iterable[CellLoad],
        away_s: Callable[[str], float],
    ) -> None:
        self._work_s = group.work_s
        self._wait_s_by_cell: dict[str, float] = {}
        self._share_s_by_cell: dict[str, float] = {}
        needs_cpu = group.step.needs.cpu_milli
        for load in loads:
            self._wait_s_by_cell[load.cell] = load.wait_s + away_s(load.cell)
            share_s = group.work_s * needs_cpu / load.power
            self._share_s_by_cell[load.cell] = share_s

    def take(self) -> tuple[str, float]:
        """Queues a task where it waits least; returns when it ends."""
        waits = self._wait_s_by_cell
        cell = min(waits, key=waits.__getitem__)
        waits[cell] += self._share_s_by_cell[cell]
        return cell, waits[cell] + self._work_s


class _RoomHeap:
    """Back ends with room, the one that ends a task soonest first."""

    def __init__(self, entries: Iterable[tuple[Room, str, float]]) -> None:
        self._heap = [
            (end_s, number, cell, room.free_cpu)
            for number, (room, cell, end_s) in enumerate(entries)
        ]
        heapq.heapify(self._heap)

    def take(self, cpu: int) -> tuple[str, float] | None:
        """Takes room for one task; returns its cell and when it ends."""
        while self._heap:
            end_s, number, cell, free_cpu = self._heap[0]
            if free_cpu >= cpu:
                left = (end_s, number, cell, free_cpu - cpu)
                heapq.heapreplace(self._heap, left)
                return cell, end_s
            heapq.heappop(self._heap)
        return None
