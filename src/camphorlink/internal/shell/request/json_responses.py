"""Builds HTTP responses with JSON bodies."""

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
    """Builds a response with a document as its JSON body.

    Args:
        document: Anything that orjson encodes.
        status: Status code.
        headers: Additional headers.
        content_type: Content type of the body.
    """
    return web.Response(
        body=orjson.dumps(document),
        status=status,
        headers=headers,
        content_type=content_type,
    )
