"""Holds back tasks that would be given up if all crashes under them were certain.

A back end that refuses connections may run on, and its crash is retracted then.
Giving the task up ends its job for good, so that it has to wait for certainty;
another start might crash one more back end.
"""

from collections.abc import Callable

from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CountEvent,
    LogEvent,
)
from camphorlink.internal.core.process.crash_monitor import CrashMonitor
from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.request.crash_assessment import Assessment
from camphorlink.internal.core.request.durable_job import TaskKey


class WithheldTasks:
    """Tasks of a cell that wait for a verdict on the crashes under them."""

    def __init__(
        self,
        crashes: CrashMonitor,
        find_open: Callable[[TaskKey], LiveJob | None],
        give_up: Callable[[TaskKey], None],
        effects: list[CellEffect],
    ) -> None:
        """Creates an empty set of tasks.

        Args:
            crashes: Assesses the tasks.
            find_open: Returns the job of a task that has not ended.
            give_up: Reports a task that does not run again.
            effects: List that effects are appended to.
        """
        self._crashes = crashes
        self._find_open = find_open
        self._give_up = give_up
        self._effects = effects
        self._live_by_task: dict[TaskKey, LiveJob] = {}

    def assess(self, live: LiveJob, task: TaskKey, now: float) -> Assessment:
        """Assesses a task that is to start; holds it back or gives it up."""
        assessment = self._crashes.assess(task)
        if assessment is Assessment.GIVEN_UP:
            self._give_up(task)
        if assessment is not Assessment.WITHHELD:
            return assessment
        if not self._crashes.must_withhold(task, now):
            return Assessment.SUSPECTED
        self._live_by_task[task] = live
        self._effects.append(CountEvent('withheld_tasks', 'uncertain-crash'))
        self._effects.append(
            LogEvent(
                'Task is withheld: back ends may have crashed under it.',
                {'task': list(task)},
            )
        )
        return assessment

    def pop_due(self, now: float) -> list[tuple[LiveJob, TaskKey]]:
        """Removes and returns the tasks that need not wait any longer.

        Those whose job has ended meanwhile are dropped.
        """
        due = []
        for task, live in list(self._live_by_task.items()):
            is_open = self._find_open(task) is live
            if is_open and self._crashes.must_withhold(task, now):
                continue
            self._live_by_task.pop(task)
            if is_open:
                due.append((live, task))
        return due
