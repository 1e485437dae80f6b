"""Guaranteed parts of the processor time that is started in a cell.

The load that it is for: bursts and peaks of a queue of high priority that last
longer than the callers of other queues wait.  Without a guarantee, nothing else
would start.

The owner of a cell counts the processor time that it starts, as all coordinators'
tasks meet there.  Nothing is exchanged between VMs.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

#: Length of the sliding window, in seconds.  It is a little more than callers
#: wait, so that each queue is served while its callers wait.
WINDOW_S = 2.0
#: Step by which the window slides, in seconds.
SLOT_S = 0.1
#: Part of the processor time that each lower priority gets while it waits.
DEFAULT_SHARE = 0.1


class Unit(NamedTuple):
    """Queues that have one guarantee in common.

    Attributes:
        service: Service of the queues.
        queue: A queue with a share of its own, empty for all other queues of
            the priority.
        priority: Priority of these queues, 0 for a queue with a share.
    """

    service: str
    queue: str
    priority: int


def unit_of(
    service: str, queue: str, priority: int, shares: Mapping[str, float]
) -> Unit:
    """Returns the unit of a queue.

    Args:
        service: Service of the queue.
        queue: Name of the queue.
        priority: Priority of the job, where 0 is the highest.
        shares: Shares of the queues that have one.
    """
    if queue in shares:
        return Unit(service, queue, 0)
    return Unit(service, '', priority)


#: Processor time by unit, in microseconds of a core.
_WorkByUnit = Counter[Unit]


class ShareWindow:
    """Counts started processor time by unit over a sliding window."""

    def __init__(self) -> None:
        """Creates a window in which nothing was started."""
        self._work_by_unit: _WorkByUnit = Counter()
        self._work_by_service: Counter[str] = Counter()
        self._slots: deque[tuple[int, _WorkByUnit]] = deque()

    def record_start(self, unit: Unit, work: int, now: float) -> None:
        """Counts a start.

        Args:
            unit: Unit of the task.
            work: Expected processor time of the task, in microseconds of a
                core.
            now: Time in seconds.
        """
        self._slide(now)
        slot = int(now / SLOT_S)
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append((slot, Counter()))
        self._slots[-1][1][unit] += work
        self._work_by_unit[unit] += work
        self._work_by_service[unit.service] += work

    def most_owed(
        self, units: Iterable[Unit], shares: Mapping[str, float], now: float
    ) -> Unit | None:
        """Returns the waiting unit that has got least of its guarantee.

        It is ``None`` if all have got their guaranteed part.

        Args:
            units: Units with waiting tasks.
            shares: Shares of the queues that have one.
            now: Time in seconds.
        """
        self._slide(now)
        highest_by_service: dict[str, int] = {}
        units = list(units)
        for unit in units:
            highest = highest_by_service.get(unit.service, unit.priority)
            highest_by_service[unit.service] = min(highest, unit.priority)
        owed: Unit | None = None
        lowest_ratio = 1.0
        for unit in units:
            share = shares.get(unit.queue, 0)
            if (
                not unit.queue
                and unit.priority > highest_by_service[unit.service]
            ):
                share = DEFAULT_SHARE
            guaranteed = share * self._work_by_service[unit.service]
            if not guaranteed:
                continue
            ratio = self._work_by_unit[unit] / guaranteed
            if ratio < lowest_ratio:
                owed, lowest_ratio = unit, ratio
        return owed

    def _slide(self, now: float) -> None:
        first_slot = int((now - WINDOW_S) / SLOT_S)
        while self._slots and self._slots[0][0] <= first_slot:
            _, ended = self._slots.popleft()
            for unit, work in ended.items():
                self._work_by_service[unit.service] -= work
                self._work_by_unit[unit] -= work
                if not self._work_by_unit[unit]:
                    self._work_by_unit.pop(unit)
