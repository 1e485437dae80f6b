"""Placement of waiting tasks of durable jobs on back ends.

A task is placed on the back end with enough free capacity that is expected to
complete it first.  Among equally fast back ends, the one with the least free
capacity is chosen (best fit), which leaves larger free capacities for tasks
that need more.  A back end on the rack of the task's data is preferred to
faster ones elsewhere.

The placement is designed for tasks that take about half of a small back end,
and for back ends whose speeds differ by more than a factor of two.
"""

import math
import sys
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_monitor import (
    estimate_slowdown,
)
from camphorlink.internal.core.connection.backend_runs import (
    NOTHING_FREE,
    BackendRuns,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
)
from camphorlink.internal.core.request.waiting_tasks import WaitingTask

MS_PER_S = 1000
#: Share of the total capacity that one step may use at once, as the users
#: define a job's response time objective.
WAVE_SHARE = 0.25


def backend_kind(runs: BackendRuns) -> str:
    """Returns the kind of a back end, which is its first label."""
    return runs.listed.labels[0] if runs.listed.labels else ''


def expected_speed(runs: BackendRuns, speeds: RunSpeeds, now: float) -> float:
    """Returns the expected speed of a back end, given its current runs."""
    learned = speeds.speed_of(backend_kind(runs), runs.listed.backend_id)
    return learned / estimate_slowdown(runs, now)


def objective_s(
    job: DurableJob, speeds: RunSpeeds, total_cpu_milli: int = 0
) -> float:
    """Returns the response time objective of a job, in seconds.

    Args:
        job: The job.
        speeds: Learned run times.
        total_cpu_milli: Processor capacity of all back ends, in thousandths
            of a core, or 0 if unknown.  A step that needs more than a share
            of it is expected to run in several waves.
    """
    end_s_by_step: list[float] = []
    for step in job.steps:
        start_s = max((end_s_by_step[prior] for prior in step.after), default=0)
        work_s = speeds.work_s(job.queue, step.estimate_ms / MS_PER_S)
        waves = _waves(step, total_cpu_milli)
        end_s_by_step.append(start_s + work_s * waves)
    longest_s = max(end_s_by_step, default=0)
    return job.slack_factor * longest_s + job.target_ms / MS_PER_S


def _waves(step: Step, total_cpu_milli: int) -> int:
    wave_cpu_milli = total_cpu_milli * WAVE_SHARE
    if not wave_cpu_milli:
        return 1
    return max(math.ceil(step.width * step.needs.cpu_milli / wave_cpu_milli), 1)


class RatedBackend(NamedTuple):
    """A usable back end with its current expected speed."""

    speed: float
    runs: BackendRuns


