"""A trace that a real daemon records replays to the same outcomes."""

import asyncio

import orjson
from click.testing import CliRunner

from camphorlink.cli.replay import main
from camphorlink.client import Client
from camphorlink.internal.shell.process.daemon import EntryDaemon
from camphorlink.internal.shell.process.settings import EntrySettings, Listen
from camphorlink.standin.local_site import LOOPBACK, LocalSite, SiteShape

READY_POLL_S = 0.02
READY_POLLS = 500
JOB = {
    'service': 'caster',
    'team': 'surveyors',
    'deadline_ms': 5000,
    'tasks': [
        {'id': f't{number}', 'payload': {'work_ms': 5, 'n': number}}
        for number in range(8)
    ],
}


async def record(path):
    async with LocalSite(SiteShape(zones=('larissa',))) as site:
        settings = EntrySettings(
            zone='larissa',
            vm='traced',
            callers=Listen(LOOPBACK, 0),
            operators=Listen(LOOPBACK, 0),
            peers=Listen(LOOPBACK, 0),
            log_service=site.log_url,
            notice_s=0,
            trace_file=str(path),
        )
        async with EntryDaemon(settings) as daemon:
            for _poll in range(READY_POLLS):
                if daemon.host.core.version:
                    break
                await asyncio.sleep(READY_POLL_S)
            await submit(f'http://{LOOPBACK}:{daemon.callers_port}')


async def submit(url):
    async with Client([url]) as client:
        await asyncio.gather(*(client.submit(JOB) for _ in range(5)))


def test_a_recorded_trace_replays_to_the_same_outcomes(tmp_path):
    path = tmp_path / 'recorded.jsonl'
    asyncio.run(record(path))
    replayed = CliRunner().invoke(main, [str(path)])
    assert replayed.exit_code == 0, replayed.output
    outcomes = [
        outcome
        for line in path.read_bytes().splitlines()[1:]
        for outcome in orjson.loads(line)['outcomes']
    ]
    answers = [
        recorded
        for recorded in outcomes
        if recorded.get('outcome') == 'complete'
    ]
    assert len(answers) == 5
    assert len([recorded for recorded in outcomes if 'start' in recorded]) == 40
