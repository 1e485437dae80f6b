"""Invalid requests get a typed refusal and start nothing."""

import json

import pytest

from processes import ProcessSite, call

SUBMIT = '/v1/submissions'
JOB = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [{'id': 'a', 'payload': {'work_ms': 1}}],
}
NAMED = '/v1/submissions/larissa.larissa-entry-0.nothing'


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    with ProcessSite(tmp_path_factory.mktemp('site')) as started:
        yield started


@pytest.fixture
def entry(site):
    """Checks after a test that no task started and the daemon still serves."""
    program = site.entries['larissa-entry-0']
    before = sum(site.starts_by_reference().values())
    yield program
    assert sum(site.starts_by_reference().values()) == before
    answer = call('POST', program.addresses['callers'], SUBMIT, JOB)
    assert answer.status == 200
    assert program.process.poll() is None


def tasks(count):
    return [{'id': f't{number}', 'payload': None} for number in range(count)]


def with_field(**changes):
    return json.dumps({**JOB, **changes}).encode()


FORM_HEADERS = {'Content-Type': 'application/x-www-form-urlencoded'}
DEEPLY_NESTED = b'[' * 100_000
INVALID_REQUESTS = {
    'empty body': (b'', {}, 400, 'bad-json'),
    'truncated': (with_field()[:-3], {}, 400, 'bad-json'),
    'not UTF-8': (b'{"service": "\xff"}', {}, 400, 'bad-json'),
    'UTF-16': (json.dumps(JOB).encode('utf-16'), {}, 400, 'bad-json'),
    'deep': (DEEPLY_NESTED, {}, 400, 'bad-json'),
    'deep payload': (
        with_field(tasks=[{'id': 'a', 'payload': '@'}]).replace(
            b'"@"', b'[' * 500 + b']' * 500
        ),
        {},
        400,
        'bad-json',
    ),
    'form': (b'service=caster', FORM_HEADERS, 415, 'wrong-content-type'),
    'no object': (b'[]', {}, 422, 'bad-job'),
    'null': (b'null', {}, 422, 'bad-job'),
    'unknown field': (with_field(colour='red'), {}, 422, 'bad-job'),
    'many unknown fields': (
        with_field(**{f'f{number}': 1 for number in range(5000)}),
        {},
        422,
        'bad-job',
    ),
    'no tasks': (with_field(tasks=[]), {}, 422, 'bad-job'),
    '151 tasks': (with_field(tasks=tasks(151)), {}, 422, 'bad-job'),
    'same id twice': (with_field(tasks=tasks(2) * 2), {}, 422, 'bad-job'),
    'number as id': (
        with_field(tasks=[{'id': 7, 'payload': 1}]),
        {},
        422,
        'bad-job',
    ),
    'no deadline': (with_field(deadline_ms=0), {}, 422, 'bad-job'),
    'past deadline': (with_field(deadline_ms=-5), {}, 422, 'bad-job'),
    'text as deadline': (with_field(deadline_ms='5'), {}, 422, 'bad-job'),
    'far deadline': (with_field(deadline_ms=1e9), {}, 422, 'bad-job'),
    'text as flag': (with_field(idempotent='yes'), {}, 422, 'bad-job'),
    'unknown service': (with_field(service='x'), {}, 404, 'unknown-service'),
    'unknown team': (with_field(team='x'), {}, 403, 'unknown-team'),
    'too large': (
        with_field(tasks=[{'id': 'a', 'payload': 'x' * 5_000_000}]),
        {},
        413,
        'body-too-large',
    ),
}


@pytest.mark.parametrize('case', INVALID_REQUESTS)
def test_a_bad_job_is_refused_as_not_run(entry, case):
    body, headers, status, reason = INVALID_REQUESTS[case]
    callers = entry.addresses['callers']
    answer = call('POST', callers, SUBMIT, body, headers)
    check_problem(answer, status, reason, 'not-run')
    if reason == 'bad-job':
        faults = answer.body['faults']
        assert faults
        assert all(
            set(fault) == {'path', 'found', 'expected'} for fault in faults
        )


@pytest.mark.parametrize(
    ('method', 'path', 'status', 'reason'),
    [
        ('GET', '/', 404, 'unknown-route'),
        ('GET', '/v2/submissions', 404, 'unknown-route'),
        ('POST', '/v1/submissions/a/b/c', 404, 'unknown-route'),
        ('PATCH', SUBMIT, 405, 'wrong-method'),
        ('GET', '/v1/submission-ids', 405, 'wrong-method'),
        ('PUT', NAMED, 400, 'bad-identifier'),
    ],
)
def test_a_bad_route_is_refused(entry, method, path, status, reason):
    answer = call(method, entry.addresses['callers'], path, JOB)
    check_problem(answer, status, reason, 'not-run')
    if status == 405:
        assert 'POST' in answer.headers['allow']


def test_operators_routes_refuse_in_the_same_way(entry):
    operators = entry.addresses['operators']
    unknown_route = call('GET', operators, '/nothing')
    check_problem(unknown_route, 404, 'unknown-route', 'not-run')
    wrong_method = call('DELETE', operators, '/readyz')
    check_problem(wrong_method, 405, 'wrong-method', 'not-run')


def test_an_unknown_submission_is_reported_as_unknown(entry):
    callers = entry.addresses['callers']
    issued = call('POST', callers, '/v1/submission-ids').body['submission_id']
    answer = call('GET', callers, f'/v1/submissions/{issued}')
    check_problem(answer, 404, 'unknown-submission', 'unknown')


def test_invalid_http_is_refused_and_does_not_stop_the_daemon(entry):
    answer = call(
        'POST', entry.addresses['callers'], SUBMIT, JOB, {'Content-Length': 'x'}
    )
    assert answer.status == 400


def check_problem(answer, status, reason, outcome):
    assert (answer.status, answer.body['reason']) == (status, reason)
    assert answer.headers['content-type'] == 'application/problem+json'
    assert answer.body['status'] == status
    assert answer.body['outcome'] == outcome
    assert answer.body['type'] == f'urn:camphorlink:reason:{reason}'
    assert answer.body['next']
    assert ('retry-after' in answer.headers) == (status in {429, 503})
