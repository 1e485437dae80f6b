"""Transient jobs between their callers and the owners of cells."""

import asyncio
import math
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from camphorlink.internal.core.connection.backend_commands import ListedBackend
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.cell_choice import (
    CellChoice,
    CellLoad,
)
from camphorlink.internal.core.request.cell_index import CellIndex
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.job_planner import JobPlanner
from camphorlink.internal.core.request.transient_jobs import (
    DropJob,
    GiveTasks,
    JobOver,
    JobRefused,
    TransientEffect,
    TransientJobs,
)
from camphorlink.internal.shell.process.steady_clock import now_s

#: Age of a cell's load after which the cell gets no more tasks, in seconds:
#: a load that stays the same is told every 0.2 s.
LOAD_FRESH_S = 0.45

#: Time after the last word of an owner within which it notices that it has
#: lost this VM and stops what it ran for it, or its leases lapse, in seconds:
#: 0.9 and 0.2 s until it notices, 0.05 s for the stop, and a margin.
LOST_OWNER_S = 1.45

IsLost = Callable[[], bool]
#: Gives an order for a cell to its owner.
SendToCell = Callable[[str, GiveTasks | DropJob], None]


class Coordinator:
    """Runs transient jobs for the callers of this VM.

    Attributes:
        planner: Accepts jobs and chooses their cells.
    """

    def __init__(
        self,
        zone: str,
        speeds: RunSpeeds,
        send_to_cell: SendToCell,
    ) -> None:
        """Takes this VM's zone and the way to the owners of cells."""
        self._choice = CellChoice(zone)
        self.planner = JobPlanner(self._choice, speeds, self._cells_for)
        self._jobs = TransientJobs(self.planner)
        self._send_to_cell = send_to_cell
        self._index = CellIndex()
        self._heard_s_by_cell: dict[tuple[str, str], float] = {}
        self._over_by_id: dict[str, asyncio.Future[JobOver | JobRefused]] = {}
        self._dispatch = self._carry_out

    def _cells_for(self, service: str, step: Step) -> list[str]:
        """Returns the cells that told their load lately and can run a step."""
        now = now_s()
        return [
            cell
            for cell in self._index.cells_with(service, step)
            if now - self._heard_s_by_cell.get((cell, service), -math.inf)
            < LOAD_FRESH_S
        ]

    @property
    def open_jobs(self) -> int:
        """Number of jobs whose callers wait."""
        return len(self._over_by_id)

    def __contains__(self, job_id: str) -> bool:
        """Tells whether a job is open here."""
        return job_id in self._jobs

    def note_listing(self, backends: Iterable[ListedBackend]) -> None:
        """Takes a new list of back ends."""
        self._index = CellIndex(backends)

    def cells_with(self, service: str, step: Step) -> list[str]:
        """Returns the cells with a back end that can run a step's tasks."""
        return self._index.cells_with(service, step)

    def note_load(self, load: CellLoad) -> None:
        """Takes what the owner of a cell says of its load."""
        self._heard_s_by_cell[load.cell, load.service] = now_s()
        self._choice.note_load(load)

    def note_report(self, task: TaskKey, is_done: bool) -> None:
        """Takes what became of a task."""
        self._carry_all(self._jobs.note_report(task, is_done))

    def note_owner(self, cell: str) -> None:
        """Sends the open tasks of a cell to its new owner."""
        self._carry_all(self._jobs.note_owner(cell))

    def note_lost_owner(
        self,
        cell: str,
        silent_s: float,
        is_still_lost: IsLost,
    ) -> None:
        """Moves the tasks of a cell whose owner is gone, once that is safe.

        Args:
            cell: The cell.
            silent_s: For how long nothing was heard of it, in seconds.
            is_still_lost: Tells then whether it has the same owner, and that
                is still gone.
        """
        asyncio.get_running_loop().call_later(
            max(LOST_OWNER_S - silent_s, 0),
            self._move,
            cell,
            is_still_lost,
        )

    def _move(self, cell: str, is_still_lost: IsLost) -> None:
        if is_still_lost():
            self._carry_all(self._jobs.move_tasks(cell))

    async def run(
        self,
        job: DurableJob,
        wait_s: float,
    ) -> JobOver | JobRefused:
        """Runs a job until it has ended.

        Args:
            job: The job.
            wait_s: How long its caller waits.

        Returns:
            Its end, without a state when that did not come in time or no cell
            could go on with it, or its refusal.  A caller that leaves cancels
            the job.
        """
        over: asyncio.Future[JobOver | JobRefused] = (
            asyncio.get_running_loop().create_future()
        )
        self._over_by_id[job.job_id] = over
        try:
            self._carry_all(self._jobs.submit(job))
            return await asyncio.wait_for(over, wait_s)
        except TimeoutError:
            return JobOver(job.job_id, None, self._jobs.objective_s(job.job_id))
        finally:
            if self._over_by_id.get(job.job_id) is over:
                self._over_by_id.pop(job.job_id)
                self._carry_all(self._jobs.drop(job.job_id))

    def _carry_all(self, effects: list[TransientEffect]) -> None:
        for effect in effects:
            self._dispatch(effect)

    @singledispatchmethod
    def _carry_out(self, effect: TransientEffect) -> None:
        raise TypeError(effect)

    @_carry_out.register
    def _send(self, effect: GiveTasks | DropJob) -> None:
        self._send_to_cell(effect.cell, effect)

    @_carry_out.register
    def _end(self, effect: JobOver | JobRefused) -> None:
        over = self._over_by_id.get(effect.job_id)
        if over is not None and not over.done():
            over.set_result(effect)
