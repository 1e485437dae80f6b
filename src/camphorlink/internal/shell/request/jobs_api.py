"""HTTP interface for durable jobs: ``/v1/jobs/{queue}/{id}``."""

import math
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from camphorlink.errors import Fault, JobError, JobSyntaxError
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
)
from camphorlink.internal.shell.ports import Queue
from camphorlink.internal.shell.process.job_node import JobNode
from camphorlink.internal.shell.request.job_handler import (
    STATUS_BY_VERDICT,
    JobAnswer,
    JobHandler,
    Verdict,
    build_job,
)
from camphorlink.internal.shell.request.json_responses import (
    PROBLEM_TYPE,
    json_response,
)

#: How long a request waits for the store or for a transient job, in seconds.
WAIT_S = 5.0
_NEXT_STEP_BY_VERDICT = {
    Verdict.REFUSED: 'submit it again after the given delay: it has not run',
    Verdict.UNKNOWN: 'submit it again under the same identifier',
    Verdict.NO_SUCH_JOB: 'submit the job first, or check its identifier',
}
_JOB_KEYS = frozenset(('spec', 'steps', 'transient'))
_STEP_KEYS = frozenset(
    (
        'tasks',
        'cpu_milli',
        'memory_mb',
        'accelerators',
        'estimate_ms',
        'after',
        'label',
        'rack',
        'max_per_backend',
        'checkpoints',
    ),
)


class JobsApi:
    """HTTP handlers that submit, read, cancel and count jobs."""

    def __init__(self, node: JobNode, job_handler: JobHandler) -> None:
        """Initializes the handlers.

        Args:
            node: The entry VM.
            job_handler: Handler of its jobs.
        """
        self._node = node
        self._job_handler = job_handler

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        path = '/v1/jobs/{queue}/{id:[0-9a-f]{16}}'
        app.add_routes(
            [
                web.put(path, self._with_queue(self.submit)),
                web.get(path, self._with_queue(self.read)),
                web.delete(path, self._with_queue(self.cancel)),
                web.get('/v1/jobs/{queue}', self._with_queue(self.count)),
            ],
        )

    async def submit(self, request: web.Request, queue: Queue) -> web.Response:
        """Stores a durable job, or runs a transient job to its completion."""
        job_id = request.match_info['id']
        try:
            document = read_document(await request.read())
            job = read_job(document, queue, job_id)
        except JobError as exc:
            return _faults_response(exc)
        if document.get('transient'):
            return _answer_response(await self._job_handler.run(job, WAIT_S))
        return _answer_response(await self._job_handler.submit(job, WAIT_S))

    async def read(self, request: web.Request, queue: Queue) -> web.Response:
        """Returns the state of a job."""
        return _answer_response(
            await self._job_handler.read(request.match_info['id'])
        )

    async def cancel(self, request: web.Request, queue: Queue) -> web.Response:
        """Cancels a job."""
        job_id = request.match_info['id']
        return _answer_response(await self._job_handler.cancel(job_id, WAIT_S))

    async def count(self, request: web.Request, queue: Queue) -> web.Response:
        """Returns the number of jobs of a queue with no started task."""
        pending = self._node.count_pending_jobs(queue.name)
        return json_response({'pending': pending})

    def _with_queue(
        self,
        handle: Callable[[web.Request, Queue], Awaitable[web.Response]],
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def serve(request: web.Request) -> web.Response:  # noqa: WPS430
            config = self._node.published.config
            name = request.match_info['queue']
            for queue in () if config is None else config.queues:
                if queue.name == name:
                    return await handle(request, queue)
            return _problem_response(
                HTTPStatus.NOT_FOUND,
                'unknown-queue',
                'name a queue of the configuration in force',
            )

        return serve


def read_document(body: bytes) -> dict[str, Any]:
    """Decodes the body of a submission.

    Raises:
        JobSyntaxError: The body is not a JSON object.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        fault = Fault('$', f'{len(body)} bytes that are no JSON', str(exc))
        raise JobSyntaxError([fault]) from exc
    if not isinstance(document, dict):
        raise JobSyntaxError([Fault('$', repr(document)[:60], 'an object')])
    return document


def read_job(
    document: Mapping[str, Any],
    queue: Queue,
    job_id: str,
) -> DurableJob:
    """Builds a job from a decoded submission and checks it.

    Raises:
        JobError: The job is invalid; the error lists all faults.
    """
    steps = document.get('steps')
    faults = _unknown_keys(document, _JOB_KEYS, '$')
    if not isinstance(steps, list):
        faults.append(Fault('$.steps', repr(steps)[:60], 'a list of steps'))
        raise JobError(faults)
    for number, entry in enumerate(steps):
        path = f'$.steps[{number}]'
        if isinstance(entry, dict):
            faults.extend(_unknown_keys(entry, _STEP_KEYS, path))
        else:
            faults.append(Fault(path, repr(entry)[:60], 'an object'))
    if faults:
        raise JobError(faults)
    spec = document.get('spec', '')
    return build_job(queue, job_id, spec, tuple(map(_read_step, steps)))


def _read_step(entry: Mapping[str, Any]) -> Step:
    after = entry.get('after', [])
    return Step(
        width=entry.get('tasks', 0),
        needs=Resources(
            entry.get('cpu_milli', 0),
            entry.get('memory_mb', 0),
            entry.get('accelerators', 0),
        ),
        estimate_ms=entry.get('estimate_ms', 0),
        after=tuple(after) if isinstance(after, list) else (-1,),
        label=entry.get('label', ''),
        rack=entry.get('rack', ''),
        max_per_backend=entry.get('max_per_backend', 0),
        checkpoints=entry.get('checkpoints', False),
    )


def _unknown_keys(
    document: Mapping[str, Any],
    known: frozenset[str],
    path: str,
) -> list[Fault]:
    return [
        Fault(f'{path}.{key}', 'a key', 'remove it: it is not known here')
        for key in document
        if key not in known
    ]


def _answer_response(answer: JobAnswer) -> web.Response:
    status = STATUS_BY_VERDICT[answer.verdict]
    if status == HTTPStatus.OK:
        state = None if answer.state is None else answer.state.value
        return json_response({'state': state}, status)
    response = _problem_response(
        status,
        answer.reason or answer.verdict.value,
        _NEXT_STEP_BY_VERDICT[answer.verdict],
    )
    if answer.retry_after_s:
        response.headers['Retry-After'] = str(math.ceil(answer.retry_after_s))
    return response


def _faults_response(exc: JobError) -> web.Response:
    faults = [fault._asdict() for fault in exc.faults]
    return _problem_response(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        exc.reason,
        'correct the job as the faults say, then submit it',
        faults,
    )


def _problem_response(
    status: HTTPStatus,
    reason: str,
    next_step: str,
    faults: list[dict[str, Any]] | None = None,
) -> web.Response:
    document = {
        'title': reason,
        'status': status.value,
        'reason': reason,
        'next_step': next_step,
        'faults': faults or [],
    }
    return json_response(document, status, content_type=PROBLEM_TYPE)
