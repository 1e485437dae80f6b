"""``read_job`` returns a job or raises ``JobError`` for any input."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from camphorlink.errors import JobError
from camphorlink.internal.core.request.job import Job
from camphorlink.internal.shell.request.job_documents import read_job

VALID_JOB = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [{'id': 'a', 'payload': None}, {'id': 'b', 'payload': [1]}],
}
JOB_TEMPLATE = '{"service":"s","team":"t","deadline_ms":1,"tasks":%s}'
values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=80),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
task_fields = st.sampled_from(['id', 'payload', 'task_class', 'declared_ms'])
tasks = st.lists(
    values | st.dictionaries(task_fields, values, max_size=4),
    max_size=4,
)
job_fields = st.sampled_from([*VALID_JOB, 'idempotent', 'more'])
changed_fields = st.dictionaries(job_fields, values | tasks, max_size=3)


def read_job_or_error(body):
    try:
        return read_job(body, 0.0)
    except JobError as exc:
        return exc


@seed(20260301)
@settings(max_examples=300, deadline=None, database=None)
@given(changed_fields=changed_fields)
def test_a_mutated_job_is_read_or_its_faults_are_listed(changed_fields):
    body = json.dumps({**VALID_JOB, **changed_fields}).encode()
    job_or_error = read_job_or_error(body)
    if isinstance(job_or_error, JobError):
        assert job_or_error.faults
        assert all(fault.path.startswith('$') for fault in job_or_error.faults)
        assert all(len(fault.found) < 80 for fault in job_or_error.faults)
    else:
        assert isinstance(job_or_error, Job)
        assert 0 < job_or_error.deadline_s <= 300
        assert 1 <= len(job_or_error.tasks) <= 150


@seed(20260302)
@settings(max_examples=200, deadline=None, database=None)
@given(body=st.binary(max_size=60))
def test_random_bytes_are_refused(body):
    assert isinstance(read_job_or_error(body), JobError)


@pytest.mark.parametrize('depth', [50, 200, 260, 1000, 1020, 50_000])
@pytest.mark.parametrize(
    'frame',
    [
        JOB_TEMPLATE % '[{"id":"a","payload":%s}]',
        JOB_TEMPLATE % '%s',
        '%s',
    ],
)
def test_deep_nesting_is_read_or_refused(depth, frame):
    body = (frame % ('[' * depth + ']' * depth)).encode()
    assert isinstance(read_job_or_error(body), JobError | Job)


def test_digest_covers_the_job_but_not_its_deadline():
    def digest(**changed_fields):
        return read_job(
            json.dumps({**VALID_JOB, **changed_fields}).encode(), 0
        ).digest

    assert digest() == digest(deadline_ms=7)
    assert digest() != digest(idempotent=True)
    assert digest() != digest(tasks=VALID_JOB['tasks'][:1])
