"""Sends one named submission until it has an answer."""

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
#: Time on top of a job's deadline in which its refusal may arrive, seconds.
ANSWER_MARGIN_S = 1.0
MIN_REMAINING_S = 0.001
#: Answers of *unknown* that may become known by asking again.
RETRYABLE_REASONS = frozenset(
    ('home-unreachable', 'internal-error', 'relays-full'),
)


class Delivery:
    """Sends a job under one name, as often as it takes and is allowed.

    The name stays the same, so no repeat can start anything twice.
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
        """Prepares to send; ``run`` does it.

        Args:
            transport: Connections to send over.
            retry_policy: Decides whether and when a retry is made.
            path: Path of the submission or the key.
            job: What to run.
            urls: Base URLs to try in turn.
            is_first: Whether nobody can have sent this name before.
            headers: Sent with every try.

        Raises:
            JobError: The job lacks what its delivery needs.
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
        """Returns the result of each task by its id.

        Raises:
            OutcomeError: How it ended else.
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
            return NotRunError('no-entry-vm', 'submit it again later', {})
        submission_id = self._path.rsplit('/', 1)[-1]
        error = OutcomeUnknownError(
            self._reason,
            f'ask again for {submission_id} under the same name',
            {},
        )
        error.submission_id = submission_id
        return error


def now_s() -> float:
    """Tells the time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()


def read_time_limit_s(job: Mapping[str, Any]) -> float:
    """Tells how long a job may take, in seconds.

    Raises:
        JobError: It doesn't say.
    """
    try:
        return float(job['deadline_ms']) / MS_PER_S
    except (KeyError, TypeError, ValueError) as exc:
        fault = Fault('$.deadline_ms', 'no number', 'say how long it may take')
        raise JobError([fault]) from exc


def read_task_ids(job: Mapping[str, Any]) -> list[str]:
    """Lists the tasks that a whole answer has results for.

    Raises:
        JobError: The tasks have no ids.
    """
    try:
        return [task['id'] for task in job['tasks']]
    except (KeyError, TypeError) as exc:
        fault = Fault('$.tasks', 'no tasks with ids', 'name each task')
        raise JobError([fault]) from exc
