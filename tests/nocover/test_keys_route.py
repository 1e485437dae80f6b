"""Callers' own keys over HTTP, with a log service that has faults."""

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


def starts_of(site):
    return [
        count
        for backend in site.backends_by_name.values()
        for count in backend.starts_by_reference.values()
    ]


def run(scenario):
    async def whole():
        async with (
            LocalSite(SiteShape()) as site,
            aiohttp.ClientSession() as session,
        ):
            return await scenario(site, session)

    return asyncio.run(whole())


def test_a_key_at_two_vms_is_one_submission_though_answers_get_lost():
    async def scenario(site, session):
        site.log_service.faults = Faults(lose_answers=True)
        told = await asyncio.gather(
            *(
                put(session, daemon, 'B-7', build_job())
                for daemon in site.daemons * 3
            ),
        )
        return told, starts_of(site)

    told, starts = run(scenario)
    assert {answer['outcome'] for _name, answer in told} == {'complete'}
    assert len({name for name, _answer in told}) == 1
    assert starts == [1]


def test_without_the_log_a_key_is_unknown_and_homes_go_on():
    async def scenario(site, session):
        site.log_service.faults = Faults(down=True)
        _name, told = await put(session, site.daemons[0], 'B-7', build_job(600))
        url = f'http://127.0.0.1:{site.daemons[0].callers_port}'
        path = f'{url}/v1/submissions'
        async with session.post(path, json=build_job()) as answer:
            return told, await answer.json(), starts_of(site)

    told, homed, starts = run(scenario)
    assert (told['outcome'], told['reason']) == ('unknown', 'key-unresolved')
    assert homed['outcome'] == 'complete'
    assert starts == [1]


def test_a_key_without_the_time_of_its_first_use_is_refused():
    async def scenario(site, session):
        headers = {'Key-Issued-Ms': 'soon'}
        return await put(
            session, site.daemons[0], 'B-7', build_job(), **headers
        )

    _name, told = run(scenario)
    assert told['outcome'] == 'not-run'
    assert 'Key-Issued-Ms' in told['detail']


def test_the_client_tells_when_the_key_was_first_used():
    async def scenario(site, session):
        urls = [
            f'http://127.0.0.1:{daemon.callers_port}' for daemon in site.daemons
        ]
        async with Client(urls) as client:
            used_ms = int(time.time() * 1000)
            first = await client.submit_key('B-9', used_ms, build_job())
            again = await client.submit_key('B-9', used_ms, build_job())
        return first, again, starts_of(site)

    first, again, starts = run(scenario)
    assert first == again
    assert starts == [1]
