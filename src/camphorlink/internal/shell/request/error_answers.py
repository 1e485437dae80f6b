"""Turns what a handler raises into problem details, for every route."""

from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler

from camphorlink.internal.core.request.job import not_run, unknown
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.request.responses import problem_response

_REASON_BY_STATUS = {
    HTTPStatus.NOT_FOUND: Reason.UNKNOWN_ROUTE,
    HTTPStatus.METHOD_NOT_ALLOWED: Reason.WRONG_METHOD,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Reason.BODY_TOO_LARGE,
    HTTPStatus.UNSUPPORTED_MEDIA_TYPE: Reason.WRONG_CONTENT_TYPE,
}
_log = PartLog('http')


@web.middleware
async def answer_errors(
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """Answers with problem details where a handler raises."""
    try:
        return await handler(request)
    except web.HTTPException as exc:
        return _refuse(exc)
    except Exception:
        # One request that can't be served must not take the others along.
        # What it had started is not known here, so the answer says so.
        _log.exception('request failed', extra={'route': request.path})
        return problem_response(unknown(Reason.INTERNAL_ERROR))


def _refuse(exc: web.HTTPException) -> web.Response:
    reason = _REASON_BY_STATUS.get(HTTPStatus(exc.status), Reason.BAD_REQUEST)
    headers = {'Allow': exc.headers['Allow']} if 'Allow' in exc.headers else {}
    return problem_response(not_run(reason, exc.reason), headers)
