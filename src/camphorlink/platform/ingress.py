"""HTTP job interface of the users' platform."""

import math
import re
from http import HTTPStatus
from typing import Any

from aiohttp import web

from camphorlink.errors import CamphorlinkError, JobError
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
)
from camphorlink.internal.shell.ports import JobConfig, Queue
from camphorlink.internal.shell.process.job_node import JobNode
from camphorlink.internal.shell.process.steady_clock import now_s
from camphorlink.internal.shell.request.job_handler import (
    STATUS_BY_VERDICT,
    JobAnswer,
    JobHandler,
    build_job,
)
from camphorlink.internal.shell.request.json_responses import json_response
from camphorlink.platform.documents import decode_document

_DEADLINE_HEADER = 'Camphorlink-Deadline-Ms'
#: Timeout of requests without a deadline header, in ms.
DEFAULT_DEADLINE_MS = 1500
#: Part of a request's timeout reserved for sending the answer, in ms.
ANSWER_MARGIN_MS = 60
#: Errors of decoding and checking a job.
_JOB_ERRORS = (JobError, LookupError, TypeError, ValueError)
_JOB_ID = re.compile('[0-9a-f]{16}')
_RETRY_WITHOUT_CONFIG_S = 1.0
#: Longest time that a request waits for the first configuration after a start of
#: the VM, in seconds: the store answers within 0.1 s unless it is unavailable.
CONFIG_WAIT_S = 0.5
#: Retry-After of unsupported jobs, in seconds: a later release may support
#: them.
_RETRY_UNSUPPORTED_S = 3600
#: Fields of a step for features that are not implemented.
_UNSUPPORTED = (
    'gang',
    'rack_local',
    'speculative',
    'long_running',
    'fills',
    'target_ms',
    'max_unavailable',
)


class UnsupportedJobError(CamphorlinkError):
    """A job uses a feature that is not implemented; all of it is refused."""


class Ingress:
    """HTTP handlers of the callers' port and of the readiness port."""

    def __init__(self, node: JobNode, job_handler: JobHandler) -> None:
        """Initializes the handlers.

        Args:
            node: The entry VM.
            job_handler: Handler of its jobs.
        """
        self._node = node
        self._job_handler = job_handler

    def build_app(self) -> web.Application:
        """Returns the application for callers."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route('*', '/{path:.*}', self.handle_request)
        return app

    def build_readiness_app(self) -> web.Application:
        """Returns the application for the load balancer's readiness check."""
        app = web.Application()
        app.router.add_get('/v1/readyz', self.show_readiness)
        return app

    async def show_readiness(self, request: web.Request) -> web.Response:
        """Answers 200 while this VM accepts new connections, else 503."""
        ready = self._node.is_ready
        return web.Response(status=200 if ready else 503)

    async def handle_request(self, request: web.Request) -> web.Response:
        """Handles a request of a caller."""
        started_s = now_s()
        config = await self._node.published.wait_for_config(CONFIG_WAIT_S)
        if config is None:
            return self._refuse('no-config', _RETRY_WITHOUT_CONFIG_S)
        queue = find_queue(config, request.host, request.path)
        if queue is None:
            return _problem_response(HTTPStatus.NOT_FOUND, 'unknown-queue')
        job_id = request.path[len(queue.prefix) :]
        if not job_id and request.method == 'GET':
            pending = self._node.count_pending_jobs(queue.name)
            return json_response({'pending': pending})
        if _JOB_ID.fullmatch(job_id) is None:
            return _problem_response(HTTPStatus.BAD_REQUEST, 'bad-identifier')
        if request.method == 'POST':
            wait_s = _wait_s(request) - (now_s() - started_s)
            return await self._submit(request, queue, job_id, wait_s)
        if request.method == 'GET':
            return _answer_response(await self._job_handler.read(job_id))
        if request.method == 'DELETE':
            wait_s = _wait_s(request)
            return _answer_response(
                await self._job_handler.cancel(job_id, wait_s)
            )
        return _problem_response(HTTPStatus.METHOD_NOT_ALLOWED, 'wrong-method')

    def _refuse(
        self,
        reason: str,
        retry_after_s: float,
        detail: str = '',
    ) -> web.Response:
        self._node.count_refusal(reason)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return _problem_response(status, reason, retry_after_s, detail)

    async def _submit(
        self,
        request: web.Request,
        queue: Queue,
        job_id: str,
        wait_s: float,
    ) -> web.Response:
        try:
            document = decode_document(await request.read())
            job = read_job(document, queue, job_id)
        except UnsupportedJobError as exc:
            return self._refuse(
                'unsupported-job',
                _RETRY_UNSUPPORTED_S,
                str(exc),
            )
        except _JOB_ERRORS as exc:
            return _problem_response(
                HTTPStatus.BAD_REQUEST, 'bad-job', 0, str(exc)
            )
        if document.get('best_effort'):
            # The job is not stored: the answer holds its final state.
            return _answer_response(await self._job_handler.run(job, wait_s))
        return _answer_response(await self._job_handler.submit(job, wait_s))


