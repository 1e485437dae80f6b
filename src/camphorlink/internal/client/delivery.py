"""Sends one submission and retries it until it is answered."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from camphorlink.errors import (
    Fault,
    JobError,
    NotRunError,
    OutcomeUnknownError,
)
from camphorlink.internal.client.errors import (
    NoAnswerError,
    UnreadableAnswerError,
)
from camphorlink.internal.client.replies import read_results
from camphorlink.internal.client.retries import RetryPolicy
from camphorlink.internal.client.transport import NO_HEADERS, Transport

MS_PER_S = 1000
#: Time after a job's deadline within which its refusal may arrive, in seconds.
ANSWER_MARGIN_S = 1.0
MIN_REMAINING_S = 0.001
#: Reasons of *unknown* answers for which a retry may return the outcome.
RETRYABLE_REASONS = frozenset(
    ('home-unreachable', 'internal-error', 'relays-full'),
)


class Delivery:
    """Sends a job under one identifier or key, with retries.

    All retries use the same identifier or key, so no task starts twice.

    Attributes:
        unreachable: Base URLs to which no connection could be opened.
    """

    def __init__(
        self,
        transport: Transport,
        retry_policy: RetryPolicy,
        path: str,
        job: Mapping[str, Any],
        urls: Sequence[str],
        is_first: bool = False,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Prepares the delivery; ``run`` sends it.

        Args:
            transport: Connections to the entry VMs.
            retry_policy: Decides whether and when a retry is made.
            path: URL path of the submission or the key.
            job: The job to run.
            urls: Base URLs to try in turn.
            is_first: Whether the identifier is new, so that no earlier
                request with it can exist.
            headers: Extra headers of every request.

        Raises:
            JobError: The job has no tasks with ids.
        """
        self._transport = transport
        self._retry_policy = retry_policy
        self._path = path
        self._job = job
        self._headers = headers
        self._task_ids = read_task_ids(job)
        self._urls = list(urls)
        self._may_have_arrived = not is_first
        self._reason = 'no-answer'
        self.unreachable: set[str] = set()

    async def run(self, deadline_s: float) -> dict[str, Any]:
        """Sends the job with retries and returns each task's result by id.

        Args:
            deadline_s: Loop time after which no retry is made, in seconds.

        Raises:
            OutcomeError: The job has no complete results.
        """
        self._retry_policy.record_first_send()
        retry_count = 0
        while True:
            url = self._urls[retry_count % len(self._urls)]
            min_delay_s = None
            try:
                return await self._send_once(url, deadline_s)
            except OutcomeUnknownError as answer:
                if answer.reason not in RETRYABLE_REASONS:
                    raise
                self._may_have_arrived = True
                self._reason = answer.reason
                min_delay_s = answer.retry_after_s
            except NoAnswerError as exc:
                self._record_no_answer(url, exc)
            if not await self._retry_policy.wait_before_retry(
                retry_count, deadline_s, min_delay_s
            ):
                raise self._build_final_error()
            retry_count += 1

    async def _send_once(self, url: str, deadline_s: float) -> dict[str, Any]:
        remaining_s = max(deadline_s - now_s(), MIN_REMAINING_S)
        body = orjson.dumps(
            {**self._job, 'deadline_ms': remaining_s * MS_PER_S}
        )
        reply = await self._transport.send(
            'PUT',
            url + self._path,
            body,
            remaining_s + ANSWER_MARGIN_S,
            self._headers,
        )
        return read_results(reply, self._task_ids)

    def _record_no_answer(self, url: str, exc: NoAnswerError) -> None:
        self._may_have_arrived |= exc.may_have_arrived
        if isinstance(exc, UnreadableAnswerError):
            self._reason = 'unreadable-answer'
        elif not exc.may_have_arrived:
            self.unreachable.add(url)

    def _build_final_error(self) -> NotRunError | OutcomeUnknownError:
        if not self._may_have_arrived:
            return NotRunError('no-entry-vm', 'submit the job again later', {})
        submission_id = self._path.rsplit('/', 1)[-1]
        error = OutcomeUnknownError(
            self._reason,
            f'retry {submission_id} with the same identifier or key',
            {},
        )
        error.submission_id = submission_id
        return error


def now_s() -> float:
    """Returns the time of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()


def read_time_limit_s(job: Mapping[str, Any]) -> float:
    """Returns the time that a job may take, in seconds.

    Raises:
        JobError: ``deadline_ms`` is missing or not a number.
    """
    try:
        return float(job['deadline_ms']) / MS_PER_S
    except (KeyError, TypeError, ValueError) as exc:
        fault = Fault('$.deadline_ms', 'no number', 'give a number of ms')
        raise JobError([fault]) from exc


def read_task_ids(job: Mapping[str, Any]) -> list[str]:
    """Returns the ids of the tasks of a job.

    Raises:
        JobError: The job has no tasks, or a task has no id.
    """
    try:
        return [task['id'] for task in job['tasks']]
    except (KeyError, TypeError) as exc:
        fault = Fault('$.tasks', 'no tasks with ids', 'give each task an id')
        raise JobError([fault]) from exc
