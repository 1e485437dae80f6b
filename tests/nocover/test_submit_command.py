"""Tests of the output and the exit codes of ``camphorlink-submit``."""

import json
import os
import subprocess
import sys
import time

import pytest

from processes import SOURCE, ProcessSite, call

JOB = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [{'id': 'a', 'payload': {'work_ms': 1}}],
}


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    with ProcessSite(tmp_path_factory.mktemp('site')) as started:
        yield started


def run_submit(site, *arguments, job=JOB, entry=None):
    if entry is None:
        entry = site.entries['larissa-entry-0'].addresses['callers']
    body = job if isinstance(job, bytes) else json.dumps(job).encode()
    command = [sys.executable, '-m', 'camphorlink.cli.submit']
    return subprocess.run(
        [*command, '--entry', f'http://{entry}', *arguments],
        input=body,
        capture_output=True,
        timeout=60,
        env={**os.environ, 'PYTHONPATH': str(SOURCE)},
    )


def test_a_complete_job_from_standard_input(site):
    process = run_submit(site)
    assert process.returncode == 0, process.stderr
    answer = json.loads(process.stdout)
    assert answer['outcome'] == 'complete'
    assert answer['results']['a']['echo'] == {'work_ms': 1}
    assert process.stderr == b''


def test_a_job_from_a_file_under_an_identifier_is_run_once(site, tmp_path):
    path = tmp_path / 'job.json'
    path.write_text(json.dumps(JOB))
    entry = site.entries['larissa-entry-0'].addresses['callers']
    issued = call('POST', entry, '/v1/submission-ids').body['submission_id']
    first = run_submit(site, '--id', issued, str(path))
    second = run_submit(site, '--id', issued, str(path), '--deadline', '9')
    assert first.returncode == second.returncode == 0
    assert first.stdout == second.stdout
    assert site.starts_by_reference()[f'{issued}/a'] == 1


def test_a_key_submitted_twice_is_run_once(site):
    before = len(site.starts_by_reference())
    issued = str(int(time.time() * 1000))
    arguments = ('--key', 'booking 7/9', '--key-issued', issued)
    first = run_submit(site, *arguments)
    second = run_submit(site, *arguments)
    assert first.returncode == second.returncode == 0, first.stderr
    assert first.stdout == second.stdout
    assert len(site.starts_by_reference()) == before + 1


def test_progress_goes_to_standard_error(site):
    slow = {**JOB, 'tasks': [{'id': 'a', 'payload': {'work_ms': 1000}}]}
    process = run_submit(site, '--progress', job=slow)
    assert process.returncode == 0
    assert b'0 of 1 tasks finished' in process.stderr
    assert json.loads(process.stdout)['outcome'] == 'complete'


def test_a_refused_job_exits_with_3(site):
    process = run_submit(site, job={**JOB, 'service': 'nobody'})
    assert process.returncode == 3
    answer = json.loads(process.stdout)
    assert (answer['outcome'], answer['reason']) == (
        'not-run',
        'unknown-service',
    )


def test_a_failed_job_exits_with_4(site):
    backend = site.backends['larissa-runner-0'].address
    call('PUT', backend, '/standin/mode', {'mode': 'fail-all'})
    try:
        process = run_submit(site)
    finally:
        call('PUT', backend, '/standin/mode', {'mode': 'normal'})
    assert process.returncode == 4
    assert json.loads(process.stdout)['tasks'] == {'a': 'failed'}


def test_an_unknown_outcome_exits_with_5(site):
    backend = site.backends['larissa-runner-0'].address
    call('PUT', backend, '/standin/mode', {'mode': 'silent'})
    try:
        process = run_submit(site, '--deadline', '0.5')
    finally:
        call('PUT', backend, '/standin/mode', {'mode': 'normal'})
    assert process.returncode == 5
    assert json.loads(process.stdout)['outcome'] == 'unknown'


def test_unreachable_entry_vms_exit_with_3(site):
    process = run_submit(site, '--deadline', '1', entry='127.0.0.1:9')
    assert process.returncode == 3
    assert json.loads(process.stdout)['reason'] == 'no-entry-vm'


@pytest.mark.parametrize(
    ('arguments', 'job', 'expected_error'),
    [
        (['--id', 'x', '--key', 'y'], JOB, b'not both'),
        (['--key', 'y'], JOB, b'--key-issued'),
        (['--colour'], JOB, b'No such option'),
        (['no-such-file.json'], JOB, b'No such file'),
        ([], b'{', b'$: found 1 bytes that are no JSON'),
        ([], b'[]', b'$: found []'),
        ([], {**JOB, 'tasks': []}, b'$.tasks: found []'),
        (['--deadline', '-1'], JOB, b'$.deadline_ms: found -1000'),
    ],
)
def test_usage_errors_and_invalid_jobs_exit_with_2(
    site, arguments, job, expected_error
):
    process = run_submit(site, *arguments, job=job)
    assert process.returncode == 2, process.stderr
    assert expected_error in process.stderr
    assert process.stdout == b''
