"""Admission control of jobs and the choice of cells for their tasks.

Admission control handles bursts that exceed the capacity of the back ends,
and wide jobs.  A job is refused when it is expected to miss its response time
objective by far, because it would also delay jobs that can meet theirs.  A
lack of free capacity alone is no reason to refuse a job.
"""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.calibration import (
    Calibration,
    Prediction,
)
from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    CellPlan,
    CellSelector,
    TaskGroup,
)
from camphorlink.internal.core.request.cell_wait import cell_wait_s
from camphorlink.internal.core.request.durable_job import DurableJob, Step
from camphorlink.internal.core.request.return_times import ReturnTimes
from camphorlink.internal.core.request.task_placement import (
    MS_PER_S,
    objective_s,
)

#: A job is refused when it is expected to take more than this multiple of its
#: response time objective.  A job that takes up to three times its objective
#: still has some value, and the estimates are rough.
MAX_OBJECTIVE_RATIO = 1.6
#: Part of its expected run time at speed 1 that a task takes at least: estimates
#: are off by 40%, and some back ends are faster.
MIN_RUN_PART = 0.4
#: Retry-After while no cell is reachable, in seconds: a takeover takes about
#: one second.
NO_CELL_RETRY_AFTER_S = 1.0

#: Returns the reachable cells that can run a step of a service.
CellsFor = Callable[[str, Step], Sequence[str]]


class Admission(NamedTuple):
    """Decision whether a job is accepted.

    Attributes:
        objective_s: Response time objective of the job, in seconds.
        plan: Cells for the first step, or ``None`` when the job is refused.
        retry_after_s: Delay before the caller retries a refused job, in
            seconds.
        expected_s: Expected time until the job ends, in seconds, as far as
            it is known.
        latest_s: Maximum expected time with which the job is accepted, in
            seconds.
        prediction: Prediction for the job with its inputs, or ``None`` if
            there is no reachable cell.
    """

    objective_s: float
    plan: CellPlan | None
    retry_after_s: float = 0
    expected_s: float = math.inf
    latest_s: float = 0
    prediction: Prediction | None = None


