"""Middleware that turns exceptions of handlers into problem details."""

import functools
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from camphorlink.internal.core.request.job import (
    build_not_run_answer,
    build_unknown_answer,
)
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.request.responses import problem_response

OnRefusal = Callable[[Reason], None]
_REASON_BY_STATUS = {
    HTTPStatus.NOT_FOUND: Reason.UNKNOWN_ROUTE,
    HTTPStatus.METHOD_NOT_ALLOWED: Reason.WRONG_METHOD,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Reason.BODY_TOO_LARGE,
    HTTPStatus.UNSUPPORTED_MEDIA_TYPE: Reason.WRONG_CONTENT_TYPE,
}
_log = PartLog('http')


def build_middleware(on_refusal: OnRefusal) -> Middleware:
    """Builds the error middleware of an application.

    Args:
        on_refusal: Called with the reason for each request whose handler
            raised.
    """
    return web.middleware(functools.partial(_answer_errors, on_refusal))


async def _answer_errors(
    on_refusal: OnRefusal,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as exc:
        on_refusal(_reason_of(exc))
        return _refuse(exc)
    except Exception:
        # A fault in one handler must not fail other requests.  The handler
        # may have started work, so the outcome of the answer is unknown.
        on_refusal(Reason.INTERNAL_ERROR)
        _log.exception('request failed', extra={'route': request.path})
        return problem_response(build_unknown_answer(Reason.INTERNAL_ERROR))


def _reason_of(exc: web.HTTPException) -> Reason:
    return _REASON_BY_STATUS.get(HTTPStatus(exc.status), Reason.BAD_REQUEST)


def _refuse(exc: web.HTTPException) -> web.Response:
    headers = {'Allow': exc.headers['Allow']} if 'Allow' in exc.headers else {}
    return problem_response(
        build_not_run_answer(_reason_of(exc), exc.reason), headers
    )
