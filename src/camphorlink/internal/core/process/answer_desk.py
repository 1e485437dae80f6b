"""Gives every waiting request the answer to its own submission."""

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.peer_post import PeerPost
from camphorlink.internal.core.process.timers import TimerKey, Timers
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Answer, build_not_run_answer
from camphorlink.internal.core.request.job_run import JobRun, Waiter
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.relay_codec import (
    build_relay_answer,
    limit_answer_size,
)

REFUSALS = 'refusals'
FAILURES = 'failures'
RETRIES = 'retries'


class AnswerDesk:
    """Keeps who waits for what, and each submission's deadline."""

    def __init__(self, timers: Timers, post: PeerPost) -> None:
        """Starts with nobody waiting."""
        self._timers = timers
        self._post = post
        self._deadline_by_id: dict[str, TimerKey] = {}
        self._effects: list[messages.Effect] = []

    def take_effects(self) -> list[messages.Effect]:
        """Hands over the effects collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def wait(self, run: JobRun, caller: Waiter) -> None:
        """Lets a request wait for a run that has just been opened."""
        run.waiting_callers[caller] = None
        self._deadline_by_id[run.submission_id] = self._timers.call_at(
            run.job.deadline_s,
            lambda _now: self.deliver(run, run.close(Reason.DEADLINE_PASSED)),
        )

    def join(self, run: JobRun, message: messages.Submit) -> None:
        """Lets a resubmission wait for, or have, the answer of its run."""
        if run.job.digest != message.job.digest:
            self.refuse(message, build_not_run_answer(Reason.OTHER_JOB))
        elif run.answer is None:
            run.waiting_callers[message.caller] = None
        else:
            self.give(message, run.answer)

    def refuse(self, message: messages.Submit, answer: Answer) -> None:
        """Answers a request that opens no run."""
        if answer.reason is not None:
            self._count(REFUSALS, answer.reason)
        self.give(message, answer)

    def give(self, message: messages.Submit, answer: Answer) -> None:
        """Answers one request."""
        self._answer(
            message.caller,
            str(message.submission_id),
            message.job.digest,
            answer,
        )

    def deliver(self, run: JobRun, answer: Answer | None) -> None:
        """Gives a run's new answer, if there is one, to all who wait."""
        if answer is None:
            return
        if answer.reason is not None:
            self.count_failure(answer.reason)
        deadline = self._deadline_by_id.pop(run.submission_id, None)
        if deadline is not None:
            self._timers.cancel(deadline)
        for caller in run.waiting_callers:
            self._answer(caller, run.submission_id, run.job.digest, answer)
        run.waiting_callers.clear()

    def count_failure(self, reason: Reason) -> None:
        """Counts a submission that ends without a whole answer."""
        self._count(FAILURES, reason)

    def count_retry(self, reason: Reason) -> None:
        """Counts a task that is sent once more."""
        self._count(RETRIES, reason)

    def _answer(
        self,
        waiter: Waiter,
        submission_id: str,
        digest: str,
        answer: Answer,
    ) -> None:
        if isinstance(waiter, Home):
            fitting = limit_answer_size(answer)
            said = build_relay_answer(submission_id, digest, fitting)
            self._post.send(waiter, said)
            return
        self._effects.append(messages.Deliver(waiter, submission_id, answer))

    def _count(self, counter: str, reason: Reason) -> None:
        self._effects.append(messages.CountReason(counter, reason.value))
