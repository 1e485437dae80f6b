"""Planned stop on SIGTERM.

The VM is not ready at once, cuts off no request and exits with code 0.
"""

import signal
import threading

from processes import ProcessSite, call, wait_until

NOTICE_S = 1.5


def build_job(work_ms):
    return {
        'service': 'caster',
        'team': 'surveyors',
        'deadline_ms': 10_000,
        'tasks': [{'id': 't0', 'payload': {'work_ms': work_ms}}],
    }


def test_a_planned_stop_cuts_no_request_in_flight(tmp_path):
    answers = []
    with ProcessSite(tmp_path, entry_changes={'notice_s': NOTICE_S}) as site:
        entry = site.entries['larissa-entry-0']
        callers = entry.addresses['callers']
        operators = entry.addresses['operators']

        def submit(work_ms):
            path = '/v1/submissions'
            answers.append(call('POST', callers, path, build_job(work_ms)))

        in_flight = threading.Thread(target=submit, args=(3000,))
        in_flight.start()
        submit(10)
        answer_before_stop = answers.pop()
        wait_until(site.starts_by_reference, what='task started')
        entry.signal(signal.SIGTERM)
        wait_until(
            lambda: call('GET', operators, '/readyz').status == 503,
            what='not ready',
        )
        health = call('GET', operators, '/healthz')
        submit(10)
        answer_during_notice = answers.pop()
        wait_until(
            lambda: call('GET', operators, '/readyz').body['draining'],
            what='draining',
        )
        submit(10)
        answer_while_draining = answers.pop()
        exit_code = entry.process.wait(30)
        in_flight.join(30)
        log = entry.log()
    assert answer_before_stop.status == 200
    assert 'connection' not in answer_before_stop.headers
    assert health.status == 200
    assert answer_during_notice.status == 200
    assert answer_during_notice.headers['connection'] == 'close'
    assert answer_while_draining.status == 503
    assert answer_while_draining.body['outcome'] == 'not-run'
    assert answer_while_draining.body['reason'] == 'draining'
    assert answer_while_draining.headers['retry-after'].isdigit()
    assert [answer.status for answer in answers] == [200]
    assert exit_code == 0
    assert 'Traceback' not in log, log
