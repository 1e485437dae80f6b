"""Client that submits jobs to entry VMs and retries them safely.

A submission keeps its identifier through every retry, so it can't start
twice.  An outcome of *unknown* is raised as an error and never retried as a
new submission, because only the caller knows whether that is safe.
"""

import random
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from types import TracebackType
from typing import Any, NamedTuple
from urllib.parse import quote

from camphorlink.errors import NotRunError, OutcomeUnknownError
from camphorlink.internal.client.delivery import (
    Delivery,
    now_s,
    read_time_limit_s,
)
from camphorlink.internal.client.errors import (
    NoAnswerError,
    UnreadableAnswerError,
)
from camphorlink.internal.client.replies import RawReply, read_document
from camphorlink.internal.client.retries import RetryLimits, RetryPolicy
from camphorlink.internal.client.transport import Transport

#: Reasons of *not-run* refusals that are retried as a new submission, since
#: another entry VM, or the same one later, may accept the job.
TRY_ANEW_REASONS = frozenset(
    (
        'draining',
        'no-manifest',
        'queue-full',
        'table-full',
        'no-backend',
        'backend-busy',
        'backend-leaving',
        'connect-failed',
    ),
)
#: Header with the time of the first use of a key, in ms since the epoch.
KEY_ISSUED_HEADER = 'Key-Issued-Ms'


class _IssuedId(NamedTuple):
    submission_id: str
    home_url: str | None


