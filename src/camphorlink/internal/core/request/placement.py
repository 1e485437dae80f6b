"""Which back end a waiting task should go to, and whether to wait for it.

The back ends are unequal, so a free slot is not always a good one: a job
ends with its last task, and its longest task on a slow back end ends late.
A task takes the slowest free slot on which it still ends no later than its
job must take anyway, which leaves the fast slots to those that need them;
when a busy slot promises an earlier end than any free one, the task waits.
"""

from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.request.queues import QueuedJob, WaitingTask

#: How much later than needed a task may end, as a share of its job's time.
SLACK_SHARE = 0.05


class Choice(NamedTuple):
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


class Slots:
    """The slots of one service during one pass over its queue."""

    def __init__(self, loads: Iterable[BackendLoad], now: float) -> None:
        """Reads the loads once."""
        self.now = now
        self.free_by_load: dict[BackendLoad, int] = {}
        self._ready_by_load: dict[BackendLoad, float] = {}
        self.speed = 0.0
        self.free = 0
        self.held = 0
        for load in loads:
            free = load.free
            self.held += load.held
            self.free += max(free, 0)
            self.speed += load.backend.slots * load.speed
            if free > 0:
                self.free_by_load[load] = free
            elif load.may_free:
                self._ready_by_load[load] = load.next_free_s(now)

    def choose(self, job: QueuedJob, task: WaitingTask) -> Choice | None:
        """Chooses for one task of a job.

        Returns:
            The choice, or ``None`` if nothing serves the task at all.
        """
        fastest = self._fastest_free()
        best = self._soonest(task)
        if fastest is None:
            return best
        now = self.now
        free_finish_s = now + task.work_s / fastest.speed
        need_s = max(job.finish_s, now + job.work_s / self.speed)
        if best is not None and best.finish_s < free_finish_s:
            need_s = max(need_s, best.finish_s)
        else:
            best = Choice(
                fastest, free_finish_s, must_wait=False, why='soonest'
            )
            need_s = max(need_s, free_finish_s)
        limit_s = need_s + SLACK_SHARE * (need_s - now)
        fitting = self._slowest_fitting(task, limit_s)
        return fitting or best

    def take(self, load: BackendLoad) -> None:
        """Notes that a free slot is used."""
        left = self.free_by_load[load] - 1
        self.free -= 1
        if left:
            self.free_by_load[load] = left
            return
        self.free_by_load.pop(load)
        self._ready_by_load[load] = load.next_free_s(self.now)

    def reserve(self, choice: Choice, work_s: float) -> None:
        """Notes that a task waits for a slot that is busy now."""
        load = choice.load
        self._ready_by_load[load] += work_s / load.speed / max(load.held, 1)

    def _fastest_free(self) -> BackendLoad | None:
        return max(self.free_by_load, key=_speed_of, default=None)

    def _soonest(self, task: WaitingTask) -> Choice | None:
        work_s = task.work_s
        soonest: BackendLoad | None = None
        finish_s = float('inf')
        for load, ready_s in self._ready_by_load.items():
            end_s = ready_s + work_s / load.speed
            if end_s < finish_s:
                soonest = load
                finish_s = end_s
        if soonest is None:
            return None
        return Choice(soonest, finish_s, must_wait=True, why='waits')

    def _slowest_fitting(
        self,
        task: WaitingTask,
        limit_s: float,
    ) -> Choice | None:
        least_speed = task.work_s / max(limit_s - self.now, 1e-6)
        slowest: BackendLoad | None = None
        for load in self.free_by_load:
            if load.speed >= least_speed and (
                slowest is None or load.speed < slowest.speed
            ):
                slowest = load
        if slowest is None:
            return None
        finish_s = self.now + task.work_s / slowest.speed
        return Choice(slowest, finish_s, must_wait=False, why='fits')


def _speed_of(load: BackendLoad) -> float:
    return load.speed
