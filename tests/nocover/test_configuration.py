"""Configuration and audit with real daemons on the loopback interface."""

import asyncio

import pytest
from aiohttp import web
from test_member_view import await_that
from test_whole_path import build_job, list_urls

from camphorlink import NotRunError
from camphorlink.client import Client
from camphorlink.internal.core.version.acceptance import (
    approval_record,
    patch_record,
)
from camphorlink.internal.core.version.config_fold import Health
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.daemon import EntryDaemon
from camphorlink.internal.shell.process.settings import EntrySettings, Listen
from camphorlink.internal.shell.version.config_manager import Retention
from camphorlink.standin.local_site import LocalSite, SiteShape
from camphorlink.standin.log_service import Faults, LogService
from camphorlink.standin.servers import LocalServer

FREE = Listen('127.0.0.1', 0)


class ListOnlyLogService(LogService):
    """Platform that lists VMs while its streams are unavailable."""

    async def read(self, request):
        raise web.HTTPServiceUnavailable


def build_settings(log_url, vm='late', **changes):
    return EntrySettings(
        zone='larissa',
        vm=vm,
        callers=FREE,
        operators=FREE,
        peers=FREE,
        log_service=log_url,
        **changes,
    )


async def publish(site, **sections):
    state = site.daemons[0].control.tail.state
    document = {**site.manifest_document(), **sections}
    record = patch_record(state, document)
    async with LogClient(site.log_url) as log_client:
        await log_client.append(
            'config',
            [record, approval_record(state.version, record['digest'])],
        )
    return state.version + 1


def collect_versions(daemons):
    return {entry.host.core.version for entry in daemons}


async def await_version(site, version):
    await await_that(lambda: collect_versions(site.daemons) == {version})


def test_a_new_vm_gets_the_state_from_peers_during_a_log_outage():
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            platform = ListOnlyLogService(10)
            platform.vms = site.log_service.vms
            async with LocalServer(
                platform.build_app(), '127.0.0.1', 0
            ) as server:
                daemon = EntryDaemon(build_settings(f'http://{server.address}'))
                async with daemon:
                    site._register_vm(daemon)
                    await await_that(lambda: daemon.host.core.version == 1)
                    version = await publish(
                        site, teams={'surveyors': {}, 'x': {}}
                    )
                    await await_that(
                        lambda: (
                            collect_versions([daemon, *site.daemons])
                            == {version}
                        ),
                    )
                    state = daemon.control.tail.state
                    assert state == site.daemons[0].control.tail.state
                    assert daemon.control.tail.is_log_unavailable

    asyncio.run(scenario())


def test_a_daemon_started_during_a_log_outage_recovers():
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            site.log_service.faults = Faults(down=True)
            async with EntryDaemon(build_settings(site.log_url)) as daemon:
                await await_that(lambda: daemon.control.tail.is_log_unavailable)
                assert daemon.host.core.version == 0
                site.log_service.faults = Faults()
                await await_that(lambda: daemon.host.core.version == 1)
                await await_that(
                    lambda: not daemon.control.tail.is_log_unavailable
                )

    asyncio.run(scenario())


def test_a_snapshot_bridges_expired_records():
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            for number in range(6):
                await publish(site, teams={f'team-{number}': {}})
                await await_version(site, number + 2)
            stored_records = site.log_service._records_by_stream['config']
            for entry in site.daemons:
                entry.control.config_manager.retention = Retention(3600, 10)
                # All daemons write at once: several snapshots must be harmless.
                await entry.control.config_manager.write_snapshot()
            await await_that(
                lambda: any(
                    entry.record['kind'] == 'snapshot'
                    for entry in stored_records
                ),
            )
            while stored_records[0].record['kind'] != 'snapshot':
                stored_records.popleft()
            async with EntryDaemon(build_settings(site.log_url)) as daemon:
                await await_that(lambda: daemon.host.core.version == 7)
                assert daemon.control.tail.fold.health is Health.CURRENT

    asyncio.run(scenario())


def test_refusals_are_written_to_the_audit_stream():
    async def scenario():
        async with (
            LocalSite(SiteShape()) as site,
            Client(list_urls(site)) as cli,
        ):
            site.log_service.faults = Faults(down=True)
            await cli.submit(build_job(3))
            with pytest.raises(NotRunError):
                await cli.submit(build_job(1, service='nobody'))
            site.log_service.faults = Faults()
            stored_records = site.log_service._records_by_stream['audit']

            def outcomes():
                return [
                    entry.record['reason']
                    for entry in stored_records
                    if entry.record['kind'] == 'outcome'
                ]

            await await_that(outcomes)
            return outcomes()

    assert asyncio.run(scenario()) == ['unknown-service']


def test_a_removed_service_refuses_jobs_but_completes_running_ones():
    async def scenario():
        async with (
            LocalSite(SiteShape()) as site,
            Client(list_urls(site)) as cli,
        ):
            tasks = [
                {'id': f't{number}', 'payload': {'work_ms': 600}}
                for number in range(60)
            ]
            running = asyncio.create_task(
                cli.submit(build_job(1, tasks=tasks, deadline_ms=9000)),
            )
            table = site.daemons[0].host.core.table
            await await_that(table.open_runs)
            version = await publish(
                site,
                services={'other': {}},
                backends={
                    name: {**entry, 'services': ['other']}
                    for name, entry in site.manifest_document()[
                        'backends'
                    ].items()
                },
            )
            await await_version(site, version)
            assert not running.done()
            with pytest.raises(NotRunError) as caught:
                await cli.submit(build_job(1))
            assert caught.value.reason == 'unknown-service'
            return await running

    assert len(asyncio.run(scenario())) == 60
