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
LOOKUP_S = 3.0
LOOKUP_TRY_S = 1.0
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
    """Asks until the task has ended, or for ``LOOKUP_S``.

    Args:
        session: Connections to backend servers.
        start: The task as it was sent.
        lost: What to report if nothing is found out.
    """
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + LOOKUP_S
    while loop.time() < give_up_s:
        try:
            found = await _ask(session, start)
        except (aiohttp.ClientError, OSError, ValueError):
            found = {}
        report = _read_state(start.ticket, found)
        if report is not None:
            return report
        await asyncio.sleep(LOOKUP_PERIOD_S)
    return lost


async def _ask(
    session: aiohttp.ClientSession,
    start: messages.StartTask,
) -> Any:
    # A reference is one path segment each for submission and task.
    task_id = quote(quote(start.task_id, safe=''), safe='')
    reference = f'{start.ticket.submission_id}/{task_id}'
    request = session.get(
        f'http://{start.address}/v1/tasks/{reference}',
        timeout=aiohttp.ClientTimeout(total=LOOKUP_TRY_S),
    )
    async with request as response:
        if response.status != HTTPStatus.OK:
            return {}
        return orjson.loads(await response.read())


def _read_state(ticket: messages.Ticket, found: Any) -> TaskReport | None:
    """Reads an answer; a state that says nothing yet gives ``None``.

    ``refused`` is the backend server's word that it never started the task
    and never will.  That it has not seen the task yet proves nothing: the
    request may still be on its way.
    """
    state = found.get('state') if isinstance(found, dict) else None
    if state == 'finished':
        return messages.TaskFinished(ticket, found.get('result'))
    if state == 'failed':
        return messages.TaskFailed(ticket, str(found.get('detail', '')))
    if state == 'refused':
        return messages.TaskNotStarted(ticket, Reason.BACKEND_BUSY)
    return None
