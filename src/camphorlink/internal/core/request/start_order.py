"""Order in which the waiting tasks of a cell start.

The load that it is for: peaks of a periodic demand above the capacity.  As long
as all tasks can be on time, the earliest due time starts first.  Tasks of a
higher priority that would be late overtake those of lower priorities; what is
late starts by priority, after all tasks that can be on time.  Late tasks of one
priority count as equally late, so that those of started jobs precede the others: a
job is of use only when its last task ends.
"""

import heapq
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from camphorlink.internal.core.request.share_window import Unit

#: Level of tasks that overtake none; it is lower than each priority.
LEVEL_BY_DUE_TIME = 1000

Head = TypeVar('Head')


class StartKey(NamedTuple):
    """Position of a task in the order; lower ones start first.

    Attributes:
        is_late: Whether the task can no longer be on time.
        level: Priority of a task that overtakes or is late.
        is_unstarted: Whether the task is late and none of its job has started.
        due_s: Due time of the job, in seconds.
        number: Order of arrival, which breaks ties.
    """

    is_late: bool
    level: int
    is_unstarted: bool
    due_s: float
    number: int


def on_time_key(
    priority: int, due_s: float, number: int, horizons: dict[int, float]
) -> StartKey:
    """Returns the position of a task that can be on time.

    Args:
        priority: Priority of the job, where 0 is the highest.
        due_s: Due time of the job, in seconds.
        number: Order of arrival.
        horizons: For each priority that overtakes lower ones, the due time in
            seconds up to which it does.
    """
    overtakes = priority in horizons and due_s <= horizons[priority]
    level = priority if overtakes else LEVEL_BY_DUE_TIME
    return StartKey(False, level, False, due_s, number)  # noqa: WPS425


def late_key(
    priority: int, due_s: float, number: int, has_begun: bool
) -> StartKey:
    """Returns the position of a task that can no longer be on time.

    Args:
        priority: Priority of the job, where 0 is the highest.
        due_s: Due time of the job, in seconds.
        number: Order of arrival.
        has_begun: Whether a task of the job has started.
    """
    return StartKey(True, priority, not has_begun, due_s, number)  # noqa: WPS425


_Heap = list[tuple[StartKey, int, Head]]
#: Returns the unit that must get a guaranteed start, if any.
MostOwed = Callable[[list[Unit]], Unit | None]


class StartHeaps(Generic[Head]):
    """First waiting tasks of all groups, in a common order and by unit."""

    def __init__(self, has_guarantees: bool) -> None:
        """Creates empty heaps.

        Args:
            has_guarantees: Whether units may precede others because of a
                guarantee.
        """
        self._has_guarantees = has_guarantees
        self._heap: _Heap[Head] = []
        self._heap_by_unit: dict[Unit, _Heap[Head]] = {}
        self._taken: set[int] = set()
        self._pushed = 0
        self._owed: Unit | None = None
        self._is_owed_known = False

    def push(self, unit: Unit, key: StartKey, head: Head) -> None:
        """Adds the first task of a group."""
        self._pushed += 1
        ranked = (key, self._pushed, head)
        heapq.heappush(self._heap, ranked)
        if self._has_guarantees:
            heapq.heappush(self._heap_by_unit.setdefault(unit, []), ranked)

    def pop(self, most_owed: MostOwed) -> Head | None:
        """Removes and returns the next task, or ``None`` if there is none.

        Args:
            most_owed: Returns the unit that must get a guaranteed start, if
                any.
        """
        while self._has_guarantees:
            if not self._is_owed_known:
                self._owed = most_owed(list(self._heap_by_unit))
                self._is_owed_known = True
            if self._owed is None:
                break
            head = self._pop_from(self._heap_by_unit[self._owed])
            if head is not None:
                return head
            self._heap_by_unit.pop(self._owed)
            self._is_owed_known = False
        return self._pop_from(self._heap)

    def record_start(self, key: StartKey) -> bool:
        """Records that the task which was returned last has started.

        Args:
            key: Position of the task.

        Returns:
            Whether it preceded others only because its unit has a guarantee.
        """
        self._is_owed_known = False
        if self._owed is None:
            return False
        while self._heap and self._heap[0][1] in self._taken:
            heapq.heappop(self._heap)
        return bool(self._heap) and self._heap[0][0] < key

    def _pop_from(self, heap: _Heap[Head]) -> Head | None:
        while heap:
            _, pushed, head = heapq.heappop(heap)
            if not self._has_guarantees:
                return head
            if pushed not in self._taken:
                self._taken.add(pushed)
                return head
        return None
