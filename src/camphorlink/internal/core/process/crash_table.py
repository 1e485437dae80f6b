"""Crashes of back ends and the tasks that were there.

The same crash may be recorded more than once, so that a table can be filled
from the job log and from an owner's own observations.
"""

from camphorlink.internal.core.request.crash_assessment import (
    Assessment,
    Crash,
    CrashKind,
    assess,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    BackendCrashed,
    BackendSurvived,
    Incarnation,
)

#: Number of crashes that are remembered: 300 back ends that crash every 4 s do
#: so in 13 s, and callers give up within a few seconds.
MAX_CRASHES_KEPT = 1000


class CrashTable:
    """Remembers the latest crashes, by incarnation and by job."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._crash_by_incarnation: dict[Incarnation, BackendCrashed] = {}
        self._uncertain: set[Incarnation] = set()
        self._incarnations_by_job: dict[str, set[Incarnation]] = {}

    @property
    def records(self) -> list[BackendCrashed]:
        """The remembered crashes, oldest first."""
        return list(self._crash_by_incarnation.values())

    def record(self, crash: BackendCrashed) -> BackendCrashed:
        """Records a crash; of a known one, only whether it is certain.

        Returns:
            The crash as it is remembered.
        """
        incarnation = crash.incarnation
        known = self.get(incarnation)
        if known is None:
            self._add(crash)
            return crash
        if crash.is_certain:
            known = known._replace(is_certain=True)
            self._crash_by_incarnation[incarnation] = known
            self._uncertain.discard(incarnation)
        return known

    def _add(self, crash: BackendCrashed) -> None:
        incarnation = crash.incarnation
        self._crash_by_incarnation[incarnation] = crash
        if not crash.is_certain:
            self._uncertain.add(incarnation)
        for task in crash.possible_tasks:
            self._incarnations_by_job.setdefault(task.job_id, set()).add(
                incarnation
            )
        if len(self._crash_by_incarnation) > MAX_CRASHES_KEPT:
            self._forget(next(iter(self._crash_by_incarnation)))

    def knows(self, incarnation: Incarnation) -> bool:
        """Returns whether the crash of an incarnation is recorded."""
        return incarnation in self._crash_by_incarnation

    def get(self, incarnation: Incarnation) -> BackendCrashed | None:
        """Returns the crash of an incarnation, or ``None``."""
        return self._crash_by_incarnation.get(incarnation)

    def is_certain(self, incarnation: Incarnation) -> bool:
        """Returns whether the crash of an incarnation can't be retracted."""
        crash = self.get(incarnation)
        return crash is not None and crash.is_certain

    def uncertain(self) -> list[BackendCrashed]:
        """Returns the crashes that may still be retracted."""
        return [
            self._crash_by_incarnation[incarnation]
            for incarnation in sorted(self._uncertain)
        ]

    def retract(self, survived: BackendSurvived) -> None:
        """Forgets a crash that did not happen; a certain one has happened."""
        if not self.is_certain(survived.incarnation):
            self._forget(survived.incarnation)

    def crashes_of(self, task: TaskKey) -> dict[Incarnation, Crash]:
        """Returns the crashes under a task, by incarnation."""
        return {
            incarnation: _describe(
                self._crash_by_incarnation[incarnation], task
            )
            for incarnation in self._incarnations_by_job.get(task.job_id, ())
            if task in self._crash_by_incarnation[incarnation].possible_tasks
        }

    def assess(self, task: TaskKey) -> Assessment:
        """Assesses a task by the crashes under it."""
        return assess(self.crashes_of(task).values())

    def find_given_up(self, job_id: str) -> TaskKey | None:
        """Returns a task of a job that was given up, or ``None``."""
        tasks = {
            task
            for incarnation in self._incarnations_by_job.get(job_id, ())
            for task in self._crash_by_incarnation[incarnation].tasks
            if task.job_id == job_id
        }
        for task in sorted(tasks):
            if self.assess(task) is Assessment.GIVEN_UP:
                return task
        return None

    def _forget(self, incarnation: Incarnation) -> None:
        self._uncertain.discard(incarnation)
        crash = self._crash_by_incarnation.pop(incarnation, None)
        tasks = () if crash is None else crash.possible_tasks
        for task in tasks:
            incarnations = self._incarnations_by_job.get(task.job_id, set())
            incarnations.discard(incarnation)
            if not incarnations:
                self._incarnations_by_job.pop(task.job_id, None)


def _describe(crash: BackendCrashed, task: TaskKey) -> Crash:
    # Of an inferred crash, only tasks that may have been there are known.
    is_known = crash.kind is not CrashKind.INFERRED
    is_only_task = len(crash.tasks) == 1 and not crash.unconfirmed
    was_running = task in crash.tasks
    return Crash(
        crash.kind,
        is_known and was_running and is_only_task,
        is_known and crash.tasks[:1] == (task,),
        was_running,
        crash.is_certain,
    )
