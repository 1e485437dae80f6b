"""Tests of the client against fake entry VMs with scripted answers."""

import asyncio
import contextlib
import random

import orjson
import pytest
from aiohttp import web

from camphorlink import JobFailedError, NotRunError, OutcomeUnknownError
from camphorlink.client import Client
from camphorlink.errors import JobError
from camphorlink.internal.client.retries import RetryBudget, RetryLimits
from camphorlink.standin.servers import LocalServer

JOB = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 4000,
    'tasks': [{'id': 'a', 'payload': None}],
}
COMPLETE = (200, {'outcome': 'complete', 'results': {'a': 7}}, {})
FAST = RetryLimits(base_delay_s=0.001, max_delay_s=0.002)
CLOSE = 'close the connection'


def refusal(status, outcome, reason, **headers):
    body = {'outcome': outcome, 'reason': reason, 'next': 'n', 'tasks': {}}
    return (status, body, headers)


class FakeEntry:
    """Entry VM with scripted answers, of which the last one is repeated."""

    def __init__(self, name, *answers):
        self.name = name
        self.answers = list(answers)
        self.submitted_names = []
        self.arrival_times_s = []

    def build_app(self):
        app = web.Application()
        app.add_routes(
            [
                web.post('/v1/submission-ids', self.issue),
                web.put('/v1/{kind:submissions|keys}/{name:.+}', self.run),
            ],
        )
        return app

    async def issue(self, request):
        issued = {'submission_id': f'{self.name}-{random.random()}'}
        return web.json_response(issued)

    async def run(self, request):
        self.submitted_names.append(request.match_info['name'])
        self.arrival_times_s.append(asyncio.get_running_loop().time())
        answers = self.answers
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer == CLOSE:
            request.transport.close()
            return web.Response()
        status, body, headers = answer
        if isinstance(body, bytes):
            return web.Response(status=status, body=body, headers=headers)
        return web.Response(
            status=status,
            body=orjson.dumps(body),
            headers={**headers, 'Content-Type': 'application/json'},
        )


def run_with_client(entries, scenario, limits=FAST):
    async def run():
        async with contextlib.AsyncExitStack() as stack:
            urls = []
            for entry in entries:
                server = LocalServer(entry.build_app(), '127.0.0.1', 0)
                await stack.enter_async_context(server)
                urls.append(f'http://{server.address}')
            client = Client(urls, limits, random.Random(7))
            await stack.enter_async_context(client)
            return await scenario(client)

    return asyncio.run(run())


def submit(client):
    return client.submit(JOB)


def test_a_lost_answer_is_retried_with_the_same_identifier():
    entry = FakeEntry('a', CLOSE, CLOSE, COMPLETE)
    assert run_with_client([entry], submit) == {'a': 7}
    assert len(set(entry.submitted_names)) == 1
    assert len(entry.submitted_names) >= 3


@pytest.mark.parametrize(
    'answer',
    [
        CLOSE,
        (502, b'<html>Bad Gateway</html>', {}),
        (200, b'{"outcome": "compl', {}),
        (200, b'[]', {}),
        (200, {'outcome': 'complete', 'results': {}}, {}),
        (200, {'outcome': 'complete', 'results': {'b': 1}}, {}),
        (503, {'message': 'no server is available'}, {}),
        (302, b'', {'Location': '/elsewhere'}),
        refusal(504, 'unknown', 'home-unreachable'),
    ],
)
def test_invalid_answers_raise_unknown_without_a_new_submission(answer):
    entry = FakeEntry('a', answer)
    with pytest.raises(OutcomeUnknownError) as caught:
        run_with_client([entry], submit)
    assert len(set(entry.submitted_names)) == 1
    assert caught.value.submission_id == entry.submitted_names[0]


@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        (refusal(504, 'unknown', 'task-lost'), OutcomeUnknownError),
        (refusal(410, 'unknown', 'answer-gone'), OutcomeUnknownError),
        (refusal(502, 'failed', 'task-failed'), JobFailedError),
        (refusal(404, 'not-run', 'unknown-service'), NotRunError),
    ],
)
def test_a_final_answer_is_not_retried(answer, error):
    entry = FakeEntry('a', answer)
    with pytest.raises(error):
        run_with_client([entry], submit)
    assert len(entry.submitted_names) == 1


def test_a_draining_vm_causes_a_new_submission_to_another_vm():
    leaving = FakeEntry('a', refusal(503, 'not-run', 'draining'))
    other = FakeEntry('b', COMPLETE)
    assert run_with_client([leaving, other], submit) == {'a': 7}
    assert [
        name[0] for name in leaving.submitted_names + other.submitted_names
    ] == ['a', 'b']


def test_the_client_waits_for_retry_after():
    answer = refusal(429, 'not-run', 'queue-full', **{'Retry-After': '1'})
    entry = FakeEntry('a', answer, COMPLETE)
    assert run_with_client([entry], submit) == {'a': 7}
    first, second = entry.arrival_times_s
    assert second - first >= 1
    assert len(set(entry.submitted_names)) == 2


def test_retry_after_beyond_the_deadline_raises_not_run():
    answer = refusal(429, 'not-run', 'queue-full', **{'Retry-After': '60'})
    entry = FakeEntry('a', answer)
    with pytest.raises(NotRunError) as caught:
        run_with_client([entry], submit)
    assert caught.value.retry_after_s == 60
    assert len(entry.submitted_names) == 1


def test_unreachable_entry_vms_raise_not_run_or_unknown():
    async def scenario(_client):
        closed = ['http://127.0.0.1:9']
        async with Client(closed, FAST, random.Random(7)) as client:
            with pytest.raises(NotRunError):
                await client.submit(JOB)
            # An earlier request with this identifier may have run the job.
            with pytest.raises(OutcomeUnknownError):
                await client.submit_named('x', JOB)

    run_with_client([], scenario)


def test_a_retried_key_keeps_its_name_and_service():
    entry = FakeEntry('a', CLOSE, COMPLETE)
    run_with_client([entry], lambda client: client.submit_key('B 7/9', 5, JOB))
    assert set(entry.submitted_names) == {'caster/B 7/9'}


def test_an_invalid_job_is_refused_before_anything_is_sent():
    entry = FakeEntry('a', COMPLETE)
    for job in ({}, {'deadline_ms': 5}, {'deadline_ms': 5, 'tasks': [1]}):
        with pytest.raises(JobError):
            run_with_client([entry], lambda client, job=job: client.submit(job))
    assert entry.submitted_names == []


def test_retries_are_limited_to_a_share_of_first_sends():
    entry = FakeEntry('a', CLOSE)
    limits = FAST._replace(share=0.1, reserve=3)

    async def scenario(client):
        for _ in range(50):
            with pytest.raises(OutcomeUnknownError):
                await client.submit_named('x', JOB)

    run_with_client([entry], scenario, limits)
    assert 50 < len(entry.submitted_names) <= 50 + 3 + 50 * 0.1


def test_the_retry_budget_is_spent_and_refilled():
    budget = RetryBudget(RetryLimits(share=0.5, reserve=2))
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    budget.record_first_send()
    assert not budget.try_spend()
    budget.record_first_send()
    assert budget.try_spend()
