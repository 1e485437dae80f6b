"""Transient jobs as the VM sees them that answers their callers.

It splits a job's tasks over the cells, counts their ends, and tells the
caller when all are done, or one has failed for good.  Nothing is stored: when
this VM fails, the caller's channel breaks and the caller sends the job again.
"""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import JobState, LiveJob
from camphorlink.internal.core.request.cell_selector import CellPlan
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
)
from camphorlink.internal.core.request.job_planner import Admission, JobPlanner


class AssignTasks(NamedTuple):
    """Give tasks of a job to a cell.

    Attributes:
        cell: The cell.
        job: The job.
        tasks: Those that it is to run.
        objective_s: Time within which the job should end, in seconds.
        may_have_run: Whether an earlier owner of the cell may have begun.
    """

    cell: str
    job: DurableJob
    tasks: tuple[TaskKey, ...]
    objective_s: float
    may_have_run: bool


class DropJob(NamedTuple):
    """Have a cell stop what it has of a job."""

    cell: str
    job_id: str


class TransientJobEnded(NamedTuple):
    """A job has ended; its caller is to be told.

    Attributes:
        job_id: The job.
        state: How it ended, or ``None`` when no cell could take it.
        objective_s: Time within which it should have ended, in seconds.
    """

    job_id: str
    state: JobState | None
    objective_s: float = 0


class JobRefused(NamedTuple):
    """A job is refused; nothing of it has run, nor ever will.

    Attributes:
        job_id: The job.
        admission: Why.
    """

    job_id: str
    admission: Admission


TransientEffect = AssignTasks | DropJob | TransientJobEnded | JobRefused


class _OpenJob:
    """A job whose caller waits."""

    def __init__(self, job: DurableJob, objective: float) -> None:
        self.objective_s = objective
        self.live = LiveJob(job, (('',),) * len(job.steps), -1)
        self.cell_by_task: dict[TaskKey, str] = {}


class TransientJobs:
    """The transient jobs that a VM coordinates."""

    def __init__(self, planner: JobPlanner) -> None:
        """Takes who accepts jobs and chooses cells."""
        self._planner = planner
        self._open_by_id: dict[str, _OpenJob] = {}

    def __len__(self) -> int:
        """Returns how many jobs are open."""
        return len(self._open_by_id)

    def __contains__(self, job_id: str) -> bool:
        """Tells whether a job is open here."""
        return job_id in self._open_by_id

    def objective_s(self, job_id: str) -> float:
        """Returns the time within which an open job should end, in seconds."""
        return self._open_by_id[job_id].objective_s

    def submit(self, job: DurableJob) -> list[TransientEffect]:
        """Gives the tasks of a new job to cells, or refuses it.

        It is refused, and nothing of it runs, when it would end far too late
        for its goal: what can't be done in time should not keep others from
        being done.
        """
        admission = self._planner.admit(job)
        if admission.plan is None:
            return [JobRefused(job.job_id, admission)]
        open_job = _OpenJob(job, admission.objective_s)
        self._open_by_id[job.job_id] = open_job
        due = tuple(open_job.live.due_tasks())
        first = tuple(task for task in due if not task.step)
        others = due[len(first) :]
        effects = _assign_to_cells(open_job, first, admission.plan)
        return [*effects, *self._assign(open_job, others)]

    def record_completion(
        self,
        task: TaskKey,
        is_done: bool,
    ) -> list[TransientEffect]:
        """Takes what became of a task."""
        open_job = self._open_by_id.get(task.job_id)
        if open_job is None or task not in open_job.cell_by_task:
            return []
        open_job.cell_by_task.pop(task)
        live = open_job.live
        if not is_done:
            effects = self.drop(task.job_id)
            effects.append(
                TransientJobEnded(
                    task.job_id, JobState.FAILED, open_job.objective_s
                )
            )
            return effects
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
        """Gives a job up; its cells stop what they have of it."""
        open_job = self._open_by_id.pop(job_id, None)
        if open_job is None:
            return []
        cells = sorted(set(open_job.cell_by_task.values()))
        return [DropJob(cell, job_id) for cell in cells]

    def assign_to_new_owner(self, cell: str) -> list[TransientEffect]:
        """Gives the open tasks of a cell to its new owner."""
        effects: list[TransientEffect] = []
        for open_job in self._open_by_id.values():
            tasks = tuple(
                task
                for task, chosen in open_job.cell_by_task.items()
                if chosen == cell
            )
            if tasks:
                job = open_job.live.job
                effects.append(
                    AssignTasks(
                        cell,
                        job,
                        tasks,
                        open_job.objective_s,
                        may_have_run=True,
                    ),
                )
        return effects

    def move_tasks(self, cell: str) -> list[TransientEffect]:
        """Gives the open tasks of a cell whose owner is gone to others.

        Call it only when nothing that the owner ordered can still run.
        """
        effects: list[TransientEffect] = []
        for open_job in list(self._open_by_id.values()):
            tasks = [
                task
                for task, chosen in open_job.cell_by_task.items()
                if chosen == cell
            ]
            if tasks:
                effects.extend(
                    self._assign(open_job, tasks, excluded_cell=cell)
                )
        return effects

    def _assign(
        self,
        open_job: _OpenJob,
        tasks: Sequence[TaskKey],
        excluded_cell: str = '',
    ) -> list[TransientEffect]:
        effects: list[TransientEffect] = []
        for step, group in itertools.groupby(tasks, _step_of):
            assigned = self._assign_step(
                open_job, step, tuple(group), excluded_cell
            )
            if assigned is None:
                job_id = open_job.live.job.job_id
                return [
                    *self.drop(job_id),
                    TransientJobEnded(job_id, None, open_job.objective_s),
                ]
            effects.extend(assigned)
        return effects

    def _assign_step(
        self,
        open_job: _OpenJob,
        number: int,
        tasks: tuple[TaskKey, ...],
        excluded_cell: str,
    ) -> list[TransientEffect] | None:
        """Gives tasks of one step; ``None`` when no cell can take them."""
        job = open_job.live.job
        plan = self._planner.place(job, number, len(tasks), excluded_cell)
        return None if plan is None else _assign_to_cells(open_job, tasks, plan)


def _assign_to_cells(
    open_job: _OpenJob,
    tasks: tuple[TaskKey, ...],
    plan: CellPlan,
) -> list[TransientEffect]:
    """Gives tasks to the cells of a plan."""
    open_job.cell_by_task.update(zip(tasks, plan.cells, strict=True))
    return [
        AssignTasks(
            chosen,
            open_job.live.job,
            tuple(
                task for task in tasks if open_job.cell_by_task[task] == chosen
            ),
            open_job.objective_s,
            may_have_run=False,
        )
        for chosen in dict.fromkeys(plan.cells)
    ]


def _step_of(task: TaskKey) -> int:
    return task.step
