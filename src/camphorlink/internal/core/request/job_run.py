"""Progress of one submission at its home, from admission to its answer."""

from collections.abc import Callable

from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import (
    Answer,
    Job,
    Outcome,
    Payload,
    TaskOutcome,
)
from camphorlink.internal.core.request.reasons import Reason

_UNRESOLVED_OUTCOMES = frozenset((TaskOutcome.RUNNING, TaskOutcome.UNKNOWN))

#: Who waits for an answer: a request by its number, or another entry VM.
Waiter = int | Home


class JobRun:
    """Collects what becomes of each task and assembles the whole answer.

    A run is open until it has its answer.  What comes later (the result of
    a task that ran on after its job had failed) updates the fates, which
    explain the submission, and never the answer.
    """

    def __init__(
        self,
        submission_id: str,
        job: Job,
        version: int,
        on_closed: Callable[['JobRun'], None] | None = None,
    ) -> None:
        """Opens the run of ``job`` under a configuration version.

        Args:
            submission_id: Text form of the identifier.
            job: What is to be run.
            version: Configuration version in force.
            on_closed: Called once, as soon as the run has its answer.
        """
        self.submission_id = submission_id
        self.job = job
        self.version = version
        self.answer: Answer | None = None
        self.waiting_callers: dict[Waiter, None] = {}
        self.task_outcomes = [TaskOutcome.NOT_STARTED for _ in job.tasks]
        self.held_bytes = 0
        self._on_closed = on_closed
        self._attempts = bytearray(len(job.tasks))
        self._results: list[Payload] = [None for _ in job.tasks]
        self._finished_count = 0

    @property
    def is_open(self) -> bool:
        """Whether the answer is still to come."""
        return self.answer is None

    def mark_started(self, index: int) -> None:
        """Notes that a task was sent to a back end."""
        self.task_outcomes[index] = TaskOutcome.RUNNING
        self._attempts[index] += 1

    def is_current_attempt(self, index: int, attempt: int) -> bool:
        """Whether this very try of a task is the one that is running.

        A report that comes twice, or for an earlier try, must not start the
        task again.
        """
        is_running = self.task_outcomes[index] in _UNRESOLVED_OUTCOMES
        return is_running and self._attempts[index] == attempt

    def mark_not_started(self, index: int) -> None:
        """Notes proof that the last try of a task was not started."""
        self.task_outcomes[index] = TaskOutcome.NOT_STARTED

    def finish_task(self, index: int, task_result: Payload) -> Answer | None:
        """Notes a task's result; returns the answer if it was the last."""
        if self.task_outcomes[index] is TaskOutcome.FINISHED:
            return None
        self.task_outcomes[index] = TaskOutcome.FINISHED
        if not self.is_open:
            return None
        self._results[index] = task_result
        self._finished_count += 1
        if self._finished_count < len(self.task_outcomes):
            return None
        answer = Answer(Outcome.COMPLETE, self._results_by_task())
        return self._set_answer(answer)

    def fail_task(self, index: int, detail: str) -> Answer | None:
        """Notes that a task ran and failed; the job fails with it."""
        self.task_outcomes[index] = TaskOutcome.FAILED
        return self.close(Reason.TASK_FAILED, detail)

    def lose_task(self, index: int, detail: str) -> Answer | None:
        """Notes that the fate of a task can't be told any more."""
        self.task_outcomes[index] = TaskOutcome.UNKNOWN
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
        answer = Answer(
            self._outcome(),
            {},
            reason=reason,
            outcomes_by_task=self.outcomes_by_task(),
            detail=detail,
            retry_after_s=retry_after_s,
        )
        return self._set_answer(answer)

    def restore(self, answer: Answer) -> None:
        """Takes over the answer that the run got at another home."""
        self.answer = answer
        self._results = []
        self.task_outcomes = [
            answer.outcomes_by_task.get(task.task_id, TaskOutcome.FINISHED)
            for task in self.job.tasks
        ]

    def outcomes_by_task(self) -> dict[str, TaskOutcome]:
        """Tells the fate of each task; one still running counts unknown."""
        return {
            task.task_id: TaskOutcome.UNKNOWN
            if fate is TaskOutcome.RUNNING
            else fate
            for task, fate in zip(
                self.job.tasks, self.task_outcomes, strict=True
            )
        }

    def _set_answer(self, answer: Answer) -> Answer:
        self.answer = answer
        self._results = []
        # No task starts any more, so nobody needs the payloads.
        self.job = self.job._replace(
            tasks=tuple(task._replace(payload=None) for task in self.job.tasks),
        )
        if self._on_closed is not None:
            self._on_closed(self)
        return answer

    def _outcome(self) -> Outcome:
        kinds = set(self.task_outcomes)
        if kinds == {TaskOutcome.NOT_STARTED}:
            return Outcome.NOT_RUN
        if kinds & {TaskOutcome.NOT_STARTED, TaskOutcome.FAILED}:
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
