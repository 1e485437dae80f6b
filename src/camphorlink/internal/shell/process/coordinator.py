"""Coordinates transient jobs between their callers and the cell owners."""

import asyncio
import collections
import math
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from camphorlink.internal.core.connection.backend_commands import ListedBackend
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.cell_index import CellIndex
from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    CellSelector,
)
from camphorlink.internal.core.request.cell_wait import must_wait
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.job_planner import JobPlanner
from camphorlink.internal.core.request.load_ages import (
    MAX_LOAD_AGE_S,
    prefer_fresh,
)
from camphorlink.internal.core.request.owner_contacts import OwnerContacts
from camphorlink.internal.core.request.rebalancing import ReportedLoad
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)
from camphorlink.internal.core.request.transient_jobs import (
    AssignTasks,
    CellCommand,
    DropJob,
    JobRefused,
    KeepJobs,
    TransientEffect,
    TransientJobEnded,
    TransientJobs,
)
from camphorlink.internal.core.version.zone_drains import ZoneDrains
from camphorlink.internal.shell.process.load_waiters import LoadWaiters
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s
from camphorlink.internal.shell.process.waiting_callers import WaitingCallers

#: Sends a command for a cell to the owner of the cell.
SendToCell = Callable[[str, CellCommand], None]


class Coordinator:
    """Runs transient jobs for the callers of this VM.

    Assigns the tasks of each job to cells, and returns the completion of the
    job to its caller.

    Attributes:
        planner: Admits jobs and chooses their cells.
        contacts: Contacts with the owners of cells.
        selector: Selects cells by their reported load.
        callers: Callers that wait for the end of a job.
    """

    def __init__(
        self,
        zone: str,
        member: str,
        speeds: RunSpeeds,
        send_to_cell: SendToCell,
        get_drains: Callable[[], ZoneDrains],
    ) -> None:
        """Creates the coordinator; it has no jobs.

        Args:
            zone: Availability zone of this VM.
            member: Name of this process.
            speeds: Measured speeds of back ends.
            send_to_cell: Sends a command to the owner of a cell.
            get_drains: Returns the zone drains as last read.
        """
        self.selector = CellSelector(zone, member)
        self.contacts = OwnerContacts(member)
        self.planner = JobPlanner(
            self.selector, speeds, self._cells_with_recent_load
        )
        self._jobs = TransientJobs(self.planner)
        self._send_to_cell = send_to_cell
        self._index = CellIndex()
        self._get_drains = get_drains
        self._load_received_s_by_cell: dict[tuple[str, str], float] = {}
        #: Time of the first load report after a time without any, in seconds.
        self._first_load_s = -math.inf
        self.callers = WaitingCallers()
        self._load_waiters = LoadWaiters()
        self._dispatch = self._carry_out
        self._due_effects: collections.deque[TransientEffect] = (
            collections.deque()
        )
        self._is_carrying_out = False
        self._log = PartLog('coordinator')

    def _cells_with_recent_load(self, service: str, step: Step) -> list[str]:
        """Returns the cells with a recent load that can run a step.

        Drained cells are left out as soon as this VM knows the drain, before
        their owners report it; silent ones, while others can run the step.
        """
        now = now_s()
        age_s_by_cell = {
            cell: now
            - self._load_received_s_by_cell.get((cell, service), -math.inf)
            for cell in self.cells_for_step(service, step)
        }
        return prefer_fresh(age_s_by_cell)

    @property
    def open_job_count(self) -> int:
        """Number of jobs that have a waiting caller."""
        return len(self.callers)

    def __contains__(self, job_id: str) -> bool:
        """Returns whether a job is open on this VM."""
        return job_id in self._jobs

    def update_backends(self, backends: Iterable[ListedBackend]) -> None:
        """Updates the list of back ends."""
        self._index = CellIndex(backends)

    def cells_for_step(self, service: str, step: Step) -> list[str]:
        """Returns the cells with a back end that can run a step's tasks.

        Drained cells are left out.
        """
        drained = self._get_drains().requested_s_by_zone
        return [
            cell
            for cell in self._index.cells_for_step(service, step)
            if cell not in drained
        ]

    def fits_only_drained(self, job: DurableJob) -> bool:
        """Returns whether a step of a job can only run in drained cells."""
        return bool(self._get_drains().requested_s_by_zone) and any(
            self._index.cells_for_step(job.service, step)
            and not self.cells_for_step(job.service, step)
            for step in job.steps
        )

    def record_load(self, load: CellLoad) -> None:
        """Records the load that the owner of a cell reports."""
        now = now_s()
        newest_s = max(self._load_received_s_by_cell.values(), default=0)
        if now - newest_s > MAX_LOAD_AGE_S:
            self._first_load_s = now
        self._load_received_s_by_cell[load.cell, load.service] = now
        self.planner.record_load(load, now)
        self._load_waiters.wake()

    def list_loads(self) -> list[ReportedLoad]:
        """Returns the recent loads of all cells."""
        oldest_s = now_s() - MAX_LOAD_AGE_S
        return [
            ReportedLoad(load, received_s)
            for key, received_s in self._load_received_s_by_cell.items()
            if received_s > oldest_s
            and (load := self.selector.find_load(*key)) is not None
        ]

    def handle_lost_owner(self, cell: str, is_silent: bool) -> None:
        """Assigns no new tasks to a cell until its owner reports a load.

        Args:
            cell: The cell.
            is_silent: Whether its owner is silent.  Otherwise its process has
                ended, and the next owner adopts the runs.
        """
        for key in list(self._load_received_s_by_cell):
            if key[0] == cell:
                self._load_received_s_by_cell.pop(key)
        if is_silent:
            self._carry_out_all(self._jobs.withdraw_lost(cell, now_s()))

    def record_completion(self, task: TaskKey, is_done: bool) -> None:
        """Processes the reported outcome of a task."""
        self._carry_out_all(self._jobs.record_completion(task, is_done))

    def take_back(
        self,
        cell: str,
        returned: Iterable[ReturnedTask],
        reason: ReturnReason,
    ) -> None:
        """Moves tasks that a cell has returned, or withdraws their jobs."""
        self._carry_out_all(
            self._jobs.take_back(cell, returned, reason, now_s())
        )

    def assign_to_new_owner(self, cell: str) -> None:
        """Sends the open tasks of a cell to its new owner."""
        self._carry_out_all(self._jobs.assign_to_new_owner(cell))

    def send_open_tasks(self, cell: str) -> None:
        """Lists the open tasks of a cell for its owner, on a new channel."""
        self._carry_out_all(self._jobs.list_open(cell))

    def move_lost_tasks(self) -> None:
        """Moves tasks from cells that are out of reach, once it is safe.

        Also ends the withdrawn jobs whose cells have not answered.
        """
        now = now_s()
        self._carry_out_all(self._jobs.end_unanswered(now))
        for cell in self._jobs.cells:
            if self.contacts.may_move(cell, now):
                self._log.info(
                    'moving tasks away from a lost owner',
                    extra={'cell': cell, 'jobs': self._jobs.jobs_in_cell(cell)},
                )
                self._carry_out_all(self._jobs.move_tasks(cell))

    async def run(
        self,
        job: DurableJob,
        wait_s: float,
    ) -> TransientJobEnded | JobRefused:
        """Runs a job and returns its completion.

        The job is cancelled if the caller disconnects.

        Args:
            job: The job.
            wait_s: Time that the caller waits, in seconds.

        Returns:
            The completion of the job, or its refusal.  The completion has no
            state if the job did not end in time or no cell could continue it.
        """
        completion = self.callers.add(job.job_id)
        started_s = now_s()
        try:
            await self._load_waiters.wait_while(
                lambda: must_wait(
                    len(
                        self._cells_with_recent_load(job.service, job.steps[0])
                    ),
                    self._index.count_cells(job.service, job.steps[0]),
                    self._first_load_s,
                    now_s(),
                ),
                self.planner.cell_wait_s(job, wait_s),
            )
            passed_s = now_s() - started_s
            self._carry_out_all(
                self._jobs.submit(job, now_s(), wait_s, passed_s)
            )
            return await asyncio.wait_for(completion, wait_s - passed_s)
        except TimeoutError:
            return TransientJobEnded(
                job.job_id, None, self._jobs.objective_s(job.job_id)
            )
        finally:
            if self.callers.remove(job.job_id, completion):
                self._carry_out_all(self._jobs.drop(job.job_id))

    def _carry_out_all(self, effects: list[TransientEffect]) -> None:
        """Carries out effects in the order in which they were decided.

        A cell of this VM may answer an assignment at once.  What follows from
        its answer comes after the effects that were decided before: a drop must
        not precede the assignment that it cancels.
        """
        self._due_effects.extend(effects)
        while self._due_effects:
            self._dispatch(self._due_effects.popleft())

    @singledispatchmethod
    def _carry_out(self, effect: TransientEffect) -> None:
        raise TypeError(effect)

    @_carry_out.register
    def _send(self, effect: AssignTasks | DropJob | KeepJobs) -> None:
        self._send_to_cell(effect.cell, effect)

    @_carry_out.register
    def _resolve_completion(
        self, effect: TransientJobEnded | JobRefused
    ) -> None:
        self.callers.answer(effect)
