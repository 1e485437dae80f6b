"""Which cells get the tasks of a transient job.

Loads that it answers: wide jobs, of which each task takes half of a small
back end, and bursts in one zone.  Cells tell their free room every few ms; a
task goes to the back end, of any cell, that would end it soonest, and when
no room is left, to the cell that works its queue off soonest.
"""

from collections.abc import Iterable, Sequence
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
        best: tuple[float, str, int] | None = None
        for cell in usable:
            away_s = 0 if cell == self._home else REMOTE_S
            for place, room in enumerate(self._rooms_by_cell[cell]):
                if room.free_cpu >= needs.cpu_milli:
                    end_s = work_s / room.speed + away_s
                    if best is None or end_s < best[0]:
                        best = (end_s, cell, place)
        if best is not None:
            _, cell, place = best
            rooms = self._rooms_by_cell[cell]
            room = rooms[place]
            left = room.free_cpu - needs.cpu_milli
            rooms[place] = room._replace(free_cpu=left)
            return cell
        if not usable:
            return None
        cell = min(usable, key=lambda name: self._wait_in(name))
        self._wait_s_by_cell[cell] += (
            work_s * needs.cpu_milli / self._cpu_by_cell[cell]
        )
        return cell

    def shortest_wait_s(self, cells: Iterable[str]) -> float:
        """Returns the shortest wait for room in any of the cells."""
        return min((self._wait_in(cell) for cell in cells), default=0)

    def _wait_in(self, cell: str) -> float:
        away_s = 0 if cell == self._home else REMOTE_S
        return self._wait_s_by_cell.get(cell, 0) + away_s


def read_load(plain: Sequence[object]) -> CellLoad:
    """Reads a load as peers send it."""
    cell, term, rooms, wait_s, cpu = plain
    return CellLoad(
        str(cell),
        int(term),  # type: ignore[call-overload]
        tuple(Room(*room) for room in rooms),  # type: ignore[attr-defined]
        float(wait_s),  # type: ignore[arg-type]
        int(cpu),  # type: ignore[call-overload]
    )
