"""The users' job interface over HTTP: decodes requests, encodes answers."""

import math
import re
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from camphorlink.errors import CamphorlinkError, JobError
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
)
from camphorlink.internal.shell.ports import JobConfig, Queue
from camphorlink.internal.shell.process.job_node import JobNode
from camphorlink.internal.shell.request.job_desk import (
    STATUS_BY_VERDICT,
    DeskAnswer,
    JobDesk,
    build_job,
)
from camphorlink.internal.shell.request.json_responses import json_response

_DEADLINE_HEADER = 'Camphorlink-Deadline-Ms'
#: Time that callers wait when they don't say so, in ms.
DEFAULT_DEADLINE_MS = 1500
#: Part of the caller's time that is left for the answer's way, in ms.
ANSWER_MARGIN_MS = 60
#: What decoding and checking a job may raise.
_BAD_JOB = (JobError, LookupError, TypeError, ValueError)
_JOB_ID = re.compile('[0-9a-f]{16}')
_RETRY_WITHOUT_CONFIG_S = 1.0
#: A later release may support it: an hour, in seconds.
_RETRY_UNSUPPORTED_S = 3600
#: What a step may ask for that is not built yet.
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
    """A job asks for something that is not built yet; it is refused whole."""


class Ingress:
    """Handlers of the clients' port and of the readiness port."""

    def __init__(self, node: JobNode, desk: JobDesk) -> None:
        """Serves with one VM."""
        self._node = node
        self._desk = desk

    def build_app(self) -> web.Application:
        """Returns the application for clients."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route('*', '/{path:.*}', self.serve)
        return app

    def build_readiness_app(self) -> web.Application:
        """Returns the application for the balancer's question."""
        app = web.Application()
        app.router.add_get('/v1/readyz', self.tell_ready)
        return app

    async def tell_ready(self, request: web.Request) -> web.Response:
        """Answers 200 while new channels are welcome."""
        ready = self._node.is_ready
        return web.Response(status=200 if ready else 503)

    async def serve(self, request: web.Request) -> web.Response:
        """Answers one request of a client."""
        config = self._node.published.config
        if config is None:
            return self._refuse('no-config', _RETRY_WITHOUT_CONFIG_S)
        queue = find_queue(config, request.host, request.path)
        if queue is None:
            return _problem(HTTPStatus.NOT_FOUND, 'unknown-queue')
        job_id = request.path[len(queue.prefix) :]
        if not job_id and request.method == 'GET':
            pending = self._node.count_pending_jobs(queue.name)
            return json_response({'pending': pending})
        if _JOB_ID.fullmatch(job_id) is None:
            return _problem(HTTPStatus.BAD_REQUEST, 'bad-identifier')
        if request.method == 'POST':
            return await self._submit(request, queue, job_id)
        if request.method == 'GET':
            return _answer(await self._desk.read(job_id))
        if request.method == 'DELETE':
            wait_s = _wait_s(request)
            return _answer(await self._desk.cancel(job_id, wait_s))
        return _problem(HTTPStatus.METHOD_NOT_ALLOWED, 'wrong-method')

    def _refuse(
        self,
        reason: str,
        retry_after_s: float,
        detail: str = '',
    ) -> web.Response:
        self._node.count_refusal(reason)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return _problem(status, reason, retry_after_s, detail)

    async def _submit(
        self,
        request: web.Request,
        queue: Queue,
        job_id: str,
    ) -> web.Response:
        wait_s = _wait_s(request)
        try:
            document = orjson.loads(await request.read())
            job = read_job(document, queue, job_id)
        except UnsupportedJobError as exc:
            return self._refuse(
                'unsupported-job',
                _RETRY_UNSUPPORTED_S,
                str(exc),
            )
        except _BAD_JOB as exc:
            return _problem(HTTPStatus.BAD_REQUEST, 'bad-job', 0, str(exc))
        if document.get('best_effort'):
            # Need not be stored: the answer is the end of the job.
            return _answer(await self._desk.run(job, wait_s))
        return _answer(await self._desk.submit(job, wait_s))


#: Bound on a body before the configuration's own is known, in bytes.
MAX_BODY_BYTES = 4 * 1024 * 1024


def find_queue(config: JobConfig, host: str, path: str) -> Queue | None:
    """Returns the queue with the longest prefix of a path, or ``None``."""
    name = host.rpartition(':')[0] if ':' in host else host
    matching = [
        queue
        for queue in config.queues
        if queue.host in {'', name} and path.startswith(queue.prefix)
    ]
    return max(matching, key=lambda queue: len(queue.prefix), default=None)


def read_job(document: Any, queue: Queue, job_id: str) -> DurableJob:
    """Checks a submitted job.

    Raises:
        JobError: If a field is of another type or out of range.
        LookupError: If a field is missing.
        TypeError: If the document is no object, or a list is none.
        UnsupportedJobError: If it asks for what is not built.
    """
    if not isinstance(document, dict):
        raise TypeError('no object')
    if queue.needs_advice or document.get('repetitions'):
        raise UnsupportedJobError('advice or repetitions')
    steps = tuple(_read_step(entry) for entry in document['steps'])
    return build_job(queue, job_id, document['spec'], steps)


def _read_step(entry: dict[str, Any]) -> Step:
    wanted = [name for name in _UNSUPPORTED if entry.get(name)]
    if wanted:
        raise UnsupportedJobError(', '.join(wanted))
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


def _answer(answer: DeskAnswer) -> web.Response:
    status = STATUS_BY_VERDICT[answer.verdict]
    if status == HTTPStatus.OK:
        body = {} if answer.state is None else {'state': answer.state.value}
        return json_response(body, status)
    return _problem(status, answer.reason, answer.retry_after_s)


def _problem(
    status: HTTPStatus,
    reason: str,
    retry_after_s: float = 0,
    detail: str = '',
) -> web.Response:
    response = json_response({'error': reason, 'detail': detail}, status)
    if retry_after_s:
        response.headers['Retry-After'] = str(math.ceil(retry_after_s))
    return response
