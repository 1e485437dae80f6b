"""Tests of submission by idempotency key over HTTP with log service faults."""

import asyncio
import time

import aiohttp

from camphorlink.client import Client
from camphorlink.standin.local_site import LocalSite, SiteShape
from camphorlink.standin.log_service import Faults


def build_job(deadline_ms=5000):
    return {
        'service': 'caster',
        'team': 'surveyors',
        'deadline_ms': deadline_ms,
        'tasks': [{'id': 't0', 'payload': {'work_ms': 5}}],
    }


async def put(session, daemon, key, job, **headers):
    url = f'http://127.0.0.1:{daemon.callers_port}/v1/keys/caster/{key}'
    sent = {'Key-Issued-Ms': str(int(time.time() * 1000)), **headers}
    async with session.put(url, json=job, headers=sent) as answer:
        return answer.headers.get('Submission-Id'), await answer.json()


def start_counts(site):
    return [
        count
        for backend in site.backends_by_name.values()
        for count in backend.starts_by_reference.values()
    ]


def run(scenario):
    async def run_scenario():
        async with (
            LocalSite(SiteShape()) as site,
            aiohttp.ClientSession() as session,
        ):
            return await scenario(site, session)

    return asyncio.run(run_scenario())


def test_a_key_sent_to_two_vms_is_one_submission_despite_lost_answers():
    async def scenario(site, session):
        site.log_service.faults = Faults(lose_answers=True)
        answers = await asyncio.gather(
            *(
                put(session, daemon, 'B-7', build_job())
                for daemon in site.daemons * 3
            ),
        )
        return answers, start_counts(site)

    answers, starts = run(scenario)
    assert {answer['outcome'] for _name, answer in answers} == {'complete'}
    assert len({name for name, _answer in answers}) == 1
    assert starts == [1]


def test_without_the_log_keys_are_unknown_and_other_submissions_run():
    async def scenario(site, session):
        site.log_service.faults = Faults(down=True)
        _name, keyed = await put(
            session, site.daemons[0], 'B-7', build_job(600)
        )
        url = f'http://127.0.0.1:{site.daemons[0].callers_port}'
        path = f'{url}/v1/submissions'
        async with session.post(path, json=build_job()) as answer:
            return keyed, await answer.json(), start_counts(site)

    keyed, unkeyed, starts = run(scenario)
    assert (keyed['outcome'], keyed['reason']) == ('unknown', 'key-unresolved')
    assert unkeyed['outcome'] == 'complete'
    assert starts == [1]


def test_a_key_without_a_valid_issue_time_is_refused():
    async def scenario(site, session):
        headers = {'Key-Issued-Ms': 'soon'}
        return await put(
            session, site.daemons[0], 'B-7', build_job(), **headers
        )

    _name, answer = run(scenario)
    assert answer['outcome'] == 'not-run'
    assert 'Key-Issued-Ms' in answer['detail']


def test_a_resubmitted_key_gets_the_same_results():
    async def scenario(site, session):
        urls = [
            f'http://127.0.0.1:{daemon.callers_port}' for daemon in site.daemons
        ]
        async with Client(urls) as client:
            used_ms = int(time.time() * 1000)
            first = await client.submit_key('B-9', used_ms, build_job())
            again = await client.submit_key('B-9', used_ms, build_job())
        return first, again, start_counts(site)

    first, again, starts = run(scenario)
    assert first == again
    assert starts == [1]
