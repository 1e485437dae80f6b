"""Which back end a waiting task should go to, and whether to wait for it.

The back ends are unequal, so a free slot is not always a good one: a job
ends with its last task, and its longest task on a slow back end ends late.
A task takes the slowest free slot on which it still ends no later than its
job must take anyway, which leaves the fast slots to those that need them;
when a busy slot promises an earlier end than any free one, the task waits.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.request.job_queue import QueuedJob, WaitingTask

#: How much later than needed a task may end, as a share of its job's time.
SLACK_SHARE = 0.05
MIN_RUN_S = 1e-6
#: A task is not placed where it is expected to take more than this share of
#: the time after which it counts as lost.
SAFE_RUN_SHARE = 0.8


class SlotChoice(NamedTuple):
    """A back end for a task.

    Attributes:
        load: The back end.
        finish_s: When the task is expected to end there, in core seconds.
        must_wait: Whether no slot of it is free now.
        why: Word for the explanation.
    """

    load: BackendLoad
    finish_s: float
    must_wait: bool
    why: str


class SlotSelector:
    """The slots of one service during one pass over its queue.

    Attributes:
        now: Core time of the pass, in seconds.
        free: Free slots that are left.
        held: Slots that this VM may use, free or not.
        speed: Their speed in all.
    """

    def __init__(
        self,
        loads: Iterable[BackendLoad],
        now: float,
        max_run_s: float = math.inf,
    ) -> None:
        """Reads the loads once.

        Args:
            loads: The back ends that serve the service.
            now: Core time in seconds.
            max_run_s: Run time after which a task counts as lost.
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
            # Read once: this runs for every back end at every message.
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
        #: Back ends with free slots, slowest first, and their speeds.
        self._free_loads = sorted(self._free_by_load, key=_speed_of)
        self._free_speeds = [known.speed for known in self._free_loads]

    def choose(self, job: QueuedJob, task: WaitingTask) -> SlotChoice:
        """Chooses for one task of a job; some slot must be free."""
        now = self.now
        fastest = self._free_loads[-1]
        finish_s = now + task.work_s / fastest.speed
        best = SlotChoice(fastest, finish_s, must_wait=False, why='soonest')
        if finish_s - now > self._max_run_s:
            # It would be lost there: waits for a faster one, if any is busy.
            late = best._replace(finish_s=math.inf)
            return (
                self._find_sooner_busy_slot(task, late, min_speed=fastest.speed)
                or best
            )
        needed_finish_s = max(job.finish_s, now + job.work_s / self.speed)
        if needed_finish_s < finish_s:
            # The job waits for this task, so a busy slot may be better.
            best = self._find_sooner_busy_slot(task, best) or best
            needed_finish_s = max(needed_finish_s, best.finish_s)
        latest_finish_s = needed_finish_s + SLACK_SHARE * (
            needed_finish_s - now
        )
        return self._find_slowest_free_slot(task, latest_finish_s) or best

    def take(self, load: BackendLoad) -> None:
        """Notes that a free slot is used."""
        left = self._free_by_load[load] - 1
        self.free -= 1
        self._free_by_load[load] = left
        if left:
            return
        index = self._free_loads.index(load)
        self._free_loads.pop(index)
        self._free_speeds.pop(index)
        self._busy_loads.append(load)

    def reserve(self, choice: SlotChoice, work_s: float) -> None:
        """Notes that a task waits for a slot that is busy now."""
        load = choice.load
        self._ready_s_by_load[load] += work_s / load.speed / max(load.held, 1)

    def _find_sooner_busy_slot(
        self,
        task: WaitingTask,
        best: SlotChoice,
        min_speed: float = 0,
    ) -> SlotChoice | None:
        """Returns the busy slot that ends a task soonest, if sooner.

        Args:
            task: What is to be placed.
            best: What it has to beat.
            min_speed: Speed that the back end must exceed.
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
