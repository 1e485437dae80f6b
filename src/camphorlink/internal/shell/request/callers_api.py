"""HTTP interface of an entry VM for submissions."""

import asyncio
import random
from http import HTTPStatus

from aiohttp import web

from camphorlink.errors import IdentifierError, JobError
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.claim_records import CallerKey
from camphorlink.internal.core.request.identifiers import (
    SubmissionId,
    mint_submission_id,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import (
    Job,
    build_not_run_answer,
    build_unknown_answer,
)
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.request.error_middleware import build_middleware
from camphorlink.internal.shell.request.job_documents import read_job
from camphorlink.internal.shell.request.json_responses import json_response
from camphorlink.internal.shell.request.responses import (
    ID_HEADER,
    answer_response,
    faults_response,
    problem_response,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_KEY_CHARS = 128
MAX_MS_DIGITS = 14
#: Header with the time of the first use of a caller's key, in ms since the
#: epoch.
KEY_ISSUED_HEADER = 'Key-Issued-Ms'
JSON_TYPE = 'application/json'


class CallersApi:
    """HTTP handlers that submit, show and cancel submissions.

    Attributes:
        address: IP address and port of this interface, or ``None`` if unknown.
    """

    def __init__(self, host: CoreHost, rng: random.Random) -> None:
        """Initializes the handlers.

        Args:
            host: Host of the core that runs the submissions.
            rng: Source of randomness for new identifiers.
        """
        self._host = host
        self._rng = rng
        self.address: str | None = None

    def build_app(self) -> web.Application:
        """Returns an application with all routes of the interface."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[build_middleware(self._host.count_refusal)],
        )
        app.add_routes(
            [
                web.post('/v1/submission-ids', self.issue_id),
                web.post('/v1/submissions', self.submit_new),
                web.put('/v1/submissions/{id}', self.submit_named),
                web.put('/v1/keys/{service}/{key}', self.submit_key),
                web.get('/v1/submissions/{id}', self.show_submission),
                web.delete('/v1/submissions/{id}', self.cancel),
            ]
        )
        return app

    async def issue_id(self, request: web.Request) -> web.Response:
        """Issues a submission identifier whose home is this VM."""
        submission_id = self._mint_id()
        return json_response(
            {
                'submission_id': str(submission_id),
                'home_address': self.address,
            },
            HTTPStatus.CREATED,
        )

    async def submit_new(self, request: web.Request) -> web.Response:
        """Runs a job under a new identifier."""
        return await self._submit(request, self._mint_id())

    async def submit_named(self, request: web.Request) -> web.Response:
        """Runs a job under an issued identifier.

        A repeated request waits for the running submission instead of
        starting it again.
        """
        try:
            submission_id = parse_submission_id(request.match_info['id'])
        except IdentifierError as exc:
            return self._refuse(Reason.BAD_IDENTIFIER, str(exc))
        return await self._submit(request, submission_id)

    async def submit_key(self, request: web.Request) -> web.Response:
        """Runs a job under an idempotency key that the caller chose.

        A repeated request waits for the running submission instead of
        starting it again.
        """
        service, name = request.match_info['service'], request.match_info['key']
        issued_ms = request.headers.get(KEY_ISSUED_HEADER, '')
        fault = _find_key_fault(name, issued_ms)
        if fault:
            return self._refuse(Reason.BAD_IDENTIFIER, fault)
        try:
            job = await self._read_job(request)
        except JobError as exc:
            return self._refuse_with_faults(exc, {})
        if job.service != service:
            detail = f'the key is of {service!r}, the job of {job.service!r}'
            return self._refuse(Reason.BAD_JOB, detail)
        delivery = await self._host.submit_key(
            CallerKey(service, name),
            int(issued_ms),
            self._mint_id(),
            job,
        )
        return answer_response(delivery.submission_id, delivery.answer)

    async def show_submission(self, request: web.Request) -> web.Response:
        """Returns the state of a submission without waiting for its answer."""
        run = self._host.core.tables.find_run(request.match_info['id'])
        if run is None:
            return problem_response(
                build_unknown_answer(Reason.UNKNOWN_SUBMISSION),
                extra_fields={'known': False},
            )
        return json_response(
            {
                'known': True,
                'open': run.is_open,
                'outcome': run.answer.outcome.value if run.answer else None,
                'tasks': {
                    task: task_outcome.value
                    for task, task_outcome in run.outcomes_by_task().items()
                },
            }
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a submission; its queued tasks never start."""
        submission_id = request.match_info['id']
        try:
            parse_submission_id(submission_id)
        except IdentifierError as exc:
            return self._refuse(Reason.BAD_IDENTIFIER, str(exc))
        self._host.post(messages.Cancel(submission_id))
        return json_response({'cancelled': True}, HTTPStatus.ACCEPTED)

    def _mint_id(self) -> SubmissionId:
        core = self._host.core
        wall_s = core.wall_s(asyncio.get_running_loop().time())
        return mint_submission_id(core.home, wall_s, self._rng)

    async def _submit(
        self,
        request: web.Request,
        submission_id: SubmissionId,
    ) -> web.Response:
        key = str(submission_id)
        headers = {ID_HEADER: key}
        try:
            job = await self._read_job(request)
        except JobError as exc:
            return self._refuse_with_faults(exc, headers)
        return answer_response(key, await self._host.submit(submission_id, job))

    def _refuse(self, reason: Reason, detail: str) -> web.Response:
        self._host.count_refusal(reason)
        return problem_response(build_not_run_answer(reason, detail))

    def _refuse_with_faults(
        self,
        exc: JobError,
        headers: dict[str, str],
    ) -> web.Response:
        reason = Reason(exc.reason)
        self._host.count_refusal(reason)
        return faults_response(reason, exc.faults, headers)

    async def _read_job(self, request: web.Request) -> Job:
        if request.headers.get('Content-Type', JSON_TYPE) != JSON_TYPE:
            _check_content_type(request)
        body = await request.read()
        return read_job(body, asyncio.get_running_loop().time())


def _find_key_fault(name: str, issued_ms: str) -> str:
    if len(name) > MAX_KEY_CHARS:
        return f'a key may have {MAX_KEY_CHARS} characters'
    if not issued_ms.isdecimal() or len(issued_ms) > MAX_MS_DIGITS:
        return (
            f'the header {KEY_ISSUED_HEADER} must tell when the key was first '
            'used, in ms since the epoch'
        )
    return ''


def _check_content_type(request: web.Request) -> None:
    if request.content_type != JSON_TYPE:
        raise web.HTTPUnsupportedMediaType(reason=f'send {JSON_TYPE}')
