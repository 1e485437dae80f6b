"""Client for callers: submits jobs and resubmits them safely.

A submission keeps its identifier through every retry, so it can't start
twice.  An outcome of *unknown* is raised to you and never turned into a new
submission, because only you can tell whether that would be safe.
"""

import asyncio
from collections.abc import Mapping, Sequence
from types import TracebackType
from typing import Any

import aiohttp
import orjson

from camphorlink.errors import (
    JobFailedError,
    NotRunError,
    OutcomeError,
    OutcomeUnknownError,
)

CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
MAX_TRIES = 4
MS_PER_S = 1000
#: Time on top of a job's deadline in which its refusal may arrive, seconds.
ANSWER_MARGIN_S = 1.0

_ERROR_BY_OUTCOME: dict[str, type[OutcomeError]] = {
    'not-run': NotRunError,
    'failed': JobFailedError,
    'unknown': OutcomeUnknownError,
}


class Client:
    """Submits jobs to the entry VMs of one site.

    Use it as an asynchronous context manager and keep it for as long as you
    submit: it holds the connections.
    """

    def __init__(self, entry_urls: Sequence[str]) -> None:
        """Takes base URLs of entry VMs, nearest first."""
        self._entry_urls = tuple(entry_urls)

    async def __aenter__(self) -> 'Client':
        """Opens the pool of connections."""
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._session.close()

    async def submit(self, job: Mapping[str, Any]) -> dict[str, Any]:
        """Runs a job and returns the result of each task by its id.

        Args:
            job: The job as the callers' interface describes it.

        Raises:
            NotRunError: Nothing was started; a new submission is safe.
            JobFailedError: The job can't complete; see the fates.
            OutcomeUnknownError: It may have run; don't just submit again.
        """
        submission_id = await self._issue_id()
        return await self.submit_named(submission_id, job)

    async def submit_named(
        self,
        submission_id: str,
        job: Mapping[str, Any],
    ) -> dict[str, Any]:
        """Runs a job under an identifier that was issued before."""
        body = orjson.dumps(dict(job))
        total_s = job['deadline_ms'] / MS_PER_S + ANSWER_MARGIN_S
        timeout = aiohttp.ClientTimeout(
            total=total_s,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        for attempt in range(MAX_TRIES):
            url = self._entry_urls[attempt % len(self._entry_urls)]
            request = self._session.put(
                f'{url}/v1/submissions/{submission_id}',
                data=body,
                headers={'Content-Type': 'application/json'},
                timeout=timeout,
            )
            try:
                async with request as response:
                    return _read_answer(await response.read())
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(RETRY_DELAY_S * (attempt + 1))
        raise OutcomeUnknownError(
            'no-answer',
            f'ask again for {submission_id} when the entry VMs answer',
            {},
        )

    async def _issue_id(self) -> str:
        for url in self._entry_urls:
            request = self._session.post(
                f'{url}/v1/submission-ids',
                timeout=aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S),
            )
            try:
                async with request as response:
                    issued = orjson.loads(await response.read())
                    return str(issued['submission_id'])
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(0)
        raise NotRunError('no-entry-vm', 'check the addresses, then retry', {})


def _read_answer(body: bytes) -> dict[str, Any]:
    answer = orjson.loads(body)
    if answer['outcome'] == 'complete':
        return dict(answer['results'])
    error = _ERROR_BY_OUTCOME[answer['outcome']]
    raise error(answer['reason'], answer['next'], answer['tasks'])
