"""The ``/v1/jobs`` interface, and the cells and metrics for operators."""

import pytest

from platform_site import PlatformSite
from processes import call, wait_until

JOB = {'spec': 'x', 'steps': [{'tasks': 3, 'cpu_milli': 14_000}]}
PATH = '/v1/jobs/corrections/'


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    nodes = {'edge-1': 'larissa'}
    directory = tmp_path_factory.mktemp('site')
    with PlatformSite(directory, nodes, zones=('larissa',)) as opened:
        yield opened


def call_operators_api(site, method, path, document=None):
    address = site.node_by_name['edge-1'].addresses['operators']
    return call(method, address, path, document)


def test_a_job_is_submitted_read_and_counted(site):
    path = PATH + 'a' * 16
    assert call_operators_api(site, 'PUT', path, JOB).status == 200
    assert call_operators_api(site, 'PUT', path, JOB).status == 200
    wait_until(
        lambda: (
            call_operators_api(site, 'GET', path).body == {'state': 'completed'}
        )
    )
    assert call_operators_api(site, 'GET', PATH.rstrip('/')).body == {
        'pending': 0
    }
    assert len(site.list_starts('a' * 16)) == 3


def test_a_transient_job_is_answered_with_its_final_state(site):
    answer = call_operators_api(
        site, 'PUT', PATH + 'b' * 16, JOB | {'transient': True}
    )
    assert answer.body == {'state': 'completed'}


def test_a_job_is_cancelled(site):
    path = PATH + 'c' * 16
    steps = [{'tasks': 40, 'cpu_milli': 14_000}]
    call_operators_api(site, 'PUT', path, JOB | {'steps': steps})
    assert call_operators_api(site, 'DELETE', path).status == 200
    assert call_operators_api(site, 'GET', path).body == {'state': 'cancelled'}


def test_unknown_jobs_and_queues_are_answered_with_a_reason(site):
    gone = call_operators_api(site, 'GET', PATH + 'd' * 16)
    assert (gone.status, gone.body['reason']) == (410, 'no-such-job')
    unknown = call_operators_api(site, 'PUT', '/v1/jobs/other/' + 'd' * 16, JOB)
    assert (unknown.status, unknown.body['reason']) == (404, 'unknown-queue')


@pytest.mark.parametrize(
    ('document', 'path'),
    [
        (b'no JSON', '$'),
        ([], '$'),
        ({}, '$.steps'),
        ({'steps': []}, '$.steps'),
        ({'steps': [7]}, '$.steps[0]'),
        ({'steps': [{'tasks': 0}]}, '$.steps[0].tasks'),
        ({'steps': [{'tasks': 1, 'cpu_milli': 'x'}]}, '$.steps[0].cpu_milli'),
        ({'steps': [{'tasks': 1, 'after': [0]}]}, '$.steps[0].after'),
        ({'steps': [{'tasks': 1, 'cpu': 7}]}, '$.steps[0].cpu'),
        ({'spec': 'x' * 4001, 'steps': [{'tasks': 1}]}, '$.spec'),
    ],
)
def test_invalid_jobs_are_answered_with_their_faults_and_never_run(
    site, document, path
):
    answer = call_operators_api(site, 'PUT', PATH + 'e' * 16, document)
    assert answer.status == 422
    assert path in [fault['path'] for fault in answer.body['faults']]
    assert call_operators_api(site, 'GET', PATH + 'e' * 16).status == 410


def test_operators_see_cells_and_counts(site):
    cells = call_operators_api(site, 'GET', '/v1/cells').body
    assert cells['owners']['larissa']['member'].startswith('edge-1#')
    for backend in cells['cells']['larissa']['back_ends'].values():
        assert backend['avoided_because'] == ''
        assert backend['speed'] > 0
    metrics = call_operators_api(site, 'GET', '/metrics').body.decode()
    assert 'camphorlink_appends_total{reason="done"}' in metrics
    assert 'camphorlink_owned_cells 1' in metrics
    assert call_operators_api(site, 'GET', '/readyz').status == 200
