"""Metrics, logs and health of a running daemon, and its use of the system."""

import contextlib
import json
import re
from pathlib import Path

import pytest

from camphorlink.internal.core.request.reasons import Reason
from processes import ProcessSite, call

SAMPLE = re.compile(r'^([a-z_]+)(?:{(.*)})? ([0-9.e+-]+)$', re.MULTILINE)
JOB = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [
        {'id': 'a', 'payload': {'work_ms': 1}},
        {'id': 'b', 'payload': {'work_ms': 1}},
    ],
}


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    with ProcessSite(tmp_path_factory.mktemp('site')) as started:
        yield started


@pytest.fixture
def entry(site):
    return site.entries['larissa-entry-0']


def read_samples(entry):
    answer = call('GET', entry.addresses['operators'], '/metrics')
    assert answer.status == 200
    return {
        (name, labels or ''): float(number)
        for name, labels, number in SAMPLE.findall(answer.body.decode())
    }


def test_every_reason_has_a_counter_from_the_start(entry):
    samples = read_samples(entry)
    for family in ('refusals', 'failures', 'retries'):
        for reason in Reason:
            key = f'camphorlink_{family}_total', f'reason="{reason.value}"'
            assert key in samples


def test_metrics_count_submissions_and_refusals(entry):
    callers = entry.addresses['callers']
    before = read_samples(entry)
    assert call('POST', callers, '/v1/submissions', JOB).status == 200
    bad = {**JOB, 'service': 'nobody'}
    assert call('POST', callers, '/v1/submissions', bad).status == 404
    assert call('POST', callers, '/v1/submissions', b'{').status == 400
    assert call('GET', callers, '/nowhere').status == 404
    after = read_samples(entry)

    def increase(name, labels=''):
        key = (f'camphorlink_{name}', labels)
        return after[key] - before.get(key, 0)

    assert increase('starts_total', 'service="caster"') == 2
    assert increase('answers_total', 'outcome="complete"') == 1
    assert increase('refusals_total', 'reason="unknown-service"') == 1
    assert increase('refusals_total', 'reason="bad-json"') == 1
    assert increase('refusals_total', 'reason="unknown-route"') == 1
    assert increase('response_seconds_count') == 2
    assert after['camphorlink_tasks_in_flight', ''] == 0
    assert after['camphorlink_tasks_queued', ''] == 0
    assert after['camphorlink_version_in_force', ''] == 1


def open_files(pid):
    """Yields what the descriptors of a process refer to.

    A descriptor that the process closes meanwhile is left out.
    """
    for link in Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            yield str(link.readlink())


def test_the_daemon_has_no_io_uring_and_no_child_process(entry):
    pid = entry.process.pid
    names = list(open_files(pid))
    assert any('socket' in name for name in names)
    assert [name for name in names if 'uring' in name] == []
    children = Path(f'/proc/{pid}/task/{pid}/children').read_text()
    assert children == ''


def test_the_daemon_has_at_most_one_libuv_thread(entry):
    threads = Path(f'/proc/{entry.process.pid}/task').iterdir()
    assert len(list(threads)) <= 2


def test_logs_are_json_lines_with_the_prefix_of_their_part(entry):
    lines = [json.loads(line) for line in entry.log().splitlines()]
    assert lines
    for line in lines:
        assert line['message'].startswith(f'[{line["part"]}] ')
        assert line['vm'] in {'larissa-entry-0', ''}


def test_a_vm_without_a_manifest_is_healthy_and_not_ready(site, entry):
    isolated = site.start_entry(
        'larissa',
        'larissa-lonely',
        log_service='http://127.0.0.1:9',
    )
    operators = isolated.addresses['operators']
    assert call('GET', operators, '/healthz').status == 200
    ready = call('GET', operators, '/readyz')
    callers = isolated.addresses['callers']
    answer = call('POST', callers, '/v1/submissions', JOB)
    assert (ready.status, ready.body['version']) == (503, 0)
    assert (answer.status, answer.body['reason']) == (503, 'no-manifest')
    assert isolated.stop() == 0
