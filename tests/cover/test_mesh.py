"""Channels between entry VMs: opened again, repeated, and known to be dead."""

import asyncio

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    DropTasks,
)
from camphorlink.internal.shell.connection.mesh import Address, Mesh
from camphorlink.internal.shell.process.logs import PartLog


class Listener:
    def __init__(self, name):
        self.name = name
        self.heard = []
        self.closed = 0
        self.refused = []

    def hear(self, message, channel):
        self.heard.append(message)

    def note_closed(self, channel):
        self.closed += 1

    def note_refused(self, address):
        self.refused.append(address)

    def greeting(self):
        return Beat(self.name, '127.0.0.1', 1, 'z', 0.0, False, {})


def make_mesh(name):
    listener = Listener(name)
    return Mesh(Address('127.0.0.1', 0), listener, PartLog('mesh')), listener


async def until(condition):
    async def poll():
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), 10)


def test_a_channel_greets_and_carries_messages():
    async def scenario():
        one, _ = make_mesh('one')
        two, heard = make_mesh('two')
        async with one, two:
            address = Address('127.0.0.1', two.port)
            one.set_peers({address})
            await until(lambda: heard.heard)
            assert heard.heard[0].member == 'one'
            assert one.send(address, DropTasks('z', 'a'))
            await until(lambda: len(heard.heard) == 2)
            one.set_peers(set())
            await until(lambda: heard.closed)

    asyncio.run(scenario())


def test_a_peer_that_does_not_listen_is_told():
    async def scenario():
        one, listener = make_mesh('one')
        two, _ = make_mesh('two')
        async with two:
            address = Address('127.0.0.1', two.port)
        async with one:
            one.set_peers({address})
            await until(lambda: address in listener.refused)
            assert not one.send(address, DropTasks('z', 'a'))

    asyncio.run(scenario())
