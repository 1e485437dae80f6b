"""State of the transient jobs that this VM coordinates.

The coordinator assigns the tasks of a job to cells, counts their completions,
and answers the caller when all tasks are done or one has finally failed.  No
state is stored: when this VM fails, the caller's connection breaks and the
caller submits the job again.
"""

import itertools
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.cell_selector import CellPlan
from camphorlink.internal.core.request.cell_wait import MAX_USEFUL_RATIO
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
)
from camphorlink.internal.core.request.job_planner import Admission, JobPlanner
from camphorlink.internal.core.request.open_job import OpenJob, Withdrawal
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)
from camphorlink.internal.core.request.task_moves import MovePlanner, step_of

#: Shortest time in seconds after which a task of a silent owner can start again:
#: the next owner waits until the back ends have listed their runs once more.
SILENT_CELL_DELAY_S = 0.6

#: Time in seconds for which the cells of a withdrawn job may answer whether they
#: have begun it: some hundred times that of a message and its answer.
WITHDRAWAL_TIMEOUT_S = 0.25


class AssignTasks(NamedTuple):
    """Effect that assigns tasks of a job to a cell.

    Attributes:
        cell: The cell.
        job: The job.
        tasks: Tasks that the cell must run.
        objective_s: Response time objective of the job, in seconds.
        may_have_run: Whether an earlier owner of the cell may have started
            the tasks.
        number: Number of the assignment, which rises for each coordinator.
        useful_s: Time from now until which the job is of use, in seconds.
        may_return: Whether the cell may return the tasks because it is
            overloaded.
    """

    cell: str
    job: DurableJob
    tasks: tuple[TaskKey, ...]
    objective_s: float
    may_have_run: bool
    number: int = 0
    useful_s: float = math.inf
    may_return: bool = True


class DropJob(NamedTuple):
    """Effect that makes a cell stop all tasks of a job.

    Attributes:
        cell: The cell.
        job_id: Identifier of the job.
        must_return: Whether the cell returns the tasks, so that the coordinator
            learns whether one has begun.
    """

    cell: str
    job_id: str
    must_return: bool = False


class KeepJobs(NamedTuple):
    """Effect that makes a cell stop all other jobs of this coordinator.

    Attributes:
        cell: The cell.
        job_ids: Identifiers of the jobs with open tasks in the cell.
    """

    cell: str
    job_ids: tuple[str, ...]


class TransientJobEnded(NamedTuple):
    """Effect that answers the caller of a job that ended.

    Attributes:
        job_id: Identifier of the job.
        state: Final state of the job, or ``None`` when no cell could run it.
        objective_s: Response time objective of the job, in seconds.
    """

    job_id: str
    state: JobState | None
    objective_s: float = 0


class JobRefused(NamedTuple):
    """Effect that refuses a job, of which no task has run or will run.

    Attributes:
        job_id: Identifier of the job.
        admission: Decision of the admission control, with its reason.
        return_reason: Why its tasks were returned, or ``None`` if the job was
            refused before its tasks were assigned.
    """

    job_id: str
    admission: Admission
    return_reason: ReturnReason | None = None


#: Reasons for which a job is withdrawn when a cell returns its tasks.
_WITHDRAWING_REASONS = frozenset(
    (ReturnReason.OUT_OF_REACH, ReturnReason.EXPECTED_LATE)
)
#: Commands for the owner of a cell.
CellCommand = AssignTasks | DropJob | KeepJobs
TransientEffect = CellCommand | TransientJobEnded | JobRefused


