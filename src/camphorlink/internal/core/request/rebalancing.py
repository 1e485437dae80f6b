"""Chooses waiting tasks of a cell that are to run in another cell.

Coordinators place tasks by load reports that are some milliseconds old.  A task
then waits in one cell although another has free capacity: with periodic demand
whose phases differ by zone, after a zone has lost a third of its back ends, and
when many coordinators have reserved the same capacity from the same report.

The owner of the cell returns tasks that cannot start there in time and that fit
in free capacity which another cell has reported.  Several owners may see that
capacity, so that each uses a part of its back ends, and a report only once.
"""

import heapq
import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from camphorlink.internal.core.request.cell_selector import (
    REMOTE_DATA_FACTOR,
    REMOTE_OVERHEAD_S,
    CellLoad,
    FreeCapacity,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.waiting_tasks import WaitingTask

#: Largest numbers of waiting tasks and of back ends of other cells, the fastest
#: ones, that a decision considers.  They bound its processor time; the back ends
#: have room for about 100 tasks, and the next report offers others.
MAX_CONSIDERED = 128
MAX_SLOTS = 32
#: Time from a return until the other cell has the task, in seconds: three messages
#: of 0.9 ms and their processing.  A report that is received earlier does not show
#: the task.
RETURN_DURATION_S = 0.01
#: Lower bound of the speed that work is divided by.
MIN_SPEED = 0.05


class ReportedLoad(NamedTuple):
    """The newest load of a cell that this VM has received.

    Attributes:
        load: The load.
        received_s: Time of its reception, in seconds.
    """

    load: CellLoad
    received_s: float


class CellQueue(NamedTuple):
    """What an owner knows of its own cell, for one service.

    Attributes:
        load: The load that it has reported last.
        waiting: Tasks that wait for free capacity.
        is_movable: Returns whether one of them may be returned.
        run_ends: Expected end in seconds and processor capacity, in thousandths
            of a core, of each run.
    """

    load: CellLoad
    waiting: Sequence[WaitingTask]
    is_movable: Callable[[WaitingTask], bool]
    run_ends: Iterable[tuple[float, int]]


class _Delayed(NamedTuple):
    """A waiting task that cannot start here in time.

    Attributes:
        entry: The task.
        end_s: Time at which it is expected to end here, in seconds.
    """

    entry: WaitingTask
    end_s: float


class _Slot(NamedTuple):
    """A back end of another cell with free capacity."""

    load: CellLoad
    capacity: FreeCapacity

    def fits(self, entry: WaitingTask) -> bool:
        """Returns whether a task fits in the free capacity."""
        label = entry.step.label
        return entry.needs.cpu_milli <= self.capacity.free_cpu_milli and (
            not label or label in self.capacity.labels
        )

    def duration_s(self, entry: WaitingTask) -> float:
        """Returns the time until a returned task ends here, in seconds."""
        rack = entry.step.rack
        is_near = not rack or rack in self.capacity.labels
        factor = 1 if is_near else REMOTE_DATA_FACTOR
        run_s = entry.work_s * factor / max(self.capacity.speed, MIN_SPEED)
        return RETURN_DURATION_S + REMOTE_OVERHEAD_S + run_s

    def reserve(self, entry: WaitingTask) -> '_Slot':
        """Returns the back end with a task on it."""
        free = self.capacity.free_cpu_milli - entry.needs.cpu_milli
        return self._replace(
            capacity=self.capacity._replace(free_cpu_milli=free)
        )


class Rebalancer:
    """Chooses the tasks that one cell returns because it is overloaded."""

    def __init__(self) -> None:
        """Creates the decision; no report was used."""
        self._used_s_by_cell: dict[tuple[str, str], float] = {}

    def choose(
        self,
        queue: CellQueue,
        others: Sequence[ReportedLoad],
        now: float,
    ) -> dict[TaskKey, str]:
        """Returns the tasks to return, each with the cell that has room for it.

        Args:
            queue: Tasks that wait in this cell for a service.
            others: Newest loads of the other cells for the service.
            now: Time in seconds.
        """
        smallest_cpu = min(
            (entry.needs.cpu_milli for entry in queue.waiting), default=math.inf
        )
        slots = heapq.nlargest(
            MAX_SLOTS,
            (
                slot
                for slot in self._list_slots(queue.load.cell, others)
                if slot.capacity.free_cpu_milli >= smallest_cpu
            ),
            key=_speed_of,
        )
        if not slots:
            return {}
        target_by_task = {}
        for delayed in _find_delayed(queue, now):
            slot = _take_slot(slots, delayed, now)
            if slot is not None:
                key = (slot.load.cell, slot.load.service)
                self._used_s_by_cell[key] = now
                target_by_task[delayed.entry.task] = slot.load.cell
        return target_by_task

    def _list_slots(
        self, cell: str, others: Sequence[ReportedLoad]
    ) -> list[_Slot]:
        """Returns the part of other cells' free back ends that a cell uses.

        The owners of all cells with waiting tasks divide the back ends of each
        report among them.  Its content sets who gets the first one, so that it is
        not always the same owner.
        """
        owners = _waiting_cells(others) | {cell}
        rank = sorted(owners).index(cell)
        return [
            _Slot(report.load, free)
            for report in others
            if self._is_unused(report)
            for number, free in enumerate(
                report.load.free_capacities, _checksum(report.load)
            )
            if number % len(owners) == rank
        ]

    def _is_unused(self, report: ReportedLoad) -> bool:
        """Returns whether a report came after the last use of its cell."""
        key = (report.load.cell, report.load.service)
        used_s = self._used_s_by_cell.get(key, -math.inf)
        return report.received_s >= used_s + RETURN_DURATION_S


def _speed_of(slot: _Slot) -> float:
    return slot.capacity.speed


def _waiting_cells(reports: Iterable[ReportedLoad]) -> set[str]:
    return {
        load.cell for load, _ in reports if load.wait_s + load.late_wait_s > 0
    }


def _checksum(load: CellLoad) -> int:
    return sum(free.free_cpu_milli for free in load.free_capacities)


def _find_delayed(queue: CellQueue, now: float) -> list[_Delayed]:
    """Returns the movable tasks that cannot start in time, by due time.

    Tasks that are late already start after all others.
    """
    considered = sorted(
        (not entry.can_be_on_time(now), entry)
        for entry in queue.waiting[:MAX_CONSIDERED]
    )
    entries = [entry for _, entry in considered]
    starts_s = _expected_starts_s(entries, queue, now)
    return [
        _Delayed(entry, start_s + entry.work_s)
        for entry, start_s in zip(entries, starts_s, strict=True)
        if start_s + entry.work_s > entry.due_s and queue.is_movable(entry)
    ]


def _expected_starts_s(
    entries: Iterable[WaitingTask], queue: CellQueue, now: float
) -> Iterator[float]:
    """Yields the time at which each task is expected to start, in order.

    A task starts when the runs that have ended leave capacity for it and all
    tasks before it, and the cell has had the time to process these.
    """
    run_ends = iter(sorted(queue.run_ends))
    cpu_milli = queue.load.weighted_cpu_milli
    free_s = now
    missing_cpu = 0
    work = 0.0
    for entry in entries:
        missing_cpu += entry.needs.cpu_milli
        while missing_cpu > 0:
            end_s, ended_cpu = next(run_ends, (free_s, missing_cpu))
            free_s = max(free_s, end_s)
            missing_cpu -= ended_cpu
        processed_s = now + work / cpu_milli if cpu_milli else math.inf
        yield max(free_s, processed_s)
        work += entry.needs.cpu_milli * entry.work_s


def _take_slot(
    slots: list[_Slot], delayed: _Delayed, now: float
) -> _Slot | None:
    """Reserves the back end on which a task ends first, if sooner than here.

    Args:
        slots: Back ends in the order of their speeds, the fastest first.
        delayed: The task.
        now: Time in seconds.
    """
    entry = delayed.entry
    fitting = (number for number, slot in enumerate(slots) if slot.fits(entry))
    chosen = next(fitting, None)
    if chosen is None:
        return None
    if entry.step.rack:
        chosen = min(
            itertools.chain((chosen,), fitting),
            key=lambda number: slots[number].duration_s(entry),
        )
    slot = slots[chosen]
    if now + slot.duration_s(entry) >= delayed.end_s:
        return None
    slots[chosen] = slot.reserve(entry)
    return slot
