"""Which cells get the tasks of a transient job.

Loads that it answers: wide jobs, of which each task takes half of a small
back end, and bursts in one zone.  Cells tell their free room every few ms; a
task goes to the back end, of any cell, that would end it soonest, and when
no room is left, to the cell that works its queue off soonest.
"""

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
        wait_s: Time until waiting tasks will have started, in seconds.
        cpu: Processor of all its usable back ends, in thousandths of a core.
    """

    cell: str
    term: int
    rooms: tuple[Room, ...]
    wait_s: float
    cpu: int


class _Place(NamedTuple):
    """Room for a task: when it would end there, and where that is."""

    end_s: float
    cell: str
    number: int


class CellChoice:
    """Free room as last told, less what was given out since."""

    def __init__(self, home: str) -> None:
        """Takes the zone of this VM."""
        self._home = home
        self._rooms_by_cell: dict[str, list[Room]] = {}
        self._wait_s_by_cell: dict[str, float] = {}
        self._cpu_by_cell: dict[str, int] = {}

    def note_load(self, load: CellLoad) -> None:
        """Takes what an owner says of its cell."""
        self._rooms_by_cell[load.cell] = list(load.rooms)
        self._wait_s_by_cell[load.cell] = load.wait_s
        self._cpu_by_cell[load.cell] = load.cpu

    def choose(
        self,
        needs: Resources,
        work_s: float,
        cells: Iterable[str],
    ) -> str | None:
        """Chooses the cell for one task, and counts it there.

        Args:
            needs: What the task takes.
            work_s: Its run time at speed 1, in seconds.
            cells: Cells that can be reached.
        """
        usable = [cell for cell in cells if self._cpu_by_cell.get(cell)]
        found = self._soonest(needs, work_s, usable)
        if found is not None:
            self._take_room(found, needs)
            return found.cell
        if not usable:
            return None
        shortest = min(usable, key=self._wait_in)
        share_s = work_s * needs.cpu_milli / self._cpu_by_cell[shortest]
        self._wait_s_by_cell[shortest] += share_s
        return shortest

    def _soonest(
        self,
        needs: Resources,
        work_s: float,
        cells: Iterable[str],
    ) -> '_Place | None':
        return min(
            (
                _Place(work_s / room.speed + self._away_s(cell), cell, number)
                for cell in cells
                for number, room in enumerate(self._rooms_by_cell[cell])
                if room.free_cpu >= needs.cpu_milli
            ),
            default=None,
        )

    def _take_room(self, place: '_Place', needs: Resources) -> None:
        rooms = self._rooms_by_cell[place.cell]
        room = rooms[place.number]
        left = room.free_cpu - needs.cpu_milli
        rooms[place.number] = room._replace(free_cpu=left)

    def shortest_wait_s(self, cells: Iterable[str]) -> float:
        """Returns the shortest wait for room in any of the cells."""
        return min((self._wait_in(cell) for cell in cells), default=0)

    def _wait_in(self, cell: str) -> float:
        return self._wait_s_by_cell.get(cell, 0) + self._away_s(cell)

    def _away_s(self, cell: str) -> float:
        return 0 if cell == self._home else REMOTE_S
