"""What callers may ask of an entry VM, over HTTP."""

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
from camphorlink.internal.shell.request.error_answers import build_middleware
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
#: Header that tells when a caller's key was first used, in epoch ms.
KEY_ISSUED_HEADER = 'Key-Issued-Ms'
JSON_TYPE = 'application/json'


class CallersApi:
    """Handlers of the callers' interface."""

    def __init__(self, host: CoreHost, rng: random.Random) -> None:
        """Serves submissions with one core."""
        self._host = host
        self._rng = rng
        #: IP number and port that this interface is reached at, if known.
        self.address: str | None = None

    def build_app(self) -> web.Application:
        """Returns the application with all routes of the interface."""
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
                web.get('/v1/submissions/{id}', self.show),
                web.delete('/v1/submissions/{id}', self.cancel),
            ]
        )
        return app

    async def issue_id(self, request: web.Request) -> web.Response:
        """Issues an identifier whose home is this VM."""
        submission_id = self._mint()
        return json_response(
            {
                'submission_id': str(submission_id),
                'home_address': self.address,
            },
            HTTPStatus.CREATED,
        )

    async def submit_new(self, request: web.Request) -> web.Response:
        """Runs a job under an identifier minted for this delivery."""
        return await self._run(request, self._mint())

    async def submit_named(self, request: web.Request) -> web.Response:
        """Runs a job under the caller's identifier, or joins its run."""
        try:
            submission_id = parse_submission_id(request.match_info['id'])
        except IdentifierError as exc:
            return self._refuse(Reason.BAD_IDENTIFIER, str(exc))
        return await self._run(request, submission_id)

    async def submit_key(self, request: web.Request) -> web.Response:
        """Runs a job under the caller's own key, or joins its run."""
        service, name = request.match_info['service'], request.match_info['key']
        issued_ms = request.headers.get(KEY_ISSUED_HEADER, '')
        fault = _key_fault(name, issued_ms)
        if fault:
            return self._refuse(Reason.BAD_IDENTIFIER, fault)
        try:
            job = await self._read_job(request)
        except JobError as exc:
            return self._refuse_faults(exc, {})
        if job.service != service:
            detail = f'the key is of {service!r}, the job of {job.service!r}'
            return self._refuse(Reason.BAD_JOB, detail)
        delivery = await self._host.submit_key(
            CallerKey(service, name),
            int(issued_ms),
            self._mint(),
            job,
        )
        return answer_response(delivery.submission_id, delivery.answer)

    async def show(self, request: web.Request) -> web.Response:
        """Tells what is known of a submission, without waiting."""
        run = self._host.core.tables.find_run(request.match_info['id'])
        if run is None:
            return problem_response(
                build_unknown_answer(Reason.UNKNOWN_SUBMISSION),
                more={'known': False},
            )
        return json_response(
            {
                'known': True,
                'open': run.is_open,
                'outcome': run.answer.outcome.value if run.answer else None,
                'tasks': {
                    task: fate.value
                    for task, fate in run.outcomes_by_task().items()
                },
            }
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Gives up a submission; its waiting tasks never start."""
        text = request.match_info['id']
        try:
            parse_submission_id(text)
        except IdentifierError as exc:
            return self._refuse(Reason.BAD_IDENTIFIER, str(exc))
        self._host.post(messages.Cancel(text))
        return json_response({'cancelled': True}, HTTPStatus.ACCEPTED)

    def _mint(self) -> SubmissionId:
        core = self._host.core
        wall_s = core.wall_s(asyncio.get_running_loop().time())
        return mint_submission_id(core.home, wall_s, self._rng)

    async def _run(
        self,
        request: web.Request,
        submission_id: SubmissionId,
    ) -> web.Response:
        key = str(submission_id)
        headers = {ID_HEADER: key}
        try:
            job = await self._read_job(request)
        except JobError as exc:
            return self._refuse_faults(exc, headers)
        return answer_response(key, await self._host.submit(submission_id, job))

    def _refuse(self, reason: Reason, detail: str) -> web.Response:
        self._host.count_refusal(reason)
        return problem_response(build_not_run_answer(reason, detail))

    def _refuse_faults(
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


def _key_fault(name: str, issued_ms: str) -> str:
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
