"""Tests of ``camphorlink-ctl`` against a local site on loopback."""

import asyncio
import json

import pytest
from click.testing import CliRunner
from test_member_view import await_that
from test_whole_path import build_job, list_urls

from camphorlink import NotRunError
from camphorlink.cli.ctl import main
from camphorlink.client import Client
from camphorlink.internal.core.version.config_fold import ConfigFold
from camphorlink.standin.local_site import LocalSite, SiteShape
from camphorlink.standin.log_service import Faults


class Operator:
    """Runs commands in a thread, since each command starts an event loop."""

    def __init__(self, site, author='ana'):
        self._options = [
            *('--log-service', site.log_url),
            *('--author', author),
            '--json',
        ]

    async def run(self, *arguments):
        outcome = await asyncio.to_thread(
            CliRunner().invoke,
            main,
            [*self._options, *map(str, arguments)],
        )
        if outcome.exception and not isinstance(outcome.exception, SystemExit):
            raise outcome.exception
        return outcome.exit_code, json.loads(outcome.output)


def write_json(path, document):
    path.write_text(json.dumps(document))
    return path


def with_team(document, name):
    return {**document, 'teams': {**document['teams'], name: {}}}


def test_an_approved_manifest_file_is_in_force_on_all_vms(tmp_path):
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            ana = Operator(site)
            document = with_team(site.manifest_document(), 'drones')
            path = write_json(tmp_path / 'm.json', document)
            code, proposed = await ana.run('propose', path)
            assert (code, proposed['verdict']) == (0, 'proposed')
            code, accepted = await ana.run('approve', proposed['digest'])
            assert (code, accepted['version']) == (0, 2)
            await await_that(
                lambda: all(vm.host.core.version == 2 for vm in site.daemons),
            )
            code, shown = await ana.run('status')
            assert (code, shown['in_step'], len(shown['vms'])) == (0, True, 2)
            code, again = await ana.run('approve', proposed['digest'])
            assert (code, again['version']) == (0, 2)
            assert (await ana.run('show'))[1] == document

    asyncio.run(scenario())


def test_a_stale_proposal_reports_the_accepted_one_and_is_rebased(tmp_path):
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            ana, bea = Operator(site, 'ana'), Operator(site, 'bea')
            base = site.manifest_document()
            first = write_json(tmp_path / 'a.json', with_team(base, 'drones'))
            second = write_json(tmp_path / 'b.json', with_team(base, 'boats'))
            _code, proposed = await ana.run('propose', first)
            await bea.run('propose', second)
            await ana.run('approve', proposed['digest'])
            code, lost = await bea.run('propose', second, '--base', 1)
            assert (code, lost['verdict']) == (3, 'stale-base')
            assert lost['winner']['version'] == 2
            code, rebased = await bea.run('rebase', second, '--base', 1)
            assert set(rebased['teams']) == {'surveyors', 'drones', 'boats'}
            third = write_json(tmp_path / 'c.json', rebased)
            _code, proposed = await bea.run('propose', third)
            code, accepted = await bea.run('approve', proposed['digest'])
            assert (code, accepted['version']) == (0, 3)
            _code, history = await ana.run('history')
            assert [
                (entry['kind'], entry['verdict'], entry['author'])
                for entry in history['records'][2:]
            ] == [
                ('patched', 'proposed', 'ana'),
                ('patched', 'proposed', 'bea'),
                ('approved', 'accepted', 'ana'),
                ('proposed', 'stale-base', 'bea'),
                ('patched', 'proposed', 'bea'),
                ('approved', 'accepted', 'bea'),
            ]

    asyncio.run(scenario())


def test_lost_append_answers_are_resolved_by_reading(tmp_path):
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            site.log_service.faults = Faults(lose_answers=True)
            ana = Operator(site)
            document = with_team(site.manifest_document(), 'drones')
            path = write_json(tmp_path / 'm.json', document)
            code, proposed = await ana.run('propose', path)
            assert (code, proposed['verdict']) == (0, 'proposed')
            code, accepted = await ana.run('approve', proposed['digest'])
            assert (code, accepted['verdict']) == (0, 'accepted')
            _code, history = await ana.run('history')
            assert len(history['records']) == 4

    asyncio.run(scenario())


