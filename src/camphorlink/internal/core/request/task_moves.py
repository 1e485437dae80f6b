"""Choice of other cells for the tasks that a cell has returned."""

import itertools

from camphorlink.internal.core.request.cell_selector import CellPlan
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_planner import JobPlanner
from camphorlink.internal.core.request.open_job import OpenJob
from camphorlink.internal.core.request.returned_tasks import ReturnedTask

#: Plans by the tasks that they are for.
Plans = dict[tuple[TaskKey, ...], CellPlan]


class MovePlanner:
    """Chooses cells for returned tasks and reserves their capacity."""

    def __init__(self, planner: JobPlanner) -> None:
        """Creates a planner.

        Args:
            planner: Chooses cells by their load.
        """
        self._planner = planner

    def plan(
        self,
        open_job: OpenJob,
        rows: list[ReturnedTask],
        cell: str,
        passed_s: float,
    ) -> Plans | None:
        """Chooses other cells for tasks of a cell.

        Returns:
            Plans for the tasks, or ``None`` if no other cells are expected to
            end all of them while the job is of use.
        """
        plans = {}
        for group, same_group in itertools.groupby(
            sorted(rows, key=_move_group_of), _move_group_of
        ):
            tasks = tuple(entry.task for entry in same_group)
            step, target = group
            plan = self._planner.place(
                open_job.live.job, step, len(tasks), cell, target
            )
            if plan is None or passed_s + plan.end_s > open_job.useful_s:
                return None
            plans[tasks] = plan
        return plans


def step_of(task: TaskKey) -> int:
    """Returns the number of a task's step."""
    return task.step


def _move_group_of(returned: ReturnedTask) -> tuple[int, str]:
    return returned.task.step, returned.target
