"""Concurrent submissions to several entry VMs while one of them fails.

Every submission is sent to all entry VMs at once.  One VM is killed, stopped
or paused meanwhile.  No task may start twice on the backend servers, and each
reported outcome must agree with the tasks that were started.
"""

import concurrent.futures
import http.client
import signal
import time

import pytest

from processes import ProcessSite, call, wait_until

ENTRIES = 3
SUBMISSIONS = 36
TASKS = 3
DEADLINE_MS = 12_000
FAIL_AFTER_S = 0.3
PAUSE_S = 6.0
SETTLE_S = 1.5


def build_job(number):
    return {
        'service': 'caster',
        'team': 'surveyors',
        'deadline_ms': DEADLINE_MS,
        'tasks': [
            {'id': f't{task}', 'payload': {'work_ms': 60, 'n': number}}
            for task in range(TASKS)
        ],
    }


def register_entries(site):
    """Registers the entry VMs and waits until they relay to each other."""
    for name, entry in site.entries.items():
        document = {
            'zone': 'larissa',
            'vm': name,
            'peers': entry.addresses['peers'],
            'operators': entry.addresses['operators'],
            'state': 'live',
        }
        call('PUT', site.log.address, '/standin/vms', document)
    for home in site.entries.values():
        for other in site.entries.values():
            wait_until(lambda: can_relay(home, other), what='links')  # noqa: B023


def issue_id(entry):
    answer = call('POST', entry.addresses['callers'], '/v1/submission-ids')
    return answer.body['submission_id']


def can_relay(home, other):
    return submit_copy(other, issue_id(home), build_job(0)) == 'complete'


def submit_copy(entry, submission_id, job):
    """Submits a job to one VM; returns the outcome or ``no-answer``.

    An outcome of *unknown* includes its reason.
    """
    path = f'/v1/submissions/{submission_id}'
    address = entry.addresses['callers']
    try:
        answer = call('PUT', address, path, job, timeout_s=20.0)
    except (OSError, http.client.HTTPException):
        return 'no-answer'
    reason = answer.body.get('reason')
    outcome = answer.body['outcome']
    return f'{outcome}: {reason}' if outcome == 'unknown' else outcome


def fail_kill(entry):
    entry.kill()


def fail_stop(entry):
    assert entry.stop() == 0


def fail_pause(entry):
    entry.signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    entry.signal(signal.SIGCONT)


def run_storm(site, ids, fail):
    victim = site.entries['larissa-entry-1']
    copies = [
        (submission_id, entry)
        for submission_id in ids
        for entry in site.entries.values()
    ]
    with concurrent.futures.ThreadPoolExecutor(len(copies) + 1) as pool:
        failing = pool.submit(
            lambda: (time.sleep(FAIL_AFTER_S), fail(victim)),
        )
        futures = [
            pool.submit(submit_copy, entry, submission_id, build_job(1))
            for submission_id, entry in copies
        ]
        outcomes_by_id = {submission_id: [] for submission_id in ids}
        for (submission_id, _entry), future in zip(
            copies, futures, strict=True
        ):
            outcomes_by_id[submission_id].append(future.result(30))
        failing.result(30)
    return outcomes_by_id


@pytest.mark.parametrize('fail', [fail_kill, fail_stop, fail_pause])
def test_no_task_starts_twice_and_outcomes_match_the_starts(tmp_path, fail):
    with ProcessSite(
        tmp_path,
        entries_per_zone=ENTRIES,
        speeds=(1.0, 2.0),
        slots=16,
    ) as site:
        register_entries(site)
        homes = list(site.entries.values())
        ids = [issue_id(homes[n % ENTRIES]) for n in range(SUBMISSIONS)]
        outcomes_by_id = run_storm(site, ids, fail)
        time.sleep(SETTLE_S)
        starts = site.starts_by_reference()
    assert set(starts.values()) == {1}
    for submission_id, outcomes in outcomes_by_id.items():
        references = {f'{submission_id}/t{task}' for task in range(TASKS)}
        started = references & set(starts)
        if 'complete' in outcomes:
            assert started == references, outcomes
        if 'not-run' in outcomes:
            assert not started, outcomes
    reported = [
        outcome for outcomes in outcomes_by_id.values() for outcome in outcomes
    ]
    assert 'complete' in reported
    survivors = [
        outcomes
        for submission_id, outcomes in outcomes_by_id.items()
        if '.larissa-entry-1.' not in submission_id
    ]
    for outcomes in survivors:
        assert outcomes.count('complete') >= ENTRIES - 1, outcomes