class Client:
    """Submits jobs to the entry VMs of one site.

    Use it as an asynchronous context manager and reuse one instance for all
    submissions: it owns the connection pool and the retry budget.
    """

    def __init__(
        self,
        entry_urls: Sequence[str],
        limits: RetryLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a client; connections are opened on entry to the context.

        Args:
            entry_urls: Base URLs of entry VMs or of a load balancer in front
                of them, nearest first.
            limits: Limits on retries; the defaults if ``None``.
            rng: Source of jitter; pass a seeded one for reproducible delays.
        """
        self._entry_urls = [url.rstrip('/') for url in entry_urls]
        self._retry_policy = RetryPolicy(
            limits or RetryLimits(),
            rng or random.SystemRandom(),
        )
        self._transport = Transport()
        self._unreachable_homes: set[str] = set()

    async def __aenter__(self) -> 'Client':
        """Opens the connection pool."""
        await self._transport.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._transport.__aexit__(exc_type, exc, trace)

    async def submit(self, job: Mapping[str, Any]) -> dict[str, Any]:
        """Runs a job and returns the result of each task by its id.

        If an entry VM refuses the job without running it and another VM may
        accept it, the job is resubmitted there under a new identifier.

        Args:
            job: The job as ``docs/INTERFACE.md`` describes it.

        Raises:
            JobError: The job has no valid deadline or no task ids.
            NotRunError: Nothing was started; a new submission is safe.
            JobFailedError: The job can't complete; its ``fates`` attribute
                has the outcome of each task.
            OutcomeUnknownError: The job may have run; a new submission may
                run it twice.
        """
        deadline_s = now_s() + read_time_limit_s(job)
        retry_count = 0
        while True:
            try:
                return await self._submit_with_new_id(job, deadline_s)
            except NotRunError as refusal:
                if refusal.reason not in TRY_ANEW_REASONS:
                    raise
                self._rotate_entry_urls()
                if not await self._wait_before_resubmission(
                    retry_count, deadline_s, refusal
                ):
                    raise
            retry_count += 1

    async def submit_named(
        self,
        submission_id: str,
        job: Mapping[str, Any],
    ) -> dict[str, Any]:
        """Runs a job under an identifier that was issued before.

        If the identifier already has a run, the call returns that run's
        results instead of starting another.
        """
        delivery = Delivery(
            self._transport,
            self._retry_policy,
            _submission_path(submission_id),
            job,
            self._entry_urls,
        )
        return await delivery.run(now_s() + read_time_limit_s(job))

    async def submit_key(
        self,
        key: str,
        issued_ms: int,
        job: Mapping[str, Any],
    ) -> dict[str, Any]:
        """Runs a job at most once for all submissions with the same key.

        Args:
            key: Idempotency key chosen by the caller, such as a booking
                number; it is scoped to the service of the job.
            issued_ms: Time of the first use of the key, in ms since the
                epoch.  Pass the same time with every retry: a key that is
                older than the platform's retention is refused instead of
                being run again.
            job: The job, identical in all submissions with the key.
        """
        service = quote(str(job.get('service')), safe='')
        delivery = Delivery(
            self._transport,
            self._retry_policy,
            f'/v1/keys/{service}/{quote(key, safe="")}',
            job,
            self._entry_urls,
            headers={KEY_ISSUED_HEADER: str(issued_ms)},
        )
        return await delivery.run(now_s() + read_time_limit_s(job))

    async def issue_id(self) -> str:
        """Requests a submission identifier from an entry VM.

        Raises:
            NotRunError: No entry VM answered.
        """
        issued = await self._request_id()
        return issued.submission_id

    async def cancel(self, submission_id: str) -> None:
        """Cancels a submission, so that its waiting tasks never start.

        Raises:
            OutcomeUnknownError: No entry VM confirmed the cancellation.
        """
        reply = await self._send_to_any_entry(
            'DELETE', _submission_path(submission_id)
        )
        if reply is None or reply.status != HTTPStatus.ACCEPTED:
            raise OutcomeUnknownError('no-answer', 'cancel it again', {})

    async def show(self, submission_id: str) -> dict[str, Any]:
        """Returns the current state of a submission without waiting."""
        reply = await self._send_to_any_entry(
            'GET', _submission_path(submission_id)
        )
        if reply is None:
            return {'known': False}
        try:
            return read_document(reply)
        except UnreadableAnswerError:
            return {'known': False}

    async def _send_to_any_entry(
        self, method: str, path: str
    ) -> RawReply | None:
        for url in tuple(self._entry_urls):
            try:
                return await self._transport.send(method, url + path)
            except NoAnswerError:
                self._rotate_entry_urls()
        return None

    async def _submit_with_new_id(
        self,
        job: Mapping[str, Any],
        deadline_s: float,
    ) -> dict[str, Any]:
        issued = await self._request_id()
        urls = list(self._entry_urls)
        if issued.home_url is not None and issued.home_url not in urls:
            urls.insert(0, issued.home_url)
        delivery = Delivery(
            self._transport,
            self._retry_policy,
            _submission_path(issued.submission_id),
            job,
            urls,
            is_first=True,
        )
        try:
            return await delivery.run(deadline_s)
        finally:
            self._unreachable_homes |= delivery.unreachable

    async def _request_id(self) -> _IssuedId:
        for url in tuple(self._entry_urls):
            try:
                return self._decode_issued_id(
                    await self._transport.send(
                        'POST',
                        f'{url}/v1/submission-ids',
                    ),
                )
            except NoAnswerError:
                self._rotate_entry_urls()
        raise NotRunError('no-entry-vm', 'check the addresses, then retry', {})

    def _decode_issued_id(self, reply: RawReply) -> _IssuedId:
        document = read_document(reply)
        submission_id = document.get('submission_id')
        if not isinstance(submission_id, str):
            raise UnreadableAnswerError(reply.status, 'no identifier')
        home_url = f'http://{document.get("home_address")}'
        if not document.get('home_address'):
            return _IssuedId(submission_id, None)
        if home_url in self._unreachable_homes:
            return _IssuedId(submission_id, None)
        return _IssuedId(submission_id, home_url)

    async def _wait_before_resubmission(
        self,
        retry_count: int,
        deadline_s: float,
        refusal: NotRunError,
    ) -> bool:
        # A draining VM refuses for itself alone, so the next VM is tried
        # without the delay that Retry-After requests.
        min_delay_s = refusal.retry_after_s
        if refusal.reason == 'draining' and len(self._entry_urls) > 1:
            min_delay_s = None
        return await self._retry_policy.wait_before_retry(
            retry_count, deadline_s, min_delay_s
        )

    def _rotate_entry_urls(self) -> None:
        self._entry_urls.append(self._entry_urls.pop(0))


def _submission_path(submission_id: str) -> str:
    return f'/v1/submissions/{quote(submission_id, safe="")}'
