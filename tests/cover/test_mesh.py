"""Tests of the channels between entry VMs."""

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
        self.messages = []
        self.closed = 0
        self.refused = []

    def handle_message(self, message, channel):
        self.messages.append(message)

    def handle_closed_channel(self, channel):
        self.closed += 1

    def handle_refused_connection(self, address):
        self.refused.append(address)

    def build_greeting(self):
        return Beat(self.name, '127.0.0.1', 1, 'z', 0.0, False, {})


def make_mesh(name):
    listener = Listener(name)
    return Mesh(Address('127.0.0.1', 0), listener, PartLog('mesh')), listener


async def wait_until(condition):
    async def poll():
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), 10)


def test_a_channel_sends_a_greeting_and_messages():
    async def scenario():
        sender, _ = make_mesh('one')
        receiver, listener = make_mesh('two')
        async with sender, receiver:
            address = Address('127.0.0.1', receiver.port)
            sender.set_peers({address})
            await wait_until(lambda: listener.messages)
            assert listener.messages[0].member == 'one'
            assert sender.send(address, DropTasks('z', 'a'))
            await wait_until(lambda: len(listener.messages) == 2)
            sender.set_peers(set())
            await wait_until(lambda: listener.closed)

    asyncio.run(scenario())


def test_a_refused_connection_is_reported():
    async def scenario():
        sender, listener = make_mesh('one')
        receiver, _ = make_mesh('two')
        async with receiver:
            address = Address('127.0.0.1', receiver.port)
        async with sender:
            sender.set_peers({address})
            await wait_until(lambda: address in listener.refused)
            assert not sender.send(address, DropTasks('z', 'a'))

    asyncio.run(scenario())
