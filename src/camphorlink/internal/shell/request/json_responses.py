"""JSON documents as HTTP responses, for every interface."""

from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

PROBLEM_TYPE = 'application/problem+json'


def json_response(
    document: Any,
    status: HTTPStatus = HTTPStatus.OK,
    headers: dict[str, str] | None = None,
    content_type: str = 'application/json',
) -> web.Response:
    """Writes a document as JSON."""
    return web.Response(
        body=orjson.dumps(document),
        status=status,
        headers=headers,
        content_type=content_type,
    )
