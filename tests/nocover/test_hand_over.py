"""A planned stop of a real daemon aborts no job and starts no task twice."""

import asyncio

from camphorlink.client import Client
from camphorlink.standin.local_site import LocalSite, SiteShape

POLLS = 500
POLL_S = 0.02


def build_job(count, work_ms=5):
    return {
        'service': 'caster',
        'team': 'surveyors',
        'deadline_ms': 5000,
        'tasks': [
            {'id': f't{number}', 'payload': {'work_ms': work_ms}}
            for number in range(count)
        ],
    }


def build_url(daemon):
    return f'http://127.0.0.1:{daemon.callers_port}'


async def wait_for_complete_views(site):
    for _number in range(POLLS):
        views = [daemon.host.core.post.live() for daemon in site.daemons]
        if all(len(view) == len(site.daemons) for view in views):
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(views)


def starts_of(site):
    return [
        count
        for backend in site.backends_by_name.values()
        for count in backend.starts_by_reference.values()
    ]


def test_a_planned_stop_completes_running_jobs_and_its_successor_answers():
    async def scenario():
        async with LocalSite(SiteShape(entries_per_zone=2)) as site:
            await wait_for_complete_views(site)
            leaving, other = site.daemons[0], site.daemons[2]
            async with Client([build_url(leaving)]) as near:
                completed_id = await near.issue_id()
                unused_id = await near.issue_id()
                first = await near.submit_named(completed_id, build_job(4))
                slow = asyncio.create_task(
                    near.submit_named(await near.issue_id(), build_job(4, 500)),
                )
                await asyncio.sleep(0.1)
                await leaving.__aexit__(None, None, None)
                in_flight = await slow
            async with Client([build_url(other)]) as far:
                repeated = await far.submit_named(completed_id, build_job(4))
                late = await far.submit_named(unused_id, build_job(3))
            site.daemons.remove(leaving)
            return first, repeated, in_flight, late, starts_of(site)

    first, repeated, in_flight, late, starts = asyncio.run(scenario())
    assert repeated == first
    assert len(in_flight) == 4
    assert len(late) == 3
    assert starts == [1] * 11
