"""Transient jobs as the VM sees them that answers their callers.

It splits a job's tasks over the cells, counts their ends, and tells the
caller when all are done, or one has failed for good.  Nothing is stored: when
this VM fails, the caller's channel breaks and the caller sends the job again.
"""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from camphorlink.internal.core.process.job_table import JobState, LiveJob
from camphorlink.internal.core.request.cell_choice import Plan
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
)
from camphorlink.internal.core.request.job_planner import Admission, JobPlanner


class GiveTasks(NamedTuple):
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


class JobOver(NamedTuple):
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


TransientEffect = GiveTasks | DropJob | JobOver | JobRefused


class _OpenJob:
    """A job whose caller waits."""

    def __init__(self, job: DurableJob, goal: float) -> None:
        self.objective_s = goal
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
        opened = _OpenJob(job, admission.objective_s)
        self._open_by_id[job.job_id] = opened
        due = tuple(opened.live.due_tasks())
        first = tuple(task for task in due if not task.step)
        others = due[len(first) :]
        effects = _orders(opened, first, admission.plan)
        return [*effects, *self._give(opened, others)]

    def note_report(
        self,
        task: TaskKey,
        is_done: bool,
    ) -> list[TransientEffect]:
        """Takes what became of a task."""
        opened = self._open_by_id.get(task.job_id)
        if opened is None or task not in opened.cell_by_task:
            return []
        opened.cell_by_task.pop(task)
        live = opened.live
        if not is_done:
            effects = self.drop(task.job_id)
            effects.append(
                JobOver(task.job_id, JobState.FAILED, opened.objective_s)
            )
            return effects
        live.done_by_step[task.step].add(task.number)
        if live.is_done:
            self._open_by_id.pop(task.job_id)
            return [
                JobOver(task.job_id, JobState.COMPLETED, opened.objective_s)
            ]
        if live.is_step_done(task.step):
            fresh = tuple(
                due
                for due in live.due_tasks()
                if due not in opened.cell_by_task
            )
            return self._give(opened, fresh)
        return []

    def drop(self, job_id: str) -> list[TransientEffect]:
        """Gives a job up; its cells stop what they have of it."""
        opened = self._open_by_id.pop(job_id, None)
        if opened is None:
            return []
        cells = sorted(set(opened.cell_by_task.values()))
        return [DropJob(cell, job_id) for cell in cells]

    def note_owner(self, cell: str) -> list[TransientEffect]:
        """Gives the open tasks of a cell to its new owner."""
        effects: list[TransientEffect] = []
        for opened in self._open_by_id.values():
            tasks = tuple(
                task
                for task, chosen in opened.cell_by_task.items()
                if chosen == cell
            )
            if tasks:
                job = opened.live.job
                effects.append(
                    GiveTasks(
                        cell,
                        job,
                        tasks,
                        opened.objective_s,
                        may_have_run=True,
                    ),
                )
        return effects

    def move_tasks(self, cell: str) -> list[TransientEffect]:
        """Gives the open tasks of a cell whose owner is gone to others.

        Call it only when nothing that the owner ordered can still run.
        """
        effects: list[TransientEffect] = []
        for opened in list(self._open_by_id.values()):
            tasks = [
                task
                for task, chosen in opened.cell_by_task.items()
                if chosen == cell
            ]
            if tasks:
                effects.extend(self._give(opened, tasks, without=cell))
        return effects

    def _give(
        self,
        opened: _OpenJob,
        tasks: Sequence[TaskKey],
        without: str = '',
    ) -> list[TransientEffect]:
        effects: list[TransientEffect] = []
        for step, group in itertools.groupby(tasks, _step_of):
            given = self._give_step(opened, step, tuple(group), without)
            if given is None:
                job_id = opened.live.job.job_id
                return [
                    *self.drop(job_id),
                    JobOver(job_id, None, opened.objective_s),
                ]
            effects.extend(given)
        return effects

    def _give_step(
        self,
        opened: _OpenJob,
        number: int,
        tasks: tuple[TaskKey, ...],
        without: str,
    ) -> list[TransientEffect] | None:
        """Gives tasks of one step; ``None`` when no cell can take them."""
        job = opened.live.job
        plan = self._planner.place(job, number, len(tasks), without)
        return None if plan is None else _orders(opened, tasks, plan)


def _orders(
    opened: _OpenJob,
    tasks: tuple[TaskKey, ...],
    plan: Plan,
) -> list[TransientEffect]:
    """Gives tasks to the cells of a plan."""
    opened.cell_by_task.update(zip(tasks, plan.cells, strict=True))
    return [
        GiveTasks(
            chosen,
            opened.live.job,
            tuple(
                task for task in tasks if opened.cell_by_task[task] == chosen
            ),
            opened.objective_s,
            may_have_run=False,
        )
        for chosen in dict.fromkeys(plan.cells)
    ]


def _step_of(task: TaskKey) -> int:
    return task.step