#: Longest body of a request before the configuration is read, in bytes.
MAX_BODY_BYTES = 4 * 1024 * 1024


def find_queue(config: JobConfig, host: str, path: str) -> Queue | None:
    """Returns the queue with the longest matching prefix, or ``None``.

    Args:
        config: The configuration.
        host: Host header of the request, with or without a port.
        path: Path of the request.
    """
    name = host.rpartition(':')[0] if ':' in host else host
    matching = [
        queue
        for queue in config.queues
        if queue.host in {'', name} and path.startswith(queue.prefix)
    ]
    return max(matching, key=lambda queue: len(queue.prefix), default=None)


def read_job(document: Any, queue: Queue, job_id: str) -> DurableJob:
    """Builds a job from a decoded submission and checks it.

    Raises:
        JobError: A field has a wrong type or is out of range.
        LookupError: A field is missing.
        TypeError: The document is not an object, or a field that must be a
            list is not.
        UnsupportedJobError: The job uses a feature that is not implemented.
    """
    if not isinstance(document, dict):
        raise TypeError('no object')
    if queue.needs_advice or document.get('repetitions'):
        raise UnsupportedJobError('advice or repetitions')
    steps = tuple(_read_step(entry) for entry in document['steps'])
    return build_job(queue, job_id, document['spec'], steps)


def _read_step(entry: dict[str, Any]) -> Step:
    unsupported = [name for name in _UNSUPPORTED if entry.get(name)]
    if unsupported:
        raise UnsupportedJobError(', '.join(unsupported))
    return Step(
        width=entry['count'],
        needs=Resources(
            entry.get('cpu', 0),
            entry.get('mem_mb', 0),
            entry.get('gpu', 0),
        ),
        estimate_ms=entry.get('estimate_ms', 0),
        after=tuple(entry.get('after', ())),
        label=entry.get('constraints', ''),
        rack=entry.get('affinity', ''),
        max_per_backend=entry.get('anti_affinity', 0),
        checkpoints=bool(entry.get('checkpointing', False)),
    )


def _wait_s(request: web.Request) -> float:
    text = request.headers.get(_DEADLINE_HEADER, '')
    deadline_ms = int(text) if text.isdigit() else DEFAULT_DEADLINE_MS
    return max(deadline_ms - ANSWER_MARGIN_MS, ANSWER_MARGIN_MS) / 1000


def _answer_response(answer: JobAnswer) -> web.Response:
    status = STATUS_BY_VERDICT[answer.verdict]
    if status == HTTPStatus.OK:
        body = {} if answer.state is None else {'state': answer.state.value}
        return json_response(body, status)
    return _problem_response(status, answer.reason, answer.retry_after_s)


def _problem_response(
    status: HTTPStatus,
    reason: str,
    retry_after_s: float = 0,
    detail: str = '',
) -> web.Response:
    response = json_response({'error': reason, 'detail': detail}, status)
    if retry_after_s:
        response.headers['Retry-After'] = str(math.ceil(retry_after_s))
    return response
