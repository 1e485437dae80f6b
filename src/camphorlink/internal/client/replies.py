"""What came back for one send, read from HTTP and checked."""

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
    """An HTTP response as it was received."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def read_results(reply: RawReply, task_ids: Iterable[str]) -> dict[str, Any]:
    """Returns the result of each task by its id.

    Args:
        reply: What an entry VM, or something before it, answered.
        task_ids: The tasks that a whole answer has results for.

    Raises:
        OutcomeError: The entry VM's answer without results.
        UnreadableAnswerError: This is no answer of an entry VM.
    """
    document = read_document(reply)
    if document.get('outcome') != 'complete':
        raise _decode_error(document, reply)
    results = document.get('results')
    if not isinstance(results, dict) or set(results) != set(task_ids):
        raise UnreadableAnswerError(reply.status, 'results are not whole')
    return results


def read_document(reply: RawReply) -> dict[str, Any]:
    """Decodes a JSON object.

    Raises:
        UnreadableAnswerError: The body is no JSON object.
    """
    try:
        document = orjson.loads(reply.body)
    except orjson.JSONDecodeError as exc:
        raise UnreadableAnswerError(reply.status, 'body is no JSON') from exc
    if not isinstance(document, dict):
        raise UnreadableAnswerError(reply.status, 'body is no JSON object')
    return document


def _decode_error(
    document: dict[str, Any],
    reply: RawReply,
) -> OutcomeError:
    error_type = _ERROR_BY_OUTCOME.get(str(document.get('outcome')))
    reason = document.get('reason')
    if error_type is None or not isinstance(reason, str):
        raise UnreadableAnswerError(reply.status, 'no outcome or no reason')
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
    # The other form of the header, a date, is never sent by an entry VM.
    return float(text) if text.isdecimal() else None
