"""Where a waiting task of a durable job starts.

Load that it answers: tasks that take about half of a small back end, on back
ends that differ by more than twice in speed.  Of the back ends with room the
one that ends the task soonest is taken; among equals the one with the least
room left over, which keeps room for tasks that need more.
"""

import math
from collections.abc import Iterable

from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.connection.backend_trust import slowness
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.cell_choice import REMOTE_FACTOR
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
    return learned / slowness(runs, now)


def goal_s(job: DurableJob, speeds: RunSpeeds, room_cpu: int = 0) -> float:
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


def choose_backend(
    entry: WaitingTask,
    usable: Iterable[BackendRuns],
    speeds: RunSpeeds,
    now: float,
) -> BackendRuns | None:
    """Chooses a back end with room for a task, or none."""
    step = entry.step
    best: BackendRuns | None = None
    best_rank = (0.0, 0)
    for runs in usable:
        if not step.needs.fits_in(runs.free) or not _is_allowed(entry, runs):
            continue
        speed = speed_now(runs, speeds, now)
        if step.rack and step.rack not in runs.listed.labels:
            speed /= REMOTE_FACTOR
        rank = (round(speed, 1), -runs.free.cpu_milli)
        if best is None or rank > best_rank:
            best = runs
            best_rank = rank
    return best


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
