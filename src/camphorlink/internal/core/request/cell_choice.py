"""Which cells get the tasks of a transient job.

Loads that it answers: wide jobs, of which each task takes half of a small
back end, and bursts in one zone.  Cells tell their free room every few ms; a
task goes to the back end, of any cell, that would end it soonest, and when
no room is left, to the cell that works its queue off soonest.
"""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.request.durable_job import Resources

#: What a task given to another zone loses on the way, in seconds: there and
#: back at 0.9 ms each, and the owner's work.
REMOTE_S = 0.004


class Room(NamedTuple):
    """Free room on one back end.

    Attributes:
        speed: Its learned speed.
        free_cpu: Processor that is free, in thousandths of a core.
    """

    speed: float
    free_cpu: int


class CellLoad(NamedTuple):
    """What the owner of a cell says of its load.

    Attributes:
        cell: The cell.
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
    term: int
    rooms: tuple[Room, ...]
    wait_s: float
    late_s: float
    power: int
    cpu: int


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
        self._load_by_cell: dict[str, CellLoad] = {}

    def note_load(self, load: CellLoad) -> None:
        """Takes what an owner says of its cell."""
        self._load_by_cell[load.cell] = load

    def plan(
        self,
        width: int,
        needs: Resources,
        work_s: float,
        cells: Iterable[str],
    ) -> Plan | None:
        """Chooses the cells for like tasks; nothing is counted yet.

        Args:
            width: Number of tasks.
            needs: What each takes.
            work_s: Run time of each at speed 1, in seconds.
            cells: Cells that can be reached.

        Returns:
            The plan, or ``None`` when no cell has a usable back end.
        """
        usable = [cell for cell in cells if self._power_of(cell)]
        if not usable:
            return None
        rooms = _RoomHeap(
            (room, cell, work_s / room.speed + self._away_s(cell))
            for cell in usable
            for room in self._load_by_cell[cell].rooms
        )
        wait_s_by_cell = {cell: self._wait_in(cell) for cell in usable}
        chosen: list[str] = []
        last_end_s = 0.0
        for _ in range(width):
            found = rooms.take(needs.cpu_milli)
            if found is None:
                cell = min(wait_s_by_cell, key=wait_s_by_cell.__getitem__)
                share = work_s * needs.cpu_milli / self._power_of(cell)
                wait_s_by_cell[cell] += share
                end_s = wait_s_by_cell[cell] + work_s
            else:
                cell, end_s = found
            chosen.append(cell)
            last_end_s = max(last_end_s, end_s)
        return Plan(tuple(chosen), last_end_s)

    def count(self, plan: Plan, needs: Resources, work_s: float) -> None:
        """Counts the tasks of a plan until owners tell their load anew."""
        for cell in plan.cells:
            load = self._load_by_cell[cell]
            fitting = [
                room for room in load.rooms if room.free_cpu >= needs.cpu_milli
            ]
            if fitting:
                room = max(fitting)
                left = room.free_cpu - needs.cpu_milli
                rooms = list(load.rooms)
                rooms[rooms.index(room)] = room._replace(free_cpu=left)
                load = load._replace(rooms=tuple(rooms))
            else:
                share = work_s * needs.cpu_milli / load.power
                load = load._replace(wait_s=load.wait_s + share)
            self._load_by_cell[cell] = load

    def cpu_of(self, cells: Iterable[str]) -> int:
        """Returns the processor of all back ends of cells, in thousandths."""
        return sum(
            load.cpu for cell in cells if (load := self._load_by_cell.get(cell))
        )

    def whole_wait_s(self, cells: Iterable[str]) -> float:
        """Returns the shortest time to work a cell's whole queue off."""
        return min(
            (
                load.wait_s + load.late_s
                for cell in cells
                if (load := self._load_by_cell.get(cell))
            ),
            default=0,
        )

    def _power_of(self, cell: str) -> int:
        load = self._load_by_cell.get(cell)
        return 0 if load is None else load.power

    def _wait_in(self, cell: str) -> float:
        return self._load_by_cell[cell].wait_s + self._away_s(cell)

    def _away_s(self, cell: str) -> float:
        return 0 if cell == self._home else REMOTE_S


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
