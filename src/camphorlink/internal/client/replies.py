"""Decodes and checks the HTTP responses of entry VMs."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import orjson

from camphorlink.errors import (
    JobFailedError,
    NotRunError,
    OutcomeError,
    OutcomeUnknownError,
)
from camphorlink.internal.client.errors import UnreadableAnswerError

_ERROR_BY_OUTCOME: dict[str, type[OutcomeError]] = {
    'not-run': NotRunError,
    'failed': JobFailedError,
    'unknown': OutcomeUnknownError,
}


class RawReply(NamedTuple):
    """Status, headers and undecoded body of an HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def read_results(reply: RawReply, task_ids: Iterable[str]) -> dict[str, Any]:
    """Returns the result of each task by its id.

    Args:
        reply: Response of an entry VM, or of a proxy in front of it.
        task_ids: Ids of the tasks for which results are required.

    Raises:
        OutcomeError: The entry VM answered without complete results.
        UnreadableAnswerError: The response is not a valid answer.
    """
    document = read_document(reply)
    if document.get('outcome') != 'complete':
        raise _decode_error(document, reply)
    results = document.get('results')
    if not isinstance(results, dict) or set(results) != set(task_ids):
        raise UnreadableAnswerError(reply.status, 'results are incomplete')
    return results


def read_document(reply: RawReply) -> dict[str, Any]:
    """Decodes the JSON object in the body of a response.

    Raises:
        UnreadableAnswerError: The body is not a JSON object.
    """
    try:
        document = orjson.loads(reply.body)
    except orjson.JSONDecodeError as exc:
        raise UnreadableAnswerError(reply.status, 'body is not JSON') from exc
    if not isinstance(document, dict):
        raise UnreadableAnswerError(reply.status, 'body is not a JSON object')
    return document


def _decode_error(
    document: dict[str, Any],
    reply: RawReply,
) -> OutcomeError:
    error_type = _ERROR_BY_OUTCOME.get(str(document.get('outcome')))
    reason = document.get('reason')
    if error_type is None or not isinstance(reason, str):
        raise UnreadableAnswerError(reply.status, 'no valid outcome or reason')
    error = error_type(
        reason,
        str(document.get('next', '')),
        document.get('tasks') or {},
        _parse_retry_after(reply.headers.get('Retry-After', '')),
    )
    error.detail = str(document.get('detail', ''))
    error.faults = tuple(document.get('faults') or ())
    return error


def _parse_retry_after(text: str) -> float | None:
    # Entry VMs send seconds only, never the date form of the header.
    return float(text) if text.isdecimal() else None
