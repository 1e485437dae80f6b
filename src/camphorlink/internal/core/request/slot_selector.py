"""Selection of a back-end slot for each waiting task.

The back ends differ in speed.  A job completes with its last task, so a long
task on a slow back end delays the whole job.  A task is assigned to the
slowest free slot on which it does not delay its job, which leaves the faster
slots to longer tasks.  If a busy slot is expected to finish the task earlier
than any free slot, and the job depends on it, the task waits for that slot.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.request.job_queue import QueuedJob, WaitingTask

#: Delay that a task may cause to its job, as a share of the job's remaining
#: time.
SLACK_SHARE = 0.05
MIN_RUN_S = 1e-6
#: A task is not assigned to a back end on which its expected run time exceeds
#: this share of the timeout after which it counts as lost.
SAFE_RUN_SHARE = 0.8


class SlotChoice(NamedTuple):
    """Back end that was selected for a task.

    Attributes:
        load: Load of the back end.
        finish_s: Core time at which the task is expected to finish there, in
            seconds.
        must_wait: Whether the task has to wait for a busy slot.
        why: Reason for the selection, as recorded with the placement.
    """

    load: BackendLoad
    finish_s: float
    must_wait: bool
    why: str


class SlotSelector:
    """Selects slots for the tasks of one service in one pass over its queue.

    Attributes:
        now: Core time of the pass, in seconds.
        free: Slots that are still free.
        held: Slots that this VM may use, including those in use.
        speed: Sum of the speeds of these slots.
    """

    def __init__(
        self,
        loads: Iterable[BackendLoad],
        now: float,
        max_run_s: float = math.inf,
    ) -> None:
        """Reads the free slots and speeds from the loads.

        Args:
            loads: Loads of the back ends that serve the service.
            now: Core time in seconds.
            max_run_s: Timeout after which a task counts as lost, in seconds.
        """
        self.now = now
        self._max_run_s = max_run_s * SAFE_RUN_SHARE
        self.speed = 0.0
        self.free = 0
        self.held = 0
        self._free_by_load: dict[BackendLoad, int] = {}
        self._busy_loads: list[BackendLoad] = []
        self._ready_s_by_load: dict[BackendLoad, float] = {}
        for load in loads:
            # Cached, as this runs for each back end at each message.
            held = load.held
            self.held += held
            self.speed += held * load.speed
            if not load.is_usable:
                continue
            free = min(held, load.limit) - load.in_flight
            if free > 0:
                self._free_by_load[load] = free
                self.free += free
            elif held > 0:
                self._busy_loads.append(load)
        # Back ends with free slots, slowest first, and their speeds.
        self._free_loads = sorted(self._free_by_load, key=_speed_of)
        self._free_speeds = [free_load.speed for free_load in self._free_loads]

    def choose(self, job: QueuedJob, task: WaitingTask) -> SlotChoice:
        """Selects a slot for a task; at least one slot must be free.

        Args:
            job: Job of the task.
            task: Task to be placed.
        """
        now = self.now
        fastest = self._free_loads[-1]
        finish_s = now + task.work_s / fastest.speed
        best = SlotChoice(fastest, finish_s, must_wait=False, why='soonest')
        if finish_s - now > self._max_run_s:
            # The task would probably time out on any free slot, so it waits for a
            # faster busy slot, if there is one.
            late = best._replace(finish_s=math.inf)
            return (
                self._find_sooner_busy_slot(task, late, min_speed=fastest.speed)
                or best
            )
        needed_finish_s = max(job.finish_s, now + job.work_s / self.speed)
        if needed_finish_s < finish_s:
            # The task determines when the job completes, so a busy slot on a
            # faster back end may be better.
            best = self._find_sooner_busy_slot(task, best) or best
            needed_finish_s = max(needed_finish_s, best.finish_s)
        latest_finish_s = needed_finish_s + SLACK_SHARE * (
            needed_finish_s - now
        )
        return self._find_slowest_free_slot(task, latest_finish_s) or best

    def take(self, load: BackendLoad) -> None:
        """Marks one free slot of a back end as used."""
        free = self._free_by_load[load] - 1
        self.free -= 1
        self._free_by_load[load] = free
        if free:
            return
        index = self._free_loads.index(load)
        self._free_loads.pop(index)
        self._free_speeds.pop(index)
        self._busy_loads.append(load)

    def reserve(self, choice: SlotChoice, work_s: float) -> None:
        """Adds a task that waits for a busy slot to the load of its back end.

        Args:
            choice: Busy slot that was selected.
            work_s: Run time of the task at speed 1, in seconds.
        """
        load = choice.load
        self._ready_s_by_load[load] += work_s / load.speed / max(load.held, 1)

    def _find_sooner_busy_slot(
        self,
        task: WaitingTask,
        best: SlotChoice,
        min_speed: float = 0,
    ) -> SlotChoice | None:
        """Returns the busy slot that finishes a task first.

        Args:
            task: Task to be placed.
            best: Selection whose finish time must be undercut.
            min_speed: Speed that the back end must exceed.

        Returns:
            The slot, or ``None`` if no busy slot finishes before ``best``.
        """
        work_s = task.work_s
        while self._busy_loads:
            load = self._busy_loads.pop()
            self._ready_s_by_load[load] = load.next_free_s(self.now)
        soonest: BackendLoad | None = None
        finish_s = best.finish_s
        for busy, ready_s in self._ready_s_by_load.items():
            end_s = ready_s + work_s / busy.speed
            if end_s < finish_s and busy.speed > min_speed:
                soonest = busy
                finish_s = end_s
        if soonest is None:
            return None
        return SlotChoice(soonest, finish_s, must_wait=True, why='waits')

    def _find_slowest_free_slot(
        self,
        task: WaitingTask,
        latest_finish_s: float,
    ) -> SlotChoice | None:
        run_s = min(latest_finish_s - self.now, self._max_run_s)
        least_speed = task.work_s / max(run_s, MIN_RUN_S)
        index = bisect_left(self._free_speeds, least_speed)
        if index == len(self._free_loads):
            return None
        load = self._free_loads[index]
        finish_s = self.now + task.work_s / load.speed
        return SlotChoice(load, finish_s, must_wait=False, why='fits')


def _speed_of(load: BackendLoad) -> float:
    return load.speed
