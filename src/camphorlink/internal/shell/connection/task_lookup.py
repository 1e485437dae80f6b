"""Asks a backend server what became of a task whose connection was lost."""

import asyncio
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.reasons import Reason

#: Longest time that a lookup goes on, and one try of it, in seconds.
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
    """Asks until the task has ended, or for ``LOOKUP_TIMEOUT_S``.

    Args:
        session: Connections to backend servers.
        start: The task as it was sent.
        lost: What to report if nothing is found out.
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
    # A reference is one path segment each for submission and task.
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
    """Reads an answer; a state that says nothing yet gives ``None``.

    ``refused`` is the backend server's word that it never started the task
    and never will.  That it has not seen the task yet proves nothing: the
    request may still be on its way.
    """
    state = answer.get('state') if isinstance(answer, dict) else None
    if state == 'finished':
        return messages.TaskFinished(ticket, answer.get('result'))
    if state == 'failed':
        return messages.TaskFailed(ticket, str(answer.get('detail', '')))
    if state == 'refused':
        return messages.TaskNotStarted(ticket, Reason.BACKEND_BUSY)
    return None
