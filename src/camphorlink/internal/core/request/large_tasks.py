"""Reserves back ends for large tasks that smaller ones overtake.

This addresses tasks of 40 cores among many of 25 on back ends of 64 cores.  Of
two small tasks on a back end, one ends first and leaves too little for the large
task, but enough for the next small one, so that the large task never starts
while small ones wait.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_runs import (
    NOTHING_FREE,
    BackendRuns,
)
from camphorlink.internal.core.request.durable_job import Resources, TaskKey
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)

#: Part of its slack after which a task that fits nowhere gets a reservation.
SLACK_PART = 0.25
#: A task is large if it needs this multiple of the mean of the started tasks.
#: With 1.25 and tasks of 25 to 40 cores in equal parts, reservations idled
#: capacity that other tasks needed: 3% fewer small and 4% fewer large ones were
#: in time at 110% load.
LARGE_RATIO = 1.35
#: Weight of a started task in the moving average of their needs.
START_WEIGHT = 1 / 32
#: Back ends of a cell for each one that may be reserved.
BACKENDS_PER_RESERVATION = 8


class Reservation(NamedTuple):
    """A back end that is kept for a waiting task."""

    entry: WaitingTask
    runs: BackendRuns


class LargeTasks:
    """Reservations of one cell for tasks that wait for free capacity."""

    def __init__(self) -> None:
        """Creates an instance without reservations."""
        self._reservation_by_task: dict[TaskKey, Reservation] = {}
        self._waits_since_s: dict[TaskKey, float] = {}
        self._mean_cpu_milli = 0.0

    def record_start(self, needs: Resources) -> None:
        """Records what a started task needs."""
        mean = self._mean_cpu_milli or needs.cpu_milli
        self._mean_cpu_milli = mean + START_WEIGHT * (needs.cpu_milli - mean)

    def release(self, waiting: WaitingTasks, now: float) -> None:
        """Ends the reservations that have no use any more."""
        for task, (entry, runs) in list(self._reservation_by_task.items()):
            if not (
                task in waiting
                and runs.is_usable(now)
                and entry.can_be_on_time(now)
            ):
                self._reservation_by_task.pop(task)
                runs.reserve(None)

    def ready(self) -> list[Reservation]:
        """Returns the reservations whose task fits now."""
        return [
            reservation
            for reservation in self._reservation_by_task.values()
            if reservation.entry.needs.fits_in(_unused(reservation.runs))
        ]

    def reserve_due(
        self,
        firsts: Iterable[WaitingTask],
        backends: list[BackendRuns],
        now: float,
    ) -> int:
        """Reserves back ends for tasks that have waited for too long.

        Args:
            firsts: First waiting task of each kind.
            backends: Usable back ends.
            now: Time in seconds.

        Returns:
            The number of new reservations.
        """
        min_cpu_milli = LARGE_RATIO * self._mean_cpu_milli
        blocked = {
            entry.task: entry
            for entry in firsts
            if entry.needs.cpu_milli >= min_cpu_milli
            and _is_blocked(entry, now)
        }
        self._waits_since_s = {
            task: self._waits_since_s.get(task, now) for task in blocked
        }
        limit = len(backends) // BACKENDS_PER_RESERVATION
        reserved = 0
        for entry in sorted(blocked.values()):
            if len(self._reservation_by_task) >= limit:
                break
            reserved += self._reserve_if_due(entry, backends, now)
        return reserved

    def _reserve_if_due(
        self, entry: WaitingTask, backends: list[BackendRuns], now: float
    ) -> bool:
        since_s = self._waits_since_s[entry.task]
        slack_s = entry.due_s - entry.work_s - since_s
        if (
            entry.task in self._reservation_by_task
            or now - since_s <= SLACK_PART * slack_s
            or any(entry.needs.fits_in(runs.free) for runs in backends)
        ):
            return False
        runs = min(
            (
                candidate
                for candidate in backends
                if candidate.free != NOTHING_FREE
                and candidate.listed.service == entry.job.service
                and entry.needs.fits_in(candidate.listed.capacity)
            ),
            key=lambda candidate: _fits_from_s(entry, candidate),
            default=None,
        )
        if runs is None:
            return False
        runs.reserve(entry.task)
        self._reservation_by_task[entry.task] = Reservation(entry, runs)
        return True


def _is_blocked(entry: WaitingTask, now: float) -> bool:
    """Returns whether a reservation could help a task that waits.

    Tasks with a label or a limit for each back end wait for few back ends,
    whose other tasks are not the cause.
    """
    return (
        entry.can_be_on_time(now)
        and not entry.step.label
        and not entry.step.max_per_backend
        and not entry.assessment.must_run_alone
    )


def _unused(runs: BackendRuns) -> Resources:
    """Returns the capacity that no run uses, reserved or not."""
    unused = runs.listed.capacity
    for run in runs.run_by_task.values():
        unused = unused.minus(run.needs)
    return unused


def _fits_from_s(entry: WaitingTask, runs: BackendRuns) -> float:
    """Returns when a task is expected to fit on a back end, in seconds."""
    unused = _unused(runs)
    fits_s = 0.0
    ends = sorted(
        (run.expected_end_s, run.needs) for run in runs.run_by_task.values()
    )
    for end_s, needs in ends:
        if entry.needs.fits_in(unused):
            return fits_s
        unused = unused.plus(needs)
        fits_s = end_s
    return fits_s if entry.needs.fits_in(unused) else math.inf
