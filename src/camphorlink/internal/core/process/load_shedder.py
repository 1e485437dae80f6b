"""Chooses the waiting transient jobs that a cell gives back under overload."""

import collections
import itertools
import math
from collections.abc import Callable, Iterator, Sequence

from camphorlink.internal.core.connection.backend_runs import (
    NOTHING_FREE,
    BackendRuns,
)
from camphorlink.internal.core.process.transient_job_table import (
    TransientJobTable,
)
from camphorlink.internal.core.request.cell_selector import CellLoad
from camphorlink.internal.core.request.load_shedding import (
    LateShare,
    Place,
    find_late_jobs,
)
from camphorlink.internal.core.request.rebalancing import ReportedLoad
from camphorlink.internal.core.request.task_placement import RatedBackend
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)

#: Period of forecasts while no task is added, in seconds: runs that take longer
#: than expected delay what waits.
FORECAST_PERIOD_S = 0.05
#: The same while tasks are added: a forecast takes up to 0.5 ms.
MIN_FORECAST_PERIOD_S = 0.005
#: Largest number of waiting tasks that a forecast looks at; what a cell keeps that
#: gives back late jobs is far less, unless thousands of durable tasks wait.
MAX_CONSIDERED_TASKS = 512
#: Lower bound of the mean speed that work is divided by: the speeds of back ends
#: that stand still are zero.
MIN_SPEED = 0.05


class LoadShedder:
    """Forecasts which transient jobs of a cell will be late."""

    def __init__(
        self,
        waiting: WaitingTasks,
        transient: TransientJobTable,
        rank_usable: Callable[[float], Sequence[RatedBackend]],
    ) -> None:
        """Creates a shedder.

        Args:
            waiting: Tasks that wait for free capacity.
            transient: Transient jobs of the cell.
            rank_usable: Returns the usable back ends with their speeds.
        """
        self._waiting = waiting
        self._transient = transient
        self._rank_usable = rank_usable
        self._added_count = 0
        self._forecast_s = -math.inf
        self._late_share = LateShare()
        self._late_jobs: frozenset[str] = frozenset()

    def choose(
        self, cell: str, reports: Sequence[ReportedLoad], now: float
    ) -> list[str]:
        """Returns the jobs to give back, by identifier.

        Those that fit in free capacity which another cell has reported are left
        to the rebalancing.

        Args:
            cell: Name of this cell.
            reports: Newest loads of all cells.
            now: Time in seconds.
        """
        added = self._waiting.added_count - self._added_count
        age_s = now - self._forecast_s
        period_s = MIN_FORECAST_PERIOD_S if added else FORECAST_PERIOD_S
        if not self._waiting or age_s < period_s:
            return []
        self._added_count += added
        self._forecast_s = now
        late_jobs = self._find_late(now)
        self._late_share.record(added, self._count_new(late_jobs), now)
        if not self._late_share.is_overload:
            return []
        others = [load for load, _ in reports if load.cell != cell]
        return [
            job_id
            for job_id in late_jobs
            if not any(self._fits(job_id, load) for load in others)
        ]

    def _fits(self, job_id: str, load: CellLoad) -> bool:
        """Returns whether another cell has free capacity for a job's tasks."""
        known = self._transient.get(job_id)
        if known is None or load.service != known.live.job.service:
            return False
        job = known.live.job
        needs = [job.steps[task.step].needs for task in known.open_tasks]
        smallest_cpu = max(min(need.cpu_milli for need in needs), 1)
        places = sum(
            capacity.free_cpu_milli // smallest_cpu
            for capacity in load.free_capacities
        )
        return places >= len(needs)

    def _count_new(self, late_jobs: Sequence[str]) -> int:
        """Returns the number of tasks of jobs that were not late before."""
        known = self._late_jobs
        self._late_jobs = frozenset(late_jobs)
        return sum(
            len(job.open_tasks)
            for job_id in self._late_jobs - known
            if (job := self._transient.get(job_id)) is not None
        )

    def _find_late(self, now: float) -> list[str]:
        waiting_by_service = collections.defaultdict(list)
        late_jobs: dict[str, None] = {}
        for entry in itertools.islice(self._waiting, MAX_CONSIDERED_TASKS):
            job_id = entry.task.job_id
            if entry.can_be_on_time(now):
                waiting_by_service[entry.job.service].append(entry)
            elif job_id not in late_jobs and self._is_stuck(entry, now):
                late_jobs[job_id] = None
        for service, entries in waiting_by_service.items():
            late_jobs.update(
                dict.fromkeys(self._find_late_of_service(service, entries, now))
            )
        return list(late_jobs)

    def _find_late_of_service(
        self, service: str, entries: Sequence[WaitingTask], now: float
    ) -> list[str]:
        usable = [
            rated
            for rated in self._rank_usable(now)
            if rated.runs.listed.service == service
        ]
        capacities = [rated.runs.listed.capacity.cpu_milli for rated in usable]
        # What fits on no back end waits for one, however low the load.
        fitting = [
            entry
            for entry in entries
            if entry.needs.cpu_milli <= max(capacities, default=0)
        ]
        if not fitting:
            return []
        smallest_cpu = min(entry.needs.cpu_milli for entry in fitting)
        places = [
            place
            for rated in usable
            for place in _list_places(rated.runs, smallest_cpu, now)
        ]
        weighted = sum(
            cpu_milli * rated.speed
            for cpu_milli, rated in zip(capacities, usable, strict=True)
        )
        speed = max(weighted / sum(capacities), MIN_SPEED)
        return find_late_jobs(fitting, places, speed, self._may_shed, now)

    def _is_stuck(self, entry: WaitingTask, now: float) -> bool:
        """Returns whether a late job can be given back and has no room here."""
        return self._may_shed(entry.task.job_id) and not any(
            entry.needs.fits_in(rated.runs.free)
            for rated in self._rank_usable(now)
            if rated.runs.listed.service == entry.job.service
        )

    def _may_shed(self, job_id: str) -> bool:
        """Returns whether a transient job has certainly not begun here."""
        known = self._transient.get(job_id)
        return known is not None and not known.may_have_begun(self._waiting)


def _list_places(
    runs: BackendRuns, smallest_cpu: int, now: float
) -> Iterator[Place]:
    """Yields the capacity that is free or becomes free on a back end."""
    free_cpu = runs.free.cpu_milli if runs.free != NOTHING_FREE else 0
    if free_cpu >= smallest_cpu:
        yield Place(now, free_cpu)
        free_cpu = 0
    # A fragment that is too small for a task helps the next one that fits in
    # the place of a run.
    fragment = max(free_cpu, 0) // max(len(runs.run_by_task), 1)
    for run in runs.run_by_task.values():
        end_s = max(run.expected_end_s, now)
        yield Place(end_s, run.needs.cpu_milli + fragment)
