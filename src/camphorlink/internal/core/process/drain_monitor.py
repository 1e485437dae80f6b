"""Applies the zone drains to one cell, and logs the progress of its drain.

This addresses the maintenance of a zone's back ends under full load; see
``zone_drains``.
"""

import math
from collections.abc import Callable

from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CountEvent,
    LogEvent,
)
from camphorlink.internal.core.process.predecessor import Predecessor
from camphorlink.internal.core.process.run_registry import RunRegistry
from camphorlink.internal.core.process.transient_assignments import (
    TransientAssignments,
)
from camphorlink.internal.core.request.returned_tasks import ReturnReason
from camphorlink.internal.core.request.task_placement import MS_PER_S
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks
from camphorlink.internal.core.version.zone_drains import (
    UNKNOWN_DRAINS,
    ZoneDrains,
    may_start,
)


class DrainMonitor:
    """Decides whether tasks may start in a cell, by the drains of the site."""

    def __init__(
        self,
        cell: str,
        registry: RunRegistry,
        predecessor: Predecessor,
        effects: list[CellEffect],
        get_drains: Callable[[], ZoneDrains],
    ) -> None:
        """Creates a monitor; nothing may start before the first refresh.

        Args:
            cell: Name of the cell, which is that of its zone.
            registry: Runs of the term.
            predecessor: Back ends that an earlier owner commanded.
            effects: List that log entries and counts are appended to.
            get_drains: Returns the zone drains as last read.
        """
        self._cell = cell
        self._registry = registry
        self._predecessor = predecessor
        self._effects = effects
        self._get_drains = get_drains
        self._drains = UNKNOWN_DRAINS
        self._requested_s: float | None = None
        self._last_start_s = -math.inf
        self._is_empty = False
        self._examined_count = -1

    @property
    def may_start(self) -> bool:
        """Whether a task may start in the cell."""
        return may_start(self._cell, self._drains)

    def refresh(self, now: float) -> None:
        """Applies the drains as last read, however old they are.

        A part of the store may be down for seconds while the rest confirms the
        owner; the zone must go on meanwhile.
        """
        drains = self._get_drains()
        self._drains = drains
        if not drains.is_known:
            return
        requested_s = drains.requested_s_by_zone.get(self._cell)
        if requested_s == self._requested_s:
            return
        self._requested_s = requested_s
        self._is_empty = False
        self._examined_count = -1
        if requested_s is None:
            self._log('Zone drain cancelled.')
            return
        self._log(
            'Zone drain requested.', runs=len(self._registry.backends_by_task)
        )
        has_started = self._last_start_s > -math.inf
        self._log(
            'Last start before the zone drain.',
            age_ms=_in_ms(now - self._last_start_s) if has_started else None,
        )

    def record_start(self, now: float) -> None:
        """Records that a task was started."""
        self._last_start_s = now

    def return_waiting(
        self, waiting: WaitingTasks, assignments: TransientAssignments
    ) -> None:
        """Returns the waiting transient tasks of a drained cell.

        Durable tasks stay in the queue, so that it is examined again only after
        a task was added.
        """
        is_drained = self._cell in self._drains.requested_s_by_zone
        if not is_drained or self._examined_count == waiting.added_count:
            return
        self._examined_count = waiting.added_count
        assignments.return_tasks(
            [entry.task for entry in waiting], ReturnReason.ZONE_DRAINED
        )

    def check_empty(self, now: float) -> None:
        """Logs once that the drained cell has no run left."""
        if self._requested_s is None or self._is_empty:
            return
        registry = self._registry
        if registry.backends_by_task or registry.unclaimed_runs:
            return
        if self._predecessor.is_settled(now):
            self._is_empty = True
            self._effects.append(CountEvent('zone_drains', 'emptied'))
            self._log(
                'Drained zone has no run left.',
                age_ms=_in_ms(now - self._requested_s),
            )

    def _log(self, event: str, **facts: object) -> None:
        self._effects.append(LogEvent(event, facts))


def _in_ms(duration_s: float) -> int:
    return round(duration_s * MS_PER_S)
