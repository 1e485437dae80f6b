"""Whatever comes in, the checker returns a job or raises a ``JobError``."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from camphorlink.errors import JobError
from camphorlink.internal.core.request.job import Job
from camphorlink.internal.shell.request.job_documents import read_job

GOOD = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [{'id': 'a', 'payload': None}, {'id': 'b', 'payload': [1]}],
}
FRAME = '{"service":"s","team":"t","deadline_ms":1,"tasks":%s}'
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
job_fields = st.sampled_from([*GOOD, 'idempotent', 'more'])
changes = st.dictionaries(job_fields, values | tasks, max_size=3)


def outcome_of(body):
    try:
        return read_job(body, 0.0)
    except JobError as exc:
        return exc


@seed(20260301)
@settings(max_examples=300, deadline=None, database=None)
@given(changes=changes)
def test_a_changed_job_is_read_or_its_faults_are_named(changes):
    body = json.dumps({**GOOD, **changes}).encode()
    found = outcome_of(body)
    if isinstance(found, JobError):
        assert found.faults
        assert all(fault.path.startswith('$') for fault in found.faults)
        assert all(len(fault.found) < 80 for fault in found.faults)
    else:
        assert isinstance(found, Job)
        assert 0 < found.deadline_s <= 300
        assert 1 <= len(found.tasks) <= 150


@seed(20260302)
@settings(max_examples=200, deadline=None, database=None)
@given(body=st.binary(max_size=60))
def test_bytes_at_random_are_never_a_job(body):
    assert isinstance(outcome_of(body), JobError)


@pytest.mark.parametrize('depth', [50, 200, 260, 1000, 1020, 50_000])
@pytest.mark.parametrize(
    'frame',
    [
        FRAME % '[{"id":"a","payload":%s}]',
        FRAME % '%s',
        '%s',
    ],
)
def test_deep_nesting_is_read_or_refused(depth, frame):
    body = (frame % ('[' * depth + ']' * depth)).encode()
    assert isinstance(outcome_of(body), JobError | Job)


def test_the_digest_tells_jobs_apart_but_not_deadlines():
    def digest(**changes):
        return read_job(json.dumps({**GOOD, **changes}).encode(), 0).digest

    assert digest() == digest(deadline_ms=7)
    assert digest() != digest(idempotent=True)
    assert digest() != digest(tasks=GOOD['tasks'][:1])