class Candidates:
    """Usable back ends for a few placement passes, sorted by speed.

    The speeds are computed once.  A choice stops at the fastest back ends
    that have enough free capacity.
    """

    def __init__(
        self,
        usable: Iterable[BackendRuns],
        speeds: RunSpeeds,
        now: float,
    ) -> None:
        """Computes the speeds and sorts the back ends.

        Args:
            usable: Usable back ends.
            speeds: Learned run times and speeds.
            now: Time in seconds.
        """
        rated = [
            RatedBackend(round(expected_speed(runs, speeds, now), 1), runs)
            for runs in usable
        ]
        self._rated = sorted(rated, key=_speed_of, reverse=True)
        self._capacity_by_service: Counter[str] = Counter()
        for speed, runs in rated:
            cpu = runs.listed.capacity.cpu_milli
            self._capacity_by_service[runs.listed.service] += round(cpu * speed)

    @property
    def rated(self) -> Sequence[RatedBackend]:
        """Usable back ends with their speeds, the fastest first."""
        return self._rated

    def most_free(self) -> Resources:
        """Returns an upper bound of the free capacity of each back end."""
        free = [rated.runs.free for rated in self._rated]
        return Resources(
            max((entry.cpu_milli for entry in free), default=-1),
            max((entry.memory_mb for entry in free), default=-1),
            max((entry.accelerators for entry in free), default=-1),
        )

    def capacity_by_service(self) -> Mapping[str, float]:
        """Returns processor capacity times speed, in thousandths of a core."""
        return self._capacity_by_service

    def fastest_speed(self, entry: WaitingTask) -> float:
        """Returns the speed of the fastest back end that a task may run on.

        It is infinite if there is none, since one may appear at any time.
        """
        speeds = (
            rated.speed
            for rated in self._rated
            if rated.runs.listed.service == entry.job.service
            and entry.step.label in {'', *rated.runs.listed.labels}
            and entry.needs.fits_in(rated.runs.listed.capacity)
        )
        return next(speeds, math.inf)

    def allowed(self, entry: WaitingTask, now: float) -> list[RatedBackend]:
        """Returns the back ends that a task may run on when they are empty."""
        return [
            rated
            for rated in self._rated
            if _could_run_alone(entry, rated.runs, now)
        ]

    def choose(self, entry: WaitingTask, now: float) -> RatedBackend | None:
        """Returns the back end for a task, or ``None`` if it fits on none."""
        if entry.assessment.must_run_alone:
            return self._first_empty(entry, now)
        rack = entry.step.rack
        near = self._first_fitting(entry, rack, now) if rack else None
        return near or self._first_fitting(entry, '', now)

    def choose_to_reserve(
        self, entry: WaitingTask, now: float
    ) -> BackendRuns | None:
        """Returns the back end that will be empty first for a task."""
        usable = [
            rated.runs
            for rated in self._rated
            if _could_run_alone(entry, rated.runs, now)
            and rated.runs.free != NOTHING_FREE
        ]
        return min(usable, key=_empty_s, default=None)

    def _first_empty(
        self, entry: WaitingTask, now: float
    ) -> RatedBackend | None:
        for rated in self._rated:
            is_empty = rated.runs.is_empty_for(entry.task)
            if is_empty and _could_run_alone(entry, rated.runs, now):
                return rated
        return None

    def _first_fitting(
        self,
        entry: WaitingTask,
        rack: str,
        now: float,
    ) -> RatedBackend | None:
        best: RatedBackend | None = None
        # Read once: most back ends are full, so that this loop runs for each
        # back end and task.
        needs = entry.needs
        needs_cpu = needs.cpu_milli
        most_cpu = sys.maxsize
        for rated in self._rated:
            if best is not None and rated.speed < best.speed:
                break
            runs = rated.runs
            if (
                needs_cpu <= runs.free.cpu_milli < most_cpu
                and needs.fits_in(runs.free)
                and (not rack or rack in runs.listed.labels)
                and _is_allowed(entry, runs)
                and runs.is_usable(now)
            ):
                best = rated
                most_cpu = runs.free.cpu_milli
        return best


def _speed_of(rated: RatedBackend) -> float:
    return rated.speed


def _could_run_alone(entry: WaitingTask, runs: BackendRuns, now: float) -> bool:
    return (
        entry.needs.fits_in(runs.listed.capacity)
        and _is_allowed(entry, runs)
        and runs.is_usable(now)
    )


def _empty_s(runs: BackendRuns) -> float:
    """Returns when all runs are expected to have ended, in seconds."""
    return max(
        (run.expected_end_s for run in runs.run_by_task.values()),
        default=0,
    )


def _is_allowed(entry: WaitingTask, runs: BackendRuns) -> bool:
    step: Step = entry.step
    if runs.listed.service != entry.job.service:
        return False
    if step.label and step.label not in runs.listed.labels:
        return False
    if not step.max_per_backend:
        return True
    running_here = sum(
        1
        for task in runs.run_by_task
        if task.job_id == entry.task.job_id and task.step == entry.task.step
    )
    return running_here < step.max_per_backend
