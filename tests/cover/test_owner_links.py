"""Tests that a VM keeps channels to owners only, whatever their number."""

import asyncio

from camphorlink.internal.core.process.cell_ownership import ListedMember
from camphorlink.internal.shell.connection.mesh import Address
from camphorlink.internal.shell.process import owner_links
from camphorlink.internal.shell.process.member_directory import DirectoryEntry


def entries(*members):
    return {
        member: DirectoryEntry(ListedMember(member, 'z'), address_of(member))
        for member in members
    }


def address_of(member):
    return Address(member, 1)


def test_channels_lead_to_owners_that_are_listed():
    linked = []
    links = owner_links.OwnerLinks(linked.append)
    links.update_entries(entries('a', 'b', 'c'))
    links.link({'a', 'not-listed'})
    assert linked[-1] == {address_of('a')}
    links.update_entries(entries('b', 'c'))
    assert linked[-1] == set()


def test_the_channel_to_a_former_owner_stays_open_for_a_while(monkeypatch):
    monkeypatch.setattr(owner_links, 'FORMER_OWNER_LINK_S', 0.05)

    async def scenario():
        linked = []
        links = owner_links.OwnerLinks(linked.append)
        links.update_entries(entries('a', 'b'))
        links.link({'a'})
        links.link({'b'})
        assert linked[-1] == {address_of('a'), address_of('b')}
        await asyncio.sleep(0.1)
        assert linked[-1] == {address_of('b')}

    asyncio.run(scenario())
