"""State of one submission at its home, from admission to its answer."""

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

#: Request that waits for an answer: the number of a request to this VM, or the
#: incarnation of the entry VM that relayed the job.
WaitingCaller = int | Home


class JobRun:
    """Collects the outcomes of the tasks of a submission and builds its answer.

    A run is open until it has an answer.  Later messages, such as the result
    of a task that was still running when its job failed, update the task
    outcomes, which explain the submission, but never change the answer.

    Attributes:
        submission_id: Text form of the submission's identifier.
        job: Submitted job; without payloads once the run has an answer.
        version: Configuration version in force when the run was opened.
        answer: Answer of the run, or ``None`` while the run is open.
        waiters: Requests that wait for the answer, in order of arrival.
        task_outcomes: Outcome of each task, by position.
        held_bytes: Size of the answer as counted by the home table, in bytes.
    """

    def __init__(
        self,
        submission_id: str,
        job: Job,
        version: int,
        on_closed: Callable[['JobRun'], None] | None = None,
    ) -> None:
        """Opens a run in which no task has started.

        Args:
            submission_id: Text form of the submission's identifier.
            job: Submitted job.
            version: Configuration version in force.
            on_closed: Called once, when the run gets its answer.
        """
        self.submission_id = submission_id
        self.job = job
        self.version = version
        self.answer: Answer | None = None
        self.waiters: dict[WaitingCaller, None] = {}
        self.task_outcomes = [TaskOutcome.NOT_STARTED for _ in job.tasks]
        self.held_bytes = 0
        self._on_closed = on_closed
        self._attempts = bytearray(len(job.tasks))
        self._results: list[Payload] = [None for _ in job.tasks]
        self._finished_count = 0

    @property
    def is_open(self) -> bool:
        """Whether the run has no answer yet."""
        return self.answer is None

    def mark_started(self, index: int) -> None:
        """Records that a task was sent to a back end."""
        self.task_outcomes[index] = TaskOutcome.RUNNING
        self._attempts[index] += 1

    def is_current_attempt(self, index: int, attempt: int) -> bool:
        """Returns whether an attempt of a task is its last and unresolved one.

        It protects against repeated reports and reports of earlier attempts,
        which must not start the task again.

        Args:
            index: Position of the task in its job.
            attempt: Number of the attempt, from 1.
        """
        is_running = self.task_outcomes[index] in _UNRESOLVED_OUTCOMES
        return is_running and self._attempts[index] == attempt

    def mark_not_started(self, index: int) -> None:
        """Records that the last attempt of a task provably did not start."""
        self.task_outcomes[index] = TaskOutcome.NOT_STARTED

    def finish_task(self, index: int, task_result: Payload) -> Answer | None:
        """Records the result of a task.

        Returns:
            The complete answer if all tasks have now finished, or ``None``.
        """
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
        """Records that a task failed, and closes the run.

        Returns:
            The answer, or ``None`` if the run was closed before.
        """
        self.task_outcomes[index] = TaskOutcome.FAILED
        return self.close(Reason.TASK_FAILED, detail)

    def lose_task(self, index: int, detail: str) -> Answer | None:
        """Records that the outcome of a task is unknown, and closes the run.

        Returns:
            The answer, or ``None`` if the run was closed before.
        """
        self.task_outcomes[index] = TaskOutcome.UNKNOWN
        return self.close(Reason.TASK_LOST, detail)

    def close(
        self,
        reason: Reason,
        detail: str = '',
        retry_after_s: float | None = None,
    ) -> Answer | None:
        """Closes the run without a complete result.

        Args:
            reason: Reason of the answer.
            detail: Details for the caller, as text.
            retry_after_s: Time after which the caller may retry, in seconds.

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
        """Closes the run with an answer that it got at another home."""
        self.answer = answer
        self._results = []
        self.task_outcomes = [
            answer.outcomes_by_task.get(task.task_id, TaskOutcome.FINISHED)
            for task in self.job.tasks
        ]

    def outcomes_by_task(self) -> dict[str, TaskOutcome]:
        """Returns the outcome of each task by its id; running ones are unknown."""
        return {
            task.task_id: TaskOutcome.UNKNOWN
            if outcome is TaskOutcome.RUNNING
            else outcome
            for task, outcome in zip(
                self.job.tasks, self.task_outcomes, strict=True
            )
        }

    def _set_answer(self, answer: Answer) -> Answer:
        self.answer = answer
        self._results = []
        # No task starts after the answer, so the payloads are released.
        self.job = self.job._replace(
            tasks=tuple(task._replace(payload=None) for task in self.job.tasks),
        )
        if self._on_closed is not None:
            self._on_closed(self)
        return answer

    def _outcome(self) -> Outcome:
        outcomes = set(self.task_outcomes)
        if outcomes == {TaskOutcome.NOT_STARTED}:
            return Outcome.NOT_RUN
        if outcomes & {TaskOutcome.NOT_STARTED, TaskOutcome.FAILED}:
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
