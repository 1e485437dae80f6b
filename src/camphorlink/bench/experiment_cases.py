"""Cases of the placement experiment: their loads, faults and jobs."""

import math
import random
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

MIN_TASK_S = 0.05
MAX_TASK_S = 1.0
LONG_TASK_S = 5.0
LONG_TASK_SHARE = 0.02
MAX_TASKS = 150
WARM_UP_DURATION_S = 5.0
FAULT_AT_S = 10.0
BURST_DURATION_S = 2.0
BURST_FACTOR = 5
TEAMS = ('north', 'south', 'west')
FLOOD_TEAM = 'flood'
ZONES = ('larissa', 'volos', 'trikala')
#: Speeds of the eight back ends of a zone; the fastest is 4 times as fast as
#: the slowest.
SPEEDS = (0.4, 0.57, 0.74, 0.91, 1.09, 1.26, 1.43, 1.6)
SLOTS_PER_BACKEND = 8
ZONE_SPEED = SLOTS_PER_BACKEND * math.fsum(SPEEDS)
#: Mean run time of a task at speed 1: log-uniform, and a share of long tasks.
MEAN_TASK_S = LONG_TASK_SHARE * LONG_TASK_S + (1 - LONG_TASK_SHARE) * (
    (MAX_TASK_S - MIN_TASK_S) / math.log(MAX_TASK_S / MIN_TASK_S)
)


class Case(NamedTuple):
    """Load and fault of one run of the experiment.

    Attributes:
        load: Arriving work, as a share of the total speed of the back ends.
        fault: Name of the fault that is injected at ``FAULT_AT_S``, or empty.
        declared_factor: Largest factor between the declared and the real run
            time of a task, in both directions.
        flood: Additional load from ``FAULT_AT_S`` on, as a share like
            ``load``.
        flood_kind: Kind of the additional load: ``long`` tasks, or jobs of
            one ``team``.
        vm_weights: Weights of the entry VMs of each zone.
    """

    load: float
    fault: str = ''
    declared_factor: float = 1.5
    flood: float = 0.0
    flood_kind: str = ''
    vm_weights: tuple[tuple[float, ...], ...] = ((1, 1, 1), (1, 1, 1), (1, 1))


CASES: Mapping[str, Case] = MappingProxyType(
    {
        'steady-50': Case(0.5),
        'steady-70': Case(0.7),
        'steady-85': Case(0.85),
        'steady-95': Case(0.95),
        'burst': Case(0.5, 'burst'),
        'straggler': Case(0.7, 'straggler'),
        'fails-all': Case(0.7, 'fails-all'),
        'cancel-wave': Case(0.7, 'cancel-wave'),
        'rack-lost': Case(0.5, 'rack-lost'),
        'leaving': Case(0.5, 'leaving'),
        'declared-10x': Case(0.7, declared_factor=10),
        'team-floods': Case(0.5, flood=1, flood_kind='team'),
        'long-flood': Case(0.85, flood=0.5, flood_kind='long'),
        'unequal-vms': Case(
            0.7,
            vm_weights=((1, 1, 0.5), (1, 1, 0.5), (1, 1)),
        ),
        'vm-lost': Case(0.5, 'vm-lost'),
        'zone-cut': Case(0.7, 'zone-cut'),
    }
)


class TaskPlan(NamedTuple):
    """Task of a generated job.

    Attributes:
        work_s: Run time at speed 1, in seconds.
        declared_s: Run time that the caller declares, in seconds.
        task_class: Task class that the caller states.
    """

    work_s: float
    declared_s: float
    task_class: str


class JobPlan(NamedTuple):
    """Generated job that is submitted at a given time.

    Attributes:
        arrival_s: Time of the submission, in seconds.
        zone: Zone to which the job is submitted.
        team: Team of the caller.
        tasks: Tasks of the job.
        kind: ``short``, ``mixed`` (with a long task) or ``flood``.
    """

    arrival_s: float
    zone: str
    team: str
    tasks: tuple[TaskPlan, ...]
    kind: str

    @property
    def ideal_s(self) -> float:
        """Lower bound of the response time in the zone, in seconds."""
        longest_s = max(task.work_s for task in self.tasks)
        total_s = math.fsum(task.work_s for task in self.tasks)
        return max(longest_s / max(SPEEDS), total_s / ZONE_SPEED)


def plan_jobs(case: Case, until_s: float, seed: int) -> list[JobPlan]:
    """Generates the jobs of a case in the order of their arrival.

    Args:
        case: Case with the load.
        until_s: End of the arrivals, in seconds.
        seed: Seed of the random generator.

    Returns:
        Jobs of all zones, sorted by their time of arrival.
    """
    rng = random.Random(seed)
    plans = [
        plan
        for zone in ZONES
        for plan in _draw_zone_jobs(case, zone, until_s, rng)
    ]
    return sorted(plans, key=lambda plan: plan.arrival_s)


def _draw_zone_jobs(
    case: Case,
    zone: str,
    until_s: float,
    rng: random.Random,
) -> Iterator[JobPlan]:
    # Mean of the log-uniform number of tasks that _draw_job draws.
    mean_tasks = (MAX_TASKS - 1) / math.log(MAX_TASKS)
    jobs_per_s = ZONE_SPEED / (mean_tasks * MEAN_TASK_S)
    now = 0.0
    while now < until_s:
        in_burst = (
            case.fault == 'burst' and 0 <= now - FAULT_AT_S < BURST_DURATION_S
        )
        in_flood = now >= FAULT_AT_S
        load = case.load * (1 + in_burst * (BURST_FACTOR - 1))
        flood = case.flood * in_flood
        now += rng.expovariate((load + flood) * jobs_per_s)
        is_flood = rng.random() < flood / (load + flood)
        yield _draw_job(case, zone, now, is_flood, rng)


def _draw_job(
    case: Case,
    zone: str,
    now: float,
    is_flood: bool,
    rng: random.Random,
) -> JobPlan:
    count = int(math.exp(rng.uniform(0, math.log(MAX_TASKS + 1))))
    is_long_flood = is_flood and case.flood_kind == 'long'
    if is_long_flood:
        # A job of long tasks has the same work in fewer tasks.
        count = max(1, round(count * MEAN_TASK_S / LONG_TASK_S))
    tasks = tuple(_draw_task(case, is_long_flood, rng) for _ in range(count))
    is_mixed = any(task.task_class == 'batch' for task in tasks)
    if is_flood:
        return JobPlan(now, zone, FLOOD_TEAM, tasks, 'flood')
    kind = ('short', 'mixed')[is_mixed]
    return JobPlan(now, zone, rng.choice(TEAMS), tasks, kind)


def _draw_task(case: Case, is_long: bool, rng: random.Random) -> TaskPlan:
    factor = case.declared_factor ** rng.uniform(-1, 1)
    if is_long or rng.random() < LONG_TASK_SHARE:
        return TaskPlan(LONG_TASK_S, LONG_TASK_S * factor, 'batch')
    log_range = (math.log(MIN_TASK_S), math.log(MAX_TASK_S))
    work_s = math.exp(rng.uniform(*log_range))
    return TaskPlan(work_s, work_s * factor, 'fix')
