"""Looks up the state of a task on a backend server after a lost connection."""

import asyncio
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.reasons import Reason

#: Timeout of a lookup with all its requests, in seconds.
LOOKUP_TIMEOUT_S = 3.0
LOOKUP_REQUEST_TIMEOUT_S = 1.0
LOOKUP_PERIOD_S = 0.2

TaskReport = (
    messages.TaskFinished
    | messages.TaskFailed
    | messages.TaskNotStarted
    | messages.TaskLost
)


async def look_up_task(
    session: aiohttp.ClientSession,
    start: messages.StartTask,
    lost: messages.TaskLost,
) -> TaskReport:
    """Polls the state of a task until it has ended or the lookup times out.

    Args:
        session: Connections to backend servers.
        start: The task as it was sent.
        lost: Report to return if the lookup times out.

    Returns:
        The outcome of the task, or ``lost``.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LOOKUP_TIMEOUT_S
    while loop.time() < end_s:
        try:
            answer = await _request_state(session, start)
        except (aiohttp.ClientError, OSError, ValueError):
            answer = {}
        report = _parse_state(start.ticket, answer)
        if report is not None:
            return report
        await asyncio.sleep(LOOKUP_PERIOD_S)
    return lost


async def _request_state(
    session: aiohttp.ClientSession,
    start: messages.StartTask,
) -> Any:
    # The submission and the task are one path segment each.
    task_id = quote(quote(start.task_id, safe=''), safe='')
    reference = f'{start.ticket.submission_id}/{task_id}'
    request = session.get(
        f'http://{start.address}/v1/tasks/{reference}',
        timeout=aiohttp.ClientTimeout(total=LOOKUP_REQUEST_TIMEOUT_S),
    )
    async with request as response:
        if response.status != HTTPStatus.OK:
            return {}
        return orjson.loads(await response.read())


def _parse_state(ticket: messages.Ticket, answer: Any) -> TaskReport | None:
    """Returns the outcome in an answer, or ``None`` if it is not known yet.

    The state ``refused`` guarantees that the backend server has not started
    the task and never will.  A task that the server has not seen may still be
    in transit, so its absence proves nothing.
    """
    state = answer.get('state') if isinstance(answer, dict) else None
    if state == 'finished':
        return messages.TaskFinished(ticket, answer.get('result'))
    if state == 'failed':
        return messages.TaskFailed(ticket, str(answer.get('detail', '')))
    if state == 'refused':
        return messages.TaskNotStarted(ticket, Reason.BACKEND_BUSY)
    return None
