"""Discovery of entry VMs through the platform's list of VMs."""

import asyncio

from camphorlink.internal.core.connection.peer_messages import Heartbeat
from camphorlink.internal.core.process.members import MemberState
from camphorlink.standin.local_site import LocalSite, SiteShape


async def await_that(condition, limit_s=15.0):
    async def poll():
        while not condition():
            await asyncio.sleep(0.05)

    await asyncio.wait_for(poll(), limit_s)


def test_entry_vms_see_each_other_as_live_and_draining_ones_as_leaving():
    async def scenario():
        async with LocalSite(SiteShape(entries_per_zone=2)) as site:
            homes = {entry.host.core.home for entry in site.daemons}

            def all_live():
                return all(
                    {
                        member.home
                        for member in entry.host.core.view.members
                        if member.state is MemberState.LIVE
                    }
                    == homes
                    for entry in site.daemons
                )

            await await_that(all_live)
            leaving_vm, *others = site.daemons
            await leaving_vm.drain()
            home = leaving_vm.host.core.home
            await await_that(
                lambda: all(
                    entry.host.core.view.find(home).state is MemberState.LEAVING
                    for entry in others
                ),
            )

    asyncio.run(scenario())


def test_links_to_removed_vms_are_closed():
    async def scenario():
        async with LocalSite(SiteShape(entries_per_zone=2)) as site:
            leaving_vm, *others = site.daemons
            address = leaving_vm.host.links.address

            def has_links():
                return [
                    address in entry.host.links._sender_by_address
                    for entry in others
                ]

            await await_that(lambda: all(has_links()))
            site.log_service.vms.put(
                {
                    'zone': leaving_vm.settings.zone,
                    'vm': leaving_vm.settings.vm,
                    'state': 'gone',
                },
                0,
            )
            await leaving_vm.__aexit__(None, None, None)
            await await_that(lambda: not any(has_links()))
            # A late answer of the core may reopen the link; it is closed again.
            for entry in others:
                entry.host.links.send(address, Heartbeat(0, 0, 'live'))
            assert all(has_links())
            await await_that(lambda: not any(has_links()))

    asyncio.run(scenario())
