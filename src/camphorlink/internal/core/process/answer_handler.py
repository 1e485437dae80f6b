"""Delivers answers to the requests that wait for a submission."""

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.peer_sender import PeerSender
from camphorlink.internal.core.process.timers import TimerKey, Timers
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Answer, build_not_run_answer
from camphorlink.internal.core.request.job_run import JobRun, WaitingCaller
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.relay_codec import (
    build_relay_answer,
    limit_answer_size,
)

REFUSALS = 'refusals'
FAILURES = 'failures'
RETRIES = 'retries'


class AnswerHandler:
    """Delivers answers to waiting requests and enforces deadlines.

    A waiting request is either a request of a local caller or an entry VM
    that relayed the job.
    """

    def __init__(self, timers: Timers, peer_sender: PeerSender) -> None:
        """Creates a handler without waiting requests.

        Args:
            timers: Timer service of the core.
            peer_sender: Sends the answers of relayed jobs.
        """
        self._timers = timers
        self._peer_sender = peer_sender
        self._deadline_by_id: dict[str, TimerKey] = {}
        self._effects: list[messages.Effect] = []

    def take_effects(self) -> list[messages.Effect]:
        """Returns and clears the effects collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def add_run(self, run: JobRun, caller: WaitingCaller) -> None:
        """Registers the first waiter of a new run; sets the deadline timer."""
        run.waiters[caller] = None
        self._deadline_by_id[run.submission_id] = self._timers.call_at(
            run.job.deadline_s,
            lambda _now: self.deliver(run, run.close(Reason.DEADLINE_PASSED)),
        )

    def join_run(self, run: JobRun, message: messages.Submit) -> None:
        """Attaches a repeated submission to the existing run.

        The request gets the run's answer at once if there is one. It is
        refused if its job differs from the job of the run.
        """
        if run.job.digest != message.job.digest:
            self.refuse(message, build_not_run_answer(Reason.OTHER_JOB))
        elif run.answer is None:
            run.waiters[message.caller] = None
        else:
            self.answer_request(message, run.answer)

    def refuse(self, message: messages.Submit, answer: Answer) -> None:
        """Sends a refusal to one request, whose run is not opened."""
        if answer.reason is not None:
            self._count(REFUSALS, answer.reason)
        self.answer_request(message, answer)

    def answer_request(self, message: messages.Submit, answer: Answer) -> None:
        """Sends an answer to one request."""
        self._send_answer(
            message.caller,
            str(message.submission_id),
            message.job.digest,
            answer,
        )

    def deliver(self, run: JobRun, answer: Answer | None) -> None:
        """Sends the answer of a run to all its waiting requests.

        Args:
            run: The run; its deadline timer is cancelled.
            answer: Its answer; if ``None``, nothing is done.
        """
        if answer is None:
            return
        if answer.reason is not None:
            self.count_failure(answer.reason)
        deadline = self._deadline_by_id.pop(run.submission_id, None)
        if deadline is not None:
            self._timers.cancel(deadline)
        for caller in run.waiters:
            self._send_answer(caller, run.submission_id, run.job.digest, answer)
        run.waiters.clear()

    def count_failure(self, reason: Reason) -> None:
        """Counts a submission that was answered without being complete."""
        self._count(FAILURES, reason)

    def count_retry(self, reason: Reason) -> None:
        """Counts a retried task."""
        self._count(RETRIES, reason)

    def _send_answer(
        self,
        waiter: WaitingCaller,
        submission_id: str,
        digest: str,
        answer: Answer,
    ) -> None:
        if isinstance(waiter, Home):
            limited_answer = limit_answer_size(answer)
            reply = build_relay_answer(submission_id, digest, limited_answer)
            self._peer_sender.send(waiter, reply)
            return
        self._effects.append(messages.Deliver(waiter, submission_id, answer))

    def _count(self, counter: str, reason: Reason) -> None:
        self._effects.append(messages.CountReason(counter, reason.value))
