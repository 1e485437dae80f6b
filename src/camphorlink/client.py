"""Client for callers: submits jobs and resubmits them safely.

A submission keeps its identifier through every retry, so it can't start
twice.  An outcome of *unknown* is raised to you and never turned into a new
submission, because only you can tell whether that would be safe.
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

#: Refusals (not run) that another entry VM, or a later time, may not give.
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
#: Tells when a key was first used, in ms since the epoch.
KEY_ISSUED_HEADER = 'Key-Issued-Ms'


class _IssuedId(NamedTuple):
    submission_id: str
    home_url: str | None


class Client:
    """Submits jobs to the entry VMs of one site.

    Use it as an asynchronous context manager and keep it for as long as you
    submit: it holds the connections and the retry budget.
    """

    def __init__(
        self,
        entry_urls: Sequence[str],
        limits: RetryLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Takes the addresses of entry VMs, or of the balancer before them.

        Args:
            entry_urls: Base URLs, nearest first.
            limits: How much may be repeated.
            rng: Source of jitter; give a seeded one to repeat a run.
        """
        self._entry_urls = [url.rstrip('/') for url in entry_urls]
        self._retry_policy = RetryPolicy(
            limits or RetryLimits(),
            rng or random.SystemRandom(),
        )
        self._transport = Transport()
        self._unreachable_homes: set[str] = set()

    async def __aenter__(self) -> 'Client':
        """Opens the pool of connections."""
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

        Where an entry VM says that nothing was run and another one might run
        it, the job is submitted there under a new identifier.

        Args:
            job: The job as ``docs/INTERFACE.md`` describes it.

        Raises:
            JobError: The job lacks what its delivery needs.
            NotRunError: Nothing was started; a new submission is safe.
            JobFailedError: The job can't complete; see the fates.
            OutcomeUnknownError: It may have run; don't just submit again.
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

        It joins the run that is already there under this identifier.
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
        """Runs a job once for all who submit it under the same key.

        Args:
            key: Yours, such as a booking number; the service of the job is
                part of it.
            issued_ms: When the key was first used, ms since the epoch.  Give
                the same time with every repeat: a key older than what the
                platform remembers is refused, instead of being run again.
            job: What to run, the same for the same key.
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
        """Asks for an identifier to submit a job under.

        Raises:
            NotRunError: No entry VM answered.
        """
        issued = await self._request_id()
        return issued.submission_id

    async def cancel(self, submission_id: str) -> None:
        """Gives a submission up: tasks that wait never start.

        Raises:
            OutcomeUnknownError: Nobody said that it was taken.
        """
        reply = await self._send_to_any_entry(
            'DELETE', _submission_path(submission_id)
        )
        if reply is None or reply.status != HTTPStatus.ACCEPTED:
            raise OutcomeUnknownError('no-answer', 'cancel it again', {})

    async def show(self, submission_id: str) -> dict[str, Any]:
        """Tells what is known of a submission now, without waiting for it."""
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
        # Another VM is asked at once when this one only is leaving.
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
