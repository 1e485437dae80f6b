"""Restarts, pauses and outages with eight entry VM processes in three zones."""

import asyncio
import contextlib
import signal

from camphorlink import CamphorlinkError
from camphorlink.client import Client
from processes import ProcessSite, call, is_ready, wait_until

SIZES = {'larissa': 3, 'volos': 3, 'trikala': 2}
CALLERS = 6


def homes_of(program, state='live'):
    members = call('GET', program.addresses['operators'], '/v1/members').body
    return {
        member['home']
        for member in members['members']
        if member['state'] == state
    }


def config_of(program):
    return call('GET', program.addresses['operators'], '/v1/config').body


def register(site, zone, vm, state='live'):
    program = site.entries[vm]
    entry = {
        'zone': zone,
        'vm': vm,
        'peers': program.addresses['peers'],
        'operators': program.addresses['operators'],
        'state': state,
    }
    assert call('PUT', site.log.address, '/standin/vms', entry).status == 200


def await_all_live(site):
    count = len(site.entries)
    wait_until(
        lambda: all(
            len(homes_of(program)) == count for program in site.entries.values()
        ),
        what='all entry VMs see each other',
    )


@contextlib.contextmanager
def fleet(directory):
    zone_by_vm = {}
    with ProcessSite(
        directory,
        zones=tuple(SIZES),
        entries_per_zone=0,
        entry_changes={'notice_s': 0.5},
    ) as site:
        for zone, size in SIZES.items():
            for number in range(size):
                vm = f'{zone}-entry-{number}'
                site.start_entry(zone, vm)
                register(site, zone, vm)
                zone_by_vm[vm] = zone
        site.await_ready()
        await_all_live(site)
        yield site, zone_by_vm


def restart_vm(site, zone, vm):
    """Drains and stops one VM, then starts it anew at the same address."""
    old = site.entries[vm]
    ip, port = old.addresses['callers'].split(':')
    assert old.stop() == 0, old.log()
    program = site.start_entry(
        zone,
        vm,
        callers={'ip': ip, 'port': int(port)},
    )
    register(site, zone, vm)
    wait_until(lambda: is_ready(program), what=f'{vm} ready')
    await_all_live(site)


def build_job(count):
    return {
        'service': 'caster',
        'team': 'surveyors',
        'deadline_ms': 10_000,
        'tasks': [
            {'id': f't{number}', 'payload': {'work_ms': 20}}
            for number in range(count)
        ],
    }


async def submit_continuously(urls, stop, outcomes):
    async with Client(urls) as client:
        while not stop.is_set():
            try:
                results = await client.submit(build_job(3))
                outcomes.append(len(results))
            except CamphorlinkError as exc:
                outcomes.append(exc)
            await asyncio.sleep(0.02)


async def run_under_load(urls, action):
    stop, outcomes = asyncio.Event(), []
    rotated_urls = [urls[number:] + urls[:number] for number in range(CALLERS)]
    callers = [
        asyncio.create_task(submit_continuously(each, stop, outcomes))
        for each in rotated_urls
    ]
    await asyncio.to_thread(action)
    stop.set()
    await asyncio.gather(*callers)
    return outcomes


def list_urls(site):
    return [
        f'http://{program.addresses["callers"]}'
        for program in site.entries.values()
    ]


def test_a_rolling_restart_fails_no_request(tmp_path):
    with fleet(tmp_path) as (site, zone_by_vm):

        def restart_all():
            for vm, zone in zone_by_vm.items():
                restart_vm(site, zone, vm)

        outcomes = asyncio.run(run_under_load(list_urls(site), restart_all))
        starts = site.starts_by_reference()
    failed = [outcome for outcome in outcomes if outcome != 3]
    assert failed == []
    assert len(outcomes) > len(zone_by_vm)
    assert set(starts.values()) == {1}
    assert len(starts) == 3 * len(outcomes)


def test_a_paused_vm_and_a_log_outage_lose_no_configuration(tmp_path):
    with fleet(tmp_path) as (site, _zone_by_vm):
        paused, *others = site.entries.values()
        home = config_of(paused)['home']
        paused.signal(signal.SIGSTOP)
        wait_until(
            lambda: all(home in homes_of(vm, 'suspect') for vm in others),
            what='the paused VM is suspected',
        )
        site.publish({**site.manifest(), 'services': {}, 'backends': {}}, 1)
        paused.signal(signal.SIGCONT)
        assert homes_of(paused, 'suspect') == set()
        await_all_live(site)
        wait_until(lambda: config_of(paused)['version'] == 2, what='version 2')

        faults = {'down': True}
        call('PUT', site.log.address, '/standin/faults', faults)
        wait_until(
            lambda: all(
                config_of(vm)['log_away'] for vm in site.entries.values()
            ),
            what='all VMs report that the log is unavailable',
        )
        assert all(map(is_ready, site.entries.values()))
        call('PUT', site.log.address, '/standin/faults', {})
        site.publish(base_version=2)
        wait_until(
            lambda: (
                {
                    (config_of(vm)['version'], config_of(vm)['next_offset'])
                    for vm in site.entries.values()
                }
                == {(3, 6)}
            ),
            what='version 3 everywhere',
        )
