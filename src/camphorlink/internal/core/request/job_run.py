"""Progress of one submission at its home, from admission to its answer."""

from camphorlink.internal.core.request.job import (
    Answer,
    Fate,
    Job,
    Outcome,
    Payload,
)
from camphorlink.internal.core.request.reasons import Reason


class JobRun:
    """Collects what becomes of each task and assembles the whole answer.

    A run is open until it has its answer.  What comes later (the result of
    a task that ran on after its job had failed) updates the fates, which
    explain the submission, and never the answer.
    """

    def __init__(self, submission_id: str, job: Job, version: int) -> None:
        """Opens the run of ``job`` under a configuration version."""
        self.submission_id = submission_id
        self.job = job
        self.version = version
        self.answer: Answer | None = None
        self.waiting_callers: list[int] = []
        self.fates = [Fate.NOT_STARTED for _ in job.tasks]
        self._results: list[Payload] = [None for _ in job.tasks]
        self._finished = 0

    @property
    def is_open(self) -> bool:
        """Whether the answer is still to come."""
        return self.answer is None

    def mark_started(self, index: int) -> None:
        """Notes that a task was sent to a back end."""
        self.fates[index] = Fate.RUNNING

    def mark_not_started(self, index: int) -> None:
        """Notes proof that the last try of a task was not started."""
        self.fates[index] = Fate.NOT_STARTED

    def finish_task(self, index: int, task_result: Payload) -> Answer | None:
        """Notes a task's result; returns the answer if it was the last."""
        if self.fates[index] is Fate.FINISHED:
            return None
        self.fates[index] = Fate.FINISHED
        self._results[index] = task_result
        self._finished += 1
        if not self.is_open or self._finished < len(self.fates):
            return None
        self.answer = Answer(Outcome.COMPLETE, self._results_by_task())
        return self.answer

    def fail_task(self, index: int, detail: str) -> Answer | None:
        """Notes that a task ran and failed; the job fails with it."""
        self.fates[index] = Fate.FAILED
        return self.close(Reason.TASK_FAILED, detail)

    def lose_task(self, index: int, detail: str) -> Answer | None:
        """Notes that the fate of a task can't be told any more."""
        self.fates[index] = Fate.UNKNOWN
        return self.close(Reason.TASK_LOST, detail)

    def close(
        self,
        reason: Reason,
        detail: str = '',
        retry_after_s: float | None = None,
    ) -> Answer | None:
        """Ends the run without a whole result.

        Returns:
            The answer, or ``None`` if the run was closed before.
        """
        if not self.is_open:
            return None
        self._results = [None for _ in self.fates]
        self.answer = Answer(
            self._outcome(),
            {},
            reason=reason,
            fates_by_task=self.fates_by_task(),
            detail=detail,
            retry_after_s=retry_after_s,
        )
        return self.answer

    def fates_by_task(self) -> dict[str, Fate]:
        """Tells the fate of each task; one still running counts unknown."""
        return {
            task.task_id: Fate.UNKNOWN if fate is Fate.RUNNING else fate
            for task, fate in zip(self.job.tasks, self.fates, strict=True)
        }

    def _outcome(self) -> Outcome:
        kinds = set(self.fates)
        if kinds == {Fate.NOT_STARTED}:
            return Outcome.NOT_RUN
        if kinds & {Fate.NOT_STARTED, Fate.FAILED}:
            return Outcome.FAILED
        return Outcome.UNKNOWN

    def _results_by_task(self) -> dict[str, Payload]:
        return {
            task.task_id: task_result
            for task, task_result in zip(
                self.job.tasks,
                self._results,
                strict=True,
            )
        }
