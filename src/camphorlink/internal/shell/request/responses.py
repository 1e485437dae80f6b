"""Builds HTTP responses with results or problem details (RFC 9457)."""

import math
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from aiohttp import web

from camphorlink.errors import Fault
from camphorlink.internal.core.request.job import (
    Answer,
    Outcome,
    build_not_run_answer,
)
from camphorlink.internal.core.request.reasons import Reason, next_step
from camphorlink.internal.shell.request.json_responses import (
    PROBLEM_TYPE,
    json_response,
)

ID_HEADER = 'Submission-Id'

#: Retry-After of refusals without a delay of their own, in seconds.
DEFAULT_RETRY_AFTER_S = 1.0

# Statuses 503 and 429 always mean *not run*: a proxy between the caller and an
# entry VM may repeat such a request automatically.
_STATUS_BY_NOT_RUN_REASON = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.WRONG_METHOD: HTTPStatus.METHOD_NOT_ALLOWED,
    Reason.WRONG_CONTENT_TYPE: HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.BAD_JSON: HTTPStatus.BAD_REQUEST,
    Reason.BAD_JOB: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.BAD_IDENTIFIER: HTTPStatus.BAD_REQUEST,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_TEAM: HTTPStatus.FORBIDDEN,
    Reason.IDENTIFIER_EXPIRED: HTTPStatus.GONE,
    Reason.OTHER_JOB: HTTPStatus.CONFLICT,
    Reason.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.CANCELLED: HTTPStatus.CONFLICT,
}
_STATUS_BY_UNKNOWN_REASON = {
    Reason.IDENTIFIER_EXPIRED: HTTPStatus.GONE,
    Reason.ANSWER_GONE: HTTPStatus.GONE,
    Reason.UNKNOWN_SUBMISSION: HTTPStatus.NOT_FOUND,
    Reason.INTERNAL_ERROR: HTTPStatus.INTERNAL_SERVER_ERROR,
}
_RETRY_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)


def status_of(outcome: Outcome, reason: Reason) -> HTTPStatus:
    """Returns the status code of an answer without results."""
    if outcome is Outcome.NOT_RUN:
        return _STATUS_BY_NOT_RUN_REASON.get(
            reason,
            HTTPStatus.SERVICE_UNAVAILABLE,
        )
    if outcome is Outcome.UNKNOWN:
        return _STATUS_BY_UNKNOWN_REASON.get(reason, HTTPStatus.GATEWAY_TIMEOUT)
    return HTTPStatus.BAD_GATEWAY


def answer_response(submission_id: str, answer: Answer) -> web.Response:
    """Builds the response for the answer to a submission."""
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
    """Builds the response for an invalid request; nothing was run."""
    documents = [fault._asdict() for fault in faults]
    return problem_response(
        build_not_run_answer(reason), headers, {'faults': documents}
    )


def problem_response(
    answer: Answer,
    headers: dict[str, str] | None = None,
    extra_fields: dict[str, Any] | None = None,
) -> web.Response:
    """Builds a problem details response for an answer without results.

    Args:
        answer: The answer.
        headers: Additional headers.
        extra_fields: Additional members of the problem details.
    """
    reason = answer.reason or Reason.TASK_LOST
    status = status_of(answer.outcome, reason)
    document = {
        'type': f'urn:camphorlink:reason:{reason.value}',
        'title': reason.value.replace('-', ' '),
        'status': status.value,
        'detail': answer.detail,
        'outcome': answer.outcome.value,
        'reason': reason.value,
        'next': next_step(reason),
        'tasks': {
            task: task_outcome.value
            for task, task_outcome in answer.outcomes_by_task.items()
        },
        **(extra_fields or {}),
    }
    delay = _retry_after(answer, status)
    return json_response(
        document,
        status,
        {**(headers or {}), **delay},
        PROBLEM_TYPE,
    )


def _retry_after(answer: Answer, status: HTTPStatus) -> dict[str, str]:
    delay_s = answer.retry_after_s
    if delay_s is None:
        if status not in _RETRY_STATUSES:
            return {}
        delay_s = DEFAULT_RETRY_AFTER_S
    return {'Retry-After': str(max(1, math.ceil(delay_s)))}
