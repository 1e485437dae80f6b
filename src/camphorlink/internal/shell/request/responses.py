"""Answers as HTTP responses: results, or problem details (RFC 9457)."""

import math
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from camphorlink.errors import Fault
from camphorlink.internal.core.request.job import (
    Answer,
    Outcome,
    not_run,
)
from camphorlink.internal.core.request.reasons import Reason, next_step

PROBLEM_TYPE = 'application/problem+json'
ID_HEADER = 'Submission-Id'

_STATUS_BY_OUTCOME = {
    Outcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.FAILED: HTTPStatus.BAD_GATEWAY,
    Outcome.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}
_STATUS_BY_REASON = {
    Reason.BAD_JOB: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.BAD_IDENTIFIER: HTTPStatus.BAD_REQUEST,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_TEAM: HTTPStatus.FORBIDDEN,
    Reason.IDENTIFIER_EXPIRED: HTTPStatus.GONE,
    Reason.ANSWER_GONE: HTTPStatus.GONE,
    Reason.OTHER_JOB: HTTPStatus.CONFLICT,
    Reason.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
}


def json_response(
    document: Any,
    status: HTTPStatus = HTTPStatus.OK,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Writes a document as JSON."""
    return web.Response(
        body=orjson.dumps(document),
        status=status,
        headers=headers,
        content_type='application/json',
    )


def answer_response(submission_id: str, answer: Answer) -> web.Response:
    """Writes the whole answer to a submission."""
    headers = {ID_HEADER: submission_id}
    if answer.outcome is Outcome.COMPLETE:
        document = {
            'submission_id': submission_id,
            'outcome': answer.outcome.value,
            'results': answer.results_by_task,
        }
        return json_response(document, headers=headers)
    return problem_response(answer, headers)


def faults_response(
    reason: Reason,
    faults: Sequence[Fault],
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Refuses a request that does not pass its check; nothing was run."""
    named = [fault._asdict() for fault in faults]
    return problem_response(not_run(reason), headers, {'faults': named})


def problem_response(
    answer: Answer,
    headers: dict[str, str] | None = None,
    more: dict[str, Any] | None = None,
) -> web.Response:
    """Writes an answer without results as problem details."""
    reason = answer.reason or Reason.TASK_LOST
    fallback = _STATUS_BY_OUTCOME[answer.outcome]
    status = _STATUS_BY_REASON.get(reason, fallback)
    document = {
        'type': f'urn:camphorlink:reason:{reason.value}',
        'title': reason.value.replace('-', ' '),
        'status': status.value,
        'detail': answer.detail,
        'outcome': answer.outcome.value,
        'reason': reason.value,
        'next': next_step(reason),
        'tasks': {
            task: fate.value for task, fate in answer.fates_by_task.items()
        },
        **(more or {}),
    }
    all_headers = dict(headers or {})
    if answer.retry_after_s is not None:
        all_headers['Retry-After'] = str(math.ceil(answer.retry_after_s))
    response = json_response(document, status, all_headers)
    response.content_type = PROBLEM_TYPE
    return response
