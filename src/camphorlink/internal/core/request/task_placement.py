"""Where a waiting task of a durable job starts.

Load that it answers: tasks that take about half of a small back end, on back
ends that differ by more than twice in speed.  Of the back ends with room the
one that ends the task soonest is taken; among equals the one with the least
room left over, which keeps room for tasks that need more.  A back end on the
rack of a task's data comes before faster ones elsewhere.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_monitor import (
    estimate_slowdown,
)
from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.durable_job import DurableJob, Step
from camphorlink.internal.core.request.waiting_tasks import WaitingTask

MS_PER_S = 1000
#: Part of the room that a step takes at once by the users' definition of a
#: job's objective.
WAVE_SHARE = 0.25


def kind_of(runs: BackendRuns) -> str:
    """Returns the kind that a back end names as its first label."""
    return runs.listed.labels[0] if runs.listed.labels else ''


def speed_now(runs: BackendRuns, speeds: RunSpeeds, now: float) -> float:
    """Returns the speed to expect of a back end, by what runs there now."""
    learned = speeds.speed_of(kind_of(runs), runs.listed.backend_id)
    return learned / estimate_slowdown(runs, now)


def objective_s(job: DurableJob, speeds: RunSpeeds, room_cpu: int = 0) -> float:
    """Returns the time within which a job should end, in seconds.

    Args:
        job: The job.
        speeds: Learned run times.
        room_cpu: Processor of all back ends, in thousandths of a core, or 0
            where it is not known: a step wider than a part of it may run in
            waves.
    """
    end_s_by_step: list[float] = []
    for step in job.steps:
        start_s = max((end_s_by_step[prior] for prior in step.after), default=0)
        work_s = speeds.work_s(job.queue, step.estimate_ms / MS_PER_S)
        waves = _waves(step, room_cpu)
        end_s_by_step.append(start_s + work_s * waves)
    longest_s = max(end_s_by_step, default=0)
    return job.slack_factor * longest_s + job.target_ms / MS_PER_S


def _waves(step: Step, room_cpu: int) -> int:
    part_cpu = room_cpu * WAVE_SHARE
    if not part_cpu:
        return 1
    return max(math.ceil(step.width * step.needs.cpu_milli / part_cpu), 1)


class Rated(NamedTuple):
    """A usable back end, and the speed to expect of it now."""

    speed: float
    runs: BackendRuns


class Candidates:
    """Back ends for a few passes, the fastest first.

    Speeds are worked out once; a choice looks no further than the fastest
    ones with room.
    """

    def __init__(
        self,
        usable: Iterable[BackendRuns],
        speeds: RunSpeeds,
        now: float,
    ) -> None:
        """Reads the speeds once."""
        rated = [
            Rated(round(speed_now(runs, speeds, now), 1), runs)
            for runs in usable
        ]
        self._rated = sorted(rated, key=_speed_of, reverse=True)

    def choose(self, entry: WaitingTask, now: float) -> Rated | None:
        """Chooses a usable back end with room for a task, or none."""
        rack = entry.step.rack
        near = self._first_fitting(entry, rack, now) if rack else None
        return near or self._first_fitting(entry, '', now)

    def _first_fitting(
        self,
        entry: WaitingTask,
        rack: str,
        now: float,
    ) -> Rated | None:
        best: Rated | None = None
        for rated in self._rated:
            if best is not None and rated.speed < best.speed:
                break
            is_fuller = best is None or (
                rated.runs.free.cpu_milli < best.runs.free.cpu_milli
            )
            if not is_fuller or not _has_room(entry, rated.runs, rack):
                continue
            if rated.runs.is_usable(now):
                best = rated
        return best


def _speed_of(rated: Rated) -> float:
    return rated.speed


def _has_room(entry: WaitingTask, runs: BackendRuns, rack: str) -> bool:
    cpu, memory, accelerators = entry.needs
    free = runs.free
    return (
        free[0] >= cpu
        and free[1] >= memory
        and free[2] >= accelerators
        and (not rack or rack in runs.listed.labels)
        and _is_allowed(entry, runs)
    )


def _is_allowed(entry: WaitingTask, runs: BackendRuns) -> bool:
    step: Step = entry.step
    if runs.listed.service != entry.job.service:
        return False
    if step.label and step.label not in runs.listed.labels:
        return False
    if not step.max_per_backend:
        return True
    here = sum(
        1
        for task in runs.run_by_task
        if task.job_id == entry.task.job_id and task.step == entry.task.step
    )
    return here < step.max_per_backend