def test_restore_refuses_while_a_vm_has_a_state(tmp_path):
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            path = write_json(tmp_path / 'm.json', site.manifest_document())
            site.log_service._records_by_stream['config'].clear()
            restored = await Operator(site).run('restore', path, '--version', 9)
            assert restored[0] == 6

    asyncio.run(scenario())


def test_restore_publishes_a_state_that_stream_and_vms_lost(tmp_path):
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            document = with_team(site.manifest_document(), 'drones')
            path = write_json(tmp_path / 'm.json', document)
            ana = Operator(site)
            for daemon in site.daemons:
                # All VMs were replaced and lost their state.
                daemon.control.tail.fold = ConfigFold()
                daemon.host.core.version = 0
            assert (await ana.run('restore', path, '--version', 9))[0] == 3
            site.log_service._records_by_stream['config'].clear()
            code, restored = await ana.run('restore', path, '--version', 9)
            assert (code, restored['version']) == (0, 9)
            await await_that(
                lambda: {vm.host.core.version for vm in site.daemons} == {9},
            )
            document = write_json(tmp_path / 'n.json', site.manifest_document())
            code, proposed = await ana.run('propose', document)
            code, accepted = await ana.run('approve', proposed['digest'])
            assert (code, accepted['version']) == (0, 10)
            await await_that(
                lambda: {vm.host.core.version for vm in site.daemons} == {10},
            )

    asyncio.run(scenario())


def test_check_reports_the_path_and_value_of_each_fault(tmp_path):
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            document = site.manifest_document()
            name = next(iter(document['backends']))
            document['backends'][name]['slots'] = -4
            document['teams']['x'] = {'priority': 'high'}
            path = write_json(tmp_path / 'm.json', document)
            code, failed = await Operator(site).run('check', path)
            assert code == 2
            assert {
                (fault['path'], fault['found']) for fault in failed['faults']
            } == {
                (f'$.backends.{name}.slots', '-4'),
                ('$.teams.x.priority', "'high'"),
            }

    asyncio.run(scenario())


def test_drain_affects_only_the_named_vm():
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            ana = Operator(site)
            code, drained = await ana.run('drain', 'volos.volos-entry-0')
            assert (code, drained['vm']) == (0, 'volos.volos-entry-0')
            first, second = site.daemons
            await await_that(lambda: second.host.core.is_draining)
            assert not first.host.core.is_draining
            assert (await ana.run('drain', 'volos.nobody'))[0] == 6

    asyncio.run(scenario())


def test_an_unreachable_platform_has_its_own_exit_code(tmp_path):
    async def scenario():
        async with LocalSite(SiteShape()) as site:
            site.log_service.faults = Faults(down=True)
            assert (await Operator(site).run('status'))[0] == 4

    asyncio.run(scenario())


def test_explain_merges_the_audit_stream_with_the_state_of_vms():
    async def scenario():
        async with (
            LocalSite(SiteShape()) as site,
            Client(list_urls(site)) as cli,
        ):
            submission_id = await cli.issue_id()
            with pytest.raises(NotRunError):
                await cli.submit_named(
                    submission_id, build_job(1, service='nobody')
                )
            ana = Operator(site)
            code, explained = await ana.run('explain', submission_id)
            assert code == 0
            reasons = [entry['reason'] for entry in explained['records']]
            assert reasons == ['unknown-service']
            await await_that(
                lambda: site.log_service._records_by_stream['audit'],
            )
            code, explained = await ana.run('explain', submission_id)
            reasons = [entry['reason'] for entry in explained['records']]
            assert reasons == ['unknown-service']

    asyncio.run(scenario())
