"""Whether a job is accepted, and which cells get its tasks.

Loads that it answers: bursts beyond what back ends can do, and wide jobs.  A
job is refused when it is expected to end far too late: what can't be done in
time should not keep others from being done.  Room refuses nobody.
"""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.cell_choice import (
    CellChoice,
    Plan,
    TaskGroup,
)
from camphorlink.internal.core.request.durable_job import DurableJob, Step
from camphorlink.internal.core.request.task_placement import (
    MS_PER_S,
    objective_s,
)

#: A job is refused when it is expected to take more than this many times its
#: goal: up to three times still has some worth, and expectations are rough.
LATEST_RATIO = 1.6
#: Shortest Retry-After, in seconds: it is told in whole seconds.
MIN_RETRY_S = 1.0
#: Retry-After while no cell can be reached: a takeover takes about a second.
NO_CELL_RETRY_S = 1.0

#: Returns the cells that can be reached and can run a step of a service.
CellsFor = Callable[[str, Step], Sequence[str]]


class Admission(NamedTuple):
    """Whether a job is accepted.

    Attributes:
        objective_s: Time within which it should end, in seconds.
        plan: Cells for the first step, or ``None`` when it is refused.
        retry_after_s: When to come back then.
        expected_s: When it would end, from now, as far as that is known.
        latest_s: The latest end with which it is accepted.
    """

    objective_s: float
    plan: Plan | None
    retry_after_s: float = 0
    expected_s: float = math.inf
    latest_s: float = 0


class JobPlanner:
    """Plans jobs by the loads that cells tell."""

    def __init__(
        self,
        choice: CellChoice,
        speeds: RunSpeeds,
        cells_for: CellsFor,
    ) -> None:
        """Takes what is known of cells and run times."""
        self._choice = choice
        self._speeds = speeds
        self._cells_for = cells_for

    def admit(self, job: DurableJob) -> Admission:
        """Tells whether a job should be accepted now, and counts its plan."""
        group = self._group(job, job.steps[0], job.steps[0].width)
        cells = self._cells_for(job.service, group.step)
        room_cpu = self._choice.cpu_of(job.service, cells)
        goal = objective_s(job, self._speeds, room_cpu)
        plan = self._choice.plan(group, cells)
        if plan is None:
            return Admission(goal, None, NO_CELL_RETRY_S)
        expected_s = plan.end_s + self._later_s(job)
        latest_s = LATEST_RATIO * max(goal, self._alone_s(job, room_cpu))
        if expected_s <= latest_s:
            self._choice.count(plan, group)
            return Admission(goal, plan)
        retry_after_s = self._retry_after_s(job.service, cells)
        return Admission(goal, None, retry_after_s, expected_s, latest_s)

    def _retry_after_s(self, service: str, cells: Sequence[str]) -> float:
        return max(self._choice.whole_wait_s(service, cells), MIN_RETRY_S)

    def _later_s(self, job: DurableJob) -> float:
        return sum(self._work_s(job, step) for step in job.steps[1:])

    def place(
        self,
        job: DurableJob,
        number: int,
        width: int,
        without: str = '',
    ) -> Plan | None:
        """Chooses cells for tasks of a step, and counts them there.

        Args:
            job: The job.
            number: Number of the step.
            width: How many of its tasks.
            without: A cell that is out of the question.

        Returns:
            The cells, or ``None`` when none can take them.
        """
        step = job.steps[number]
        cells = self._cells_for(job.service, step)
        group = self._group(job, step, width)
        plan = self._choice.plan(
            group,
            [cell for cell in cells if cell != without],
        )
        if plan is not None:
            self._choice.count(plan, group)
        return plan

    def _alone_s(self, job: DurableJob, room_cpu: int) -> float:
        """Returns what a job would take if nothing else ran, in seconds."""
        return sum(
            self._work_s(job, step)
            * math.ceil(step.width * step.needs.cpu_milli / max(room_cpu, 1))
            for step in job.steps
        )

    def _group(self, job: DurableJob, step: Step, width: int) -> TaskGroup:
        return TaskGroup(job.service, step, width, self._work_s(job, step))

    def _work_s(self, job: DurableJob, step: Step) -> float:
        return self._speeds.work_s(job.queue, step.estimate_ms / MS_PER_S)
