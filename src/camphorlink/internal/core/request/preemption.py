"""Choice of runs that are stopped for tasks of the highest priority.

The load that it is for: a burst of a queue with long runs, which fill all back
ends while short urgent jobs arrive.  Their slack is shorter than the time until the
next long run ends.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from operator import itemgetter
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.task_placement import RatedBackend
from camphorlink.internal.core.request.waiting_tasks import (
    Requirements,
    WaitingTask,
    requirements_of,
)

#: Priority whose tasks may preempt runs of the others.
HIGHEST_PRIORITY = 0
#: Waiting tasks that one check examines, in the order of their due times.  It
#: bounds the cost of a check, which is repeated every 0.02 s.
MAX_TASKS = 4
#: Time in seconds without a further check after one that scanned all runs in vain,
#: which takes about 2 ms at 176 back ends.
RECHECK_S = 0.05
#: Part of its expected work up to which a run may be stopped, unless it saves
#: checkpoints.
MAX_DONE_PART = 0.25
#: Shortest time between two preemptions on a back end, in seconds.
PREEMPTION_PERIOD_S = 1.0
#: Time in seconds from a stop command to the start of the next task: the call, and
#: the answer to a lease renewal that lists the end.
STOP_S = 0.03
#: Lower bound of a speed that times are divided by.
MIN_SPEED = 0.05
PERCENT = 100


class Preemption(NamedTuple):
    """A run that is to be stopped.

    Attributes:
        runs: Its back end.
        run: The run.
        task: Waiting task that needs its place.
    """

    runs: BackendRuns
    run: Run
    task: TaskKey


#: Returns the usable back ends that a task may run on.
AllowedBackends = Callable[[WaitingTask], Iterable[RatedBackend]]
#: Returns the job of a task that has not ended.
FindOpen = Callable[[TaskKey], LiveJob | None]


class Preemptions:
    """Chooses runs to stop, and remembers when back ends last had one."""

    def __init__(self, find_open: FindOpen) -> None:
        """Creates the state without preemptions.

        Args:
            find_open: Returns the job of a task that has not ended.
        """
        self._find_open = find_open
        self._last_s_by_backend: dict[str, float] = {}
        self._next_check_s = -math.inf

    def is_check_due(self, now: float) -> bool:
        """Returns whether runs may be chosen again."""
        return now >= self._next_check_s

    def choose(
        self,
        urgent: Iterable[WaitingTask],
        allowed: AllowedBackends,
        now: float,
    ) -> list[Preemption]:
        """Returns the runs to stop for tasks that would otherwise be late.

        Each place that becomes free in time counts for one task only.

        Args:
            urgent: Waiting tasks of the highest priority, in the order of
                their starts.
            allowed: Returns the usable back ends that a task may run on.
            now: Time in seconds.
        """
        self._forget_before(now - PREEMPTION_PERIOD_S)
        chosen: list[Preemption] = []
        used: set[int] = set()
        # A check scans the back ends once, and the runs in vain once at most,
        # for all tasks with the same requirements.
        backends_by_requirements: dict[Requirements, list[RatedBackend]] = {}
        for entry in urgent:
            requirements = requirements_of(entry)
            backends = backends_by_requirements.get(requirements)
            if backends is None:
                backends = list(allowed(entry))
                backends_by_requirements[requirements] = backends
            if not any(
                _can_end_on_time(entry, rated, now) for rated in backends
            ):
                continue
            place = _find_place(entry, backends, used, now)
            if place is None:
                preemption = self._find_run(entry, backends, used, now)
                if preemption is None:
                    backends_by_requirements[requirements] = []
                    self._next_check_s = now + RECHECK_S
                    continue
                chosen.append(preemption)
                backend_id = preemption.runs.listed.backend_id
                self._last_s_by_backend[backend_id] = now
                place = preemption.run.number
            used.add(place)
        return chosen

    def _find_run(
        self,
        entry: WaitingTask,
        backends: Iterable[RatedBackend],
        used: set[int],
        now: float,
    ) -> Preemption | None:
        """Returns the run of the lowest priority that has done least."""
        ranked = [
            ((-live.job.priority, _done_part(run, now)), runs, run)
            for runs, run, live in self._runs_beside(entry, backends, now)
            if run.number not in used and _may_stop(run, live, entry, now)
        ]
        if not ranked:
            return None
        _, runs, run = min(ranked, key=itemgetter(0))
        return Preemption(runs, run, entry.task)

    def _runs_beside(
        self,
        entry: WaitingTask,
        backends: Iterable[RatedBackend],
        now: float,
    ) -> Iterator[tuple[BackendRuns, Run, LiveJob]]:
        """Yields the runs whose places would let a task end on time."""
        in_time = [
            rated.runs
            for rated in backends
            if rated.runs.listed.backend_id not in self._last_s_by_backend
            and _can_end_on_time(entry, rated, now)
        ]
        for runs in in_time:
            for run in runs.run_by_task.values():
                live = self._find_open(run.task)
                if live is not None and _makes_room(entry, runs, run):
                    yield runs, run, live

    def _forget_before(self, oldest_s: float) -> None:
        for backend_id, last_s in list(self._last_s_by_backend.items()):
            if last_s <= oldest_s:
                self._last_s_by_backend.pop(backend_id)


def _find_place(
    entry: WaitingTask,
    backends: Iterable[RatedBackend],
    used: set[int],
    now: float,
) -> int | None:
    """Returns the number of a run that ends before the latest start."""
    for rated in backends:
        work_s = entry.work_s / max(rated.speed, MIN_SPEED)
        latest_start_s = entry.due_s - work_s
        for run in rated.runs.run_by_task.values():
            is_ending = run.state in {RunState.STOPPING, RunState.STOPPED}
            end_s = now if is_ending else _expected_end_s(run, now)
            if (
                end_s <= latest_start_s
                and run.number not in used
                and _makes_room(entry, rated.runs, run)
            ):
                return run.number
    return None


def _can_end_on_time(
    entry: WaitingTask, rated: RatedBackend, now: float
) -> bool:
    work_s = entry.work_s / max(rated.speed, MIN_SPEED)
    return now + STOP_S + work_s <= entry.due_s


def _makes_room(entry: WaitingTask, runs: BackendRuns, run: Run) -> bool:
    return entry.needs.fits_in(runs.free.plus(run.needs))


def _may_stop(run: Run, live: LiveJob, entry: WaitingTask, now: float) -> bool:
    """Returns whether a run may be stopped for a task.

    A job that is due before the task would be started again first.
    """
    if live.job.priority <= HIGHEST_PRIORITY or live.due_s is None:
        return False
    is_known = run.is_started_by_owner and run.expected_s > 0
    if run.state is not RunState.RUNNING or not is_known or run.is_alone:
        return False
    if not run.wants_retry or live.due_s <= entry.due_s:
        return False
    done_part = _done_part(run, now)
    if live.job.steps[run.task.step].checkpoints:
        left_s = run.expected_s * (1 - run.percent / PERCENT)
    elif done_part < MAX_DONE_PART:
        left_s = run.expected_s
    else:
        return False
    return now + STOP_S + entry.work_s + left_s <= live.due_s


def _done_part(run: Run, now: float) -> float:
    """Returns the part of its work that a run has done, from 0 to 1."""
    passed_part = (now - run.started_s) / run.expected_s
    return min(max(passed_part, run.percent / PERCENT), 1.0)


def _expected_end_s(run: Run, now: float) -> float:
    """Returns when a run is expected to end; an overdue one may at any time."""
    return max(run.expected_end_s, now)
