"""End-to-end tests of caller, entry VM, backend servers and log service."""

import asyncio

import pytest

from camphorlink import NotRunError
from camphorlink.client import Client
from camphorlink.standin.local_site import LocalSite, SiteShape


def run(coroutine):
    return asyncio.run(coroutine)


def build_job(count, **changes):
    job = {
        'service': 'caster',
        'team': 'surveyors',
        'deadline_ms': 5000,
        'tasks': [
            {'id': f't{number}', 'payload': {'work_ms': 5, 'n': number}}
            for number in range(count)
        ],
    }
    return {**job, **changes}


def list_urls(site):
    return [f'http://127.0.0.1:{entry.callers_port}' for entry in site.daemons]


def starts_of(site):
    total = {}
    for backend in site.backends_by_name.values():
        for reference, count in backend.starts_by_reference.items():
            total[reference] = total.get(reference, 0) + count
    return total


def test_every_task_runs_once_and_the_answer_is_complete():
    async def scenario():
        async with (
            LocalSite(SiteShape()) as site,
            Client(list_urls(site)) as cli,
        ):
            results = await cli.submit(build_job(40))
            return results, starts_of(site)

    results, starts = run(scenario())
    assert {key: value['echo']['n'] for key, value in results.items()} == {
        f't{number}': number for number in range(40)
    }
    assert len(starts) == 40
    assert set(starts.values()) == {1}


def test_resubmissions_share_one_run_of_each_task():
    async def scenario():
        async with (
            LocalSite(SiteShape()) as site,
            Client(list_urls(site)) as cli,
        ):
            submission_id = await cli.issue_id()
            answers = await asyncio.gather(
                *(
                    cli.submit_named(submission_id, build_job(10))
                    for _ in range(5)
                ),
            )
            return answers, starts_of(site)

    answers, starts = run(scenario())
    assert all(answer == answers[0] for answer in answers)
    assert len(starts) == 10
    assert set(starts.values()) == {1}


def test_an_unknown_service_is_refused_as_not_run():
    async def scenario():
        async with (
            LocalSite(SiteShape()) as site,
            Client(list_urls(site)) as cli,
        ):
            with pytest.raises(NotRunError) as caught:
                await cli.submit(build_job(1, service='nobody'))
            return caught.value, starts_of(site)

    refusal, starts = run(scenario())
    assert refusal.reason == 'unknown-service'
    assert starts == {}
