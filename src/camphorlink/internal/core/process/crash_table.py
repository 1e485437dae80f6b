"""Crashes of back ends and the tasks that were there.

The same crash may be recorded more than once, so that a table can be filled
from the job log and from an owner's own observations.
"""

from typing import NamedTuple

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
)

#: Number of crashes that are remembered: 300 back ends that crash every 4 s do
#: so in 13 s, and callers give up within a few seconds.
MAX_CRASHES_KEPT = 1000


class Incarnation(NamedTuple):
    """Identifies one incarnation of a back end.

    Attributes:
        backend_id: Identifier of the back end.
        started_ms: Start time of the incarnation, in ms.
    """

    backend_id: str
    started_ms: int


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

    def record(self, crash: BackendCrashed) -> None:
        """Records a crash; of a known one, only whether it is certain."""
        incarnation = Incarnation(crash.backend_id, crash.started_ms)
        known = self._crash_by_incarnation.get(incarnation)
        if known is not None:
            if crash.is_certain:
                self._make_certain(incarnation, known)
            return
        self._crash_by_incarnation[incarnation] = crash
        if not crash.is_certain:
            self._uncertain.add(incarnation)
        for task in (*crash.tasks, *crash.unconfirmed):
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
        incarnation = Incarnation(survived.backend_id, survived.started_ms)
        if not self.is_certain(incarnation):
            self._forget(incarnation)

    def crashes_of(self, task: TaskKey) -> dict[Incarnation, Crash]:
        """Returns the crashes under a task, by incarnation."""
        return {
            incarnation: _describe(
                self._crash_by_incarnation[incarnation], task
            )
            for incarnation in self._incarnations_by_job.get(task.job_id, ())
            if _concerns(self._crash_by_incarnation[incarnation], task)
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

    def _make_certain(
        self, incarnation: Incarnation, known: BackendCrashed
    ) -> None:
        certain = known._replace(is_certain=True)
        self._crash_by_incarnation[incarnation] = certain
        self._uncertain.discard(incarnation)

    def _forget(self, incarnation: Incarnation) -> None:
        self._uncertain.discard(incarnation)
        crash = self._crash_by_incarnation.pop(incarnation, None)
        tasks = () if crash is None else (*crash.tasks, *crash.unconfirmed)
        for task in tasks:
            incarnations = self._incarnations_by_job.get(task.job_id, set())
            incarnations.discard(incarnation)
            if not incarnations:
                self._incarnations_by_job.pop(task.job_id, None)


def _concerns(crash: BackendCrashed, task: TaskKey) -> bool:
    return task in crash.tasks or task in crash.unconfirmed


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