class JobPlanner:
    """Admits jobs and places their tasks by the reported load of cells.

    Attributes:
        calibration: Compares predictions with the ends of jobs.
    """

    def __init__(
        self,
        selector: CellSelector,
        speeds: RunSpeeds,
        cells_for: CellsFor,
    ) -> None:
        """Creates a planner.

        Args:
            selector: Selects cells by their reported load.
            speeds: Learned run times.
            cells_for: Returns the reachable cells for a step.
        """
        self._selector = selector
        self._speeds = speeds
        self._cells_for = cells_for
        self.calibration = Calibration()
        self._return_times_by_service: dict[str, ReturnTimes] = {}

    def admit(self, job: DurableJob, now: float) -> Admission:
        """Decides whether to accept a job, and reserves capacity for it.

        Args:
            job: The job.
            now: Time in seconds.
        """
        first = job.steps[0]
        cells = self._cells_for(job.service, first)
        total_cpu_milli = self._selector.total_cpu_milli(job.service, cells)
        objective = objective_s(job, self._speeds, total_cpu_milli)
        group = self._group(job, first, first.width)._replace(due_s=objective)
        plan = self._selector.plan(group, cells)
        if plan is None:
            self.calibration.record_refusal(job.queue, group, now + objective)
            return Admission(objective, None, NO_CELL_RETRY_AFTER_S)
        prediction = self._predict(
            job,
            group,
            plan,
            max(objective, self._unloaded_s(job, total_cpu_milli)),
            now,
        )
        if prediction.expected_s > prediction.latest_s:
            # A job whose tasks fit delays no other, however slow its back ends.
            plan = self._selector.plan_free(group, cells)
        if plan is not None:
            self._selector.reserve(plan, group)
            self.calibration.record_admission(job.job_id, prediction)
            return Admission(objective, plan, prediction=prediction)
        self.calibration.record_refusal(job.queue, group, now + objective)
        return Admission(
            objective,
            None,
            self._retry_after_s(job, cells, now),
            prediction.expected_s,
            prediction.latest_s,
            prediction,
        )

    def cell_wait_s(self, job: DurableJob, wait_s: float) -> float:
        """Returns how long a job may wait for a cell, in seconds.

        Args:
            job: The job.
            wait_s: Time that the caller waits, in seconds.
        """
        return cell_wait_s(
            objective_s(job, self._speeds),
            sum(self._work_s(job, step) for step in job.steps),
            wait_s,
        )

    def record_load(self, load: CellLoad, now: float) -> None:
        """Records the load that the owner of a cell reports.

        Args:
            load: The load.
            now: Time in seconds.
        """
        self._selector.record_load(load, now)
        self.calibration.check_refusals(load.service, now, self._fits)

    def _fits(self, group: TaskGroup) -> bool:
        cells = self._cells_for(group.service, group.step)
        return self._selector.plan_free(group, cells) is not None

    def _predict(
        self,
        job: DurableJob,
        group: TaskGroup,
        plan: CellPlan,
        objective: float,
        now: float,
    ) -> Prediction:
        return Prediction(
            plan.end_s + self._later_steps_s(job),
            MAX_OBJECTIVE_RATIO * objective,
            self._selector.max_wait_s(plan, group),
            group.work_s,
            len(set(plan.cells)),
            self._selector.report_age_s(plan, job.service, now),
        )

    def refuse_returned(self, job: DurableJob, now: float) -> Admission:
        """Refuses an admitted job of which nothing has run.

        Args:
            job: The job.
            now: Time in seconds.
        """
        cells = self._cells_for(job.service, job.steps[0])
        total_cpu_milli = self._selector.total_cpu_milli(job.service, cells)
        return Admission(
            objective_s(job, self._speeds, total_cpu_milli),
            None,
            self._retry_after_s(job, cells, now),
        )

    def _retry_after_s(
        self, job: DurableJob, cells: Sequence[str], now: float
    ) -> float:
        """Returns when the capacity for a refused job is expected, in s."""
        own_cpu_milli = self._selector.own_weighted_cpu_milli(
            job.service, cells
        )
        if not own_cpu_milli:
            return NO_CELL_RETRY_AFTER_S
        work = sum(
            self._work_s(job, step) * step.width * step.needs.cpu_milli
            for step in job.steps
        )
        return_times = self._return_times_by_service.setdefault(
            job.service, ReturnTimes()
        )
        wait_s = self._selector.min_total_wait_s(job.service, cells)
        return return_times.next_return_s(now, wait_s, work / own_cpu_milli)

    def _later_steps_s(self, job: DurableJob) -> float:
        return sum(self._work_s(job, step) for step in job.steps[1:])

    def place(
        self,
        job: DurableJob,
        number: int,
        width: int,
        excluded_cell: str = '',
        target: str = '',
    ) -> CellPlan | None:
        """Chooses cells for tasks of a step and reserves their capacity.

        Args:
            job: The job.
            number: Number of the step.
            width: Number of tasks to place.
            excluded_cell: Cell that must not be chosen, empty for none.
            target: Cell to choose if it can run the tasks, empty for any.

        Returns:
            The plan, or ``None`` when no cell can run the tasks.
        """
        step = job.steps[number]
        cells = self._cells_for(job.service, step)
        group = self._group(job, step, width)
        plan = self._selector.plan(
            group,
            [target]
            if target in cells
            else [cell for cell in cells if cell != excluded_cell],
        )
        if plan is not None:
            self._selector.reserve(plan, group)
        return plan

    def _unloaded_s(self, job: DurableJob, total_cpu_milli: int) -> float:
        """Returns the run time of a job without other load, in seconds."""
        return sum(
            self._work_s(job, step)
            * math.ceil(
                step.width * step.needs.cpu_milli / max(total_cpu_milli, 1)
            )
            for step in job.steps
        )

    def _group(self, job: DurableJob, step: Step, width: int) -> TaskGroup:
        return TaskGroup(
            job.service, step, width, self._work_s(job, step), job.priority
        )

    def shortest_run_s(self, job: DurableJob) -> float:
        """Returns a lower bound of the run time of a job's tasks, in seconds."""
        longest_s = max(self._work_s(job, step) for step in job.steps)
        return MIN_RUN_PART * longest_s

    def _work_s(self, job: DurableJob, step: Step) -> float:
        return self._speeds.work_s(job.queue, step.estimate_ms / MS_PER_S)