class TransientJobs:
    """The open transient jobs that this VM coordinates."""

    def __init__(self, planner: JobPlanner) -> None:
        """Creates a coordinator without open jobs.

        Args:
            planner: Admits jobs and chooses cells for their tasks.
        """
        self._planner = planner
        self._moves = MovePlanner(planner)
        self._open_by_id: dict[str, OpenJob] = {}
        self._numbers = itertools.count(1)

    def __contains__(self, job_id: str) -> bool:
        """Returns whether a job is open."""
        return job_id in self._open_by_id

    def objective_s(self, job_id: str) -> float:
        """Returns the response time objective of a job, in seconds.

        It is 0 if the job is not open.
        """
        open_job = self._open_by_id.get(job_id)
        return 0 if open_job is None else open_job.objective_s

    def submit(
        self,
        job: DurableJob,
        now: float = 0,
        wait_s: float = math.inf,
        passed_s: float = 0,
    ) -> list[TransientEffect]:
        """Assigns the tasks of a new job to cells, or refuses the job.

        A job is refused, before any task runs, when it is expected to miss
        its response time objective by far, because it would also delay jobs
        that can meet theirs.  One that is open already goes on: placed anew,
        its tasks could run twice.

        Args:
            job: The job.
            now: Time in seconds.
            wait_s: Time that the caller waits from the submission on, in
                seconds.
            passed_s: Time since the submission, in seconds, in which the job
                has waited for a cell.
        """
        if job.job_id in self:
            return []
        admission = self._planner.admit(job, now)
        if admission.plan is None:
            return [JobRefused(job.job_id, admission)]
        useful_s = min(wait_s, MAX_USEFUL_RATIO * admission.objective_s)
        open_job = OpenJob(job, admission.objective_s, now - passed_s, useful_s)
        self._open_by_id[job.job_id] = open_job
        due = tuple(open_job.live.due_tasks())
        first = tuple(task for task in due if not task.step)
        others = due[len(first) :]
        effects = self._assign_to_cells(
            open_job, first, admission.plan, passed_s
        )
        return [*effects, *self._assign(open_job, others)]

    def record_completion(
        self,
        task: TaskKey,
        is_done: bool,
    ) -> list[TransientEffect]:
        """Records the completion of a task, successful or failed."""
        open_job = self._open_by_id.get(task.job_id)
        if open_job is None or task not in open_job.cell_by_task:
            return []
        open_job.cell_by_task.pop(task)
        open_job.assignment_by_task.pop(task)
        open_job.may_have_begun = True
        if open_job.withdrawal is not None:
            return self._end_unfinished(open_job)
        live = open_job.live
        if not is_done:
            return self._end_unfinished(open_job, JobState.FAILED)
        live.done_by_step[task.step].add(task.number)
        if live.is_done:
            self._open_by_id.pop(task.job_id)
            return [
                TransientJobEnded(
                    task.job_id, JobState.COMPLETED, open_job.objective_s
                )
            ]
        if live.is_step_done(task.step):
            newly_due = tuple(
                due
                for due in live.due_tasks()
                if due not in open_job.cell_by_task
            )
            return self._assign(open_job, newly_due)
        return []

    def drop(self, job_id: str) -> list[TransientEffect]:
        """Abandons a job and makes its cells stop its tasks."""
        open_job = self._open_by_id.pop(job_id, None)
        if open_job is None:
            return []
        cells = sorted(set(open_job.cell_by_task.values()))
        return [DropJob(cell, job_id) for cell in cells]

    def jobs_in_cell(self, cell: str) -> list[str]:
        """Returns the identifiers of the jobs with open tasks in a cell."""
        return [
            job_id
            for job_id, open_job in self._open_by_id.items()
            if open_job.tasks_in(cell)
        ]

    @property
    def cells(self) -> list[str]:
        """Cells with open tasks."""
        cells = {
            cell
            for open_job in self._open_by_id.values()
            for cell in open_job.cell_by_task.values()
        }
        return sorted(cells)

    def list_open(self, cell: str) -> list[TransientEffect]:
        """Lists the open tasks of a cell for its owner, on a new channel."""
        kept = KeepJobs(cell, tuple(self.jobs_in_cell(cell)))
        return [kept, *self.assign_to_new_owner(cell)]

    def assign_to_new_owner(self, cell: str) -> list[TransientEffect]:
        """Assigns the open tasks of a cell to its new owner."""
        effects: list[TransientEffect] = []
        for open_job in list(self._open_by_id.values()):
            tasks = open_job.tasks_in(cell)
            if tasks and open_job.withdrawal is not None:
                effects.extend(self._end_unfinished(open_job))
            elif tasks:
                open_job.may_have_begun = True
                effects.append(
                    self._build_assignment(
                        open_job, cell, tasks, may_have_run=True
                    )
                )
        return effects

    def take_back(
        self,
        cell: str,
        returned: Iterable[ReturnedTask],
        reason: ReturnReason,
        now: float,
    ) -> list[TransientEffect]:
        """Moves returned tasks to other cells, or withdraws their jobs.

        Args:
            cell: Cell that returned the tasks.
            returned: The returned tasks.
            reason: Why they were returned.
            now: Time in seconds.
        """
        rows_by_id: dict[str, list[ReturnedTask]] = {}
        for entry in returned:
            open_job = self._open_by_id.get(entry.task.job_id)
            if open_job is not None and open_job.is_current(cell, entry):
                open_job.may_have_begun |= entry.has_begun
                rows_by_id.setdefault(entry.task.job_id, []).append(entry)
        effects: list[TransientEffect] = []
        for job_id, rows in rows_by_id.items():
            effects.extend(
                self._move_returned(self._open_by_id[job_id], rows, reason, now)
            )
        return effects

    def _move_returned(
        self,
        open_job: OpenJob,
        rows: list[ReturnedTask],
        reason: ReturnReason,
        now: float,
    ) -> list[TransientEffect]:
        tasks = [entry.task for entry in rows]
        cell = open_job.cell_by_task[tasks[0]]
        for task in tasks:
            open_job.cell_by_task.pop(task)
            open_job.assignment_by_task.pop(task)
        if open_job.withdrawal is not None:
            return self._withdraw(open_job, open_job.withdrawal.reason, now)
        if reason in _WITHDRAWING_REASONS:
            return self._withdraw(open_job, reason, now)
        if reason is ReturnReason.CELL_OVERLOADED:
            open_job.settled_tasks.update(tasks)
        passed_s = now - open_job.submitted_s
        plans = self._moves.plan(open_job, rows, cell, passed_s)
        if plans is None:
            if reason is ReturnReason.ZONE_DRAINED:
                return self._withdraw(open_job, reason, now)
            plans = {tuple(tasks): CellPlan((cell,) * len(tasks), 0)}
        return [
            effect
            for placed, plan in plans.items()
            for effect in self._assign_to_cells(
                open_job, placed, plan, passed_s
            )
        ]

    def _withdraw(
        self, open_job: OpenJob, reason: ReturnReason, now: float
    ) -> list[TransientEffect]:
        """Ends a job that cannot be done while it is of use.

        It is refused if none of its tasks has run, which its other cells know.
        """
        job = open_job.live.job
        if open_job.may_have_begun:
            return self._end_unfinished(open_job)
        if not open_job.cell_by_task:
            self._open_by_id.pop(job.job_id)
            admission = self._planner.refuse_returned(job, now)
            return [JobRefused(job.job_id, admission, reason)]
        if open_job.withdrawal is not None:
            return []
        open_job.withdrawal = Withdrawal(reason, now)
        cells = sorted(set(open_job.cell_by_task.values()))
        return [DropJob(cell, job.job_id, must_return=True) for cell in cells]

    def _end_unfinished(
        self, open_job: OpenJob, state: JobState | None = None
    ) -> list[TransientEffect]:
        """Ends a job of which a task may have run.

        Args:
            open_job: The job.
            state: Its final state, or ``None`` if its outcome is unknown.
        """
        job_id = open_job.live.job.job_id
        ended = TransientJobEnded(job_id, state, open_job.objective_s)
        return [*self.drop(job_id), ended]

    def _build_assignment(
        self,
        open_job: OpenJob,
        cell: str,
        tasks: tuple[TaskKey, ...],
        passed_s: float = 0,
        *,
        may_have_run: bool = False,
    ) -> AssignTasks:
        number = next(self._numbers)
        for task in tasks:
            open_job.cell_by_task[task] = cell
            open_job.assignment_by_task[task] = number
        return AssignTasks(
            cell,
            open_job.live.job,
            tasks,
            open_job.objective_s - passed_s,
            may_have_run,
            number,
            open_job.useful_s - passed_s,
            open_job.settled_tasks.isdisjoint(tasks),
        )

    def withdraw_lost(self, cell: str, now: float) -> list[TransientEffect]:
        """Ends the jobs for which a cell has become silent for too long.

        Their other tasks would only take capacity from jobs that can still be
        done, just when a zone is lost.

        Args:
            cell: Cell whose owner is silent.
            now: Time in seconds.
        """
        effects: list[TransientEffect] = []
        for job_id in self.jobs_in_cell(cell):
            open_job = self._open_by_id[job_id]
            run_s = self._planner.shortest_run_s(open_job.live.job)
            end_s = open_job.submitted_s + open_job.useful_s
            is_lost = now + SILENT_CELL_DELAY_S + run_s > end_s
            if is_lost or open_job.withdrawal is not None:
                # Whether the job has begun in the cell remains unknown.
                effects.extend(self._end_unfinished(open_job))
        return effects

    def end_unanswered(self, now: float) -> list[TransientEffect]:
        """Ends withdrawn jobs of which a cell does not tell whether they began.

        An owner that has lost the tasks, with its lease or in a partition, does
        not answer.

        Args:
            now: Time in seconds.
        """
        effects: list[TransientEffect] = []
        for open_job in list(self._open_by_id.values()):
            withdrawal = open_job.withdrawal
            if withdrawal is None:
                continue
            if now - withdrawal.since_s > WITHDRAWAL_TIMEOUT_S:
                effects.extend(self._end_unfinished(open_job))
        return effects

    def move_tasks(self, cell: str) -> list[TransientEffect]:
        """Moves the open tasks of a cell without an owner to other cells.

        Call it only when no run that the former owner started can still be
        active; otherwise a task could run twice.
        """
        effects: list[TransientEffect] = []
        for open_job in list(self._open_by_id.values()):
            tasks = open_job.tasks_in(cell)
            if tasks and open_job.withdrawal is not None:
                effects.extend(self._end_unfinished(open_job))
            elif tasks:
                open_job.may_have_begun = True
                effects.extend(
                    self._assign(open_job, tasks, excluded_cell=cell)
                )
        return effects

    def _assign(
        self,
        open_job: OpenJob,
        tasks: Sequence[TaskKey],
        excluded_cell: str = '',
    ) -> list[TransientEffect]:
        effects: list[TransientEffect] = []
        job = open_job.live.job
        for step, same_step in itertools.groupby(tasks, step_of):
            group = tuple(same_step)
            plan = self._planner.place(job, step, len(group), excluded_cell)
            if plan is None:
                return self._end_unfinished(open_job)
            effects.extend(self._assign_to_cells(open_job, group, plan))
        return effects

    def _assign_to_cells(
        self,
        open_job: OpenJob,
        tasks: tuple[TaskKey, ...],
        plan: CellPlan,
        passed_s: float = 0,
    ) -> list[TransientEffect]:
        """Assigns tasks to the cells of a plan."""
        placed = list(zip(tasks, plan.cells, strict=True))
        return [
            self._build_assignment(
                open_job,
                chosen,
                tuple(task for task, cell in placed if cell == chosen),
                passed_s,
            )
            for chosen in dict.fromkeys(plan.cells)
        ]
