"""Tests of the channels between entry VMs."""

import asyncio
import contextlib

import cbor2

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    DropTasks,
)
from camphorlink.internal.shell.connection.mesh import (
    Address,
    Mesh,
    encode_frame,
)
from camphorlink.internal.shell.process.logs import PartLog
from processes import wait_until_async


class Listener:
    def __init__(self, name):
        self.name = name
        self.messages = []
        self.closed = 0
        self.refused = []

    def handle_message(self, message, stamp, channel):
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


@contextlib.asynccontextmanager
async def open_linked_pair():
    """Yields two meshes with their listeners; the first opened a channel."""
    opener, opener_listener = make_mesh('one')
    answerer, listener = make_mesh('two')
    async with opener, answerer:
        opener.set_peers({Address('127.0.0.1', answerer.port)})
        yield opener, opener_listener, answerer, listener


async def wait_until(condition):
    await wait_until_async(condition, 10)


def test_a_channel_sends_a_greeting_and_messages():
    async def scenario():
        sender, _ = make_mesh('one')
        receiver, listener = make_mesh('two')
        async with sender, receiver:
            address = Address('127.0.0.1', receiver.port)
            sender.set_peers({address})
            await wait_until(lambda: listener.messages)
            assert listener.messages[0].member == 'one'
            assert sender.send(address, DropTasks('c#1', 'z', 'a'))
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
            assert not sender.send(address, DropTasks('c#1', 'z', 'a'))

    asyncio.run(scenario())


def test_a_vm_answers_on_the_channel_that_its_peer_opened():
    async def scenario():
        async with open_linked_pair() as pair:
            _, opener_listener, answerer, listener = pair
            await wait_until(lambda: listener.messages)
            frame = encode_frame(DropTasks('c#1', 'z', 'a'))
            assert answerer.send_frame(1, frame)
            await wait_until(lambda: len(opener_listener.messages) == 2)
            greeting, answer = opener_listener.messages
            assert greeting.member == 'two'
            assert answer == DropTasks('c#1', 'z', 'a')

    asyncio.run(scenario())


def test_a_channel_that_is_aborted_opens_again():
    async def scenario():
        async with open_linked_pair() as (opener, _, _, listener):
            await wait_until(lambda: len(listener.messages) == 1)
            opener.abort(1)
            await wait_until(lambda: len(listener.messages) == 2)
            assert listener.closed == 1

    asyncio.run(scenario())


def test_a_frame_that_can_not_be_read_leaves_the_channel_open():
    async def scenario():
        async with open_linked_pair() as (opener, _, answerer, listener):
            address = Address('127.0.0.1', answerer.port)
            await wait_until(lambda: listener.messages)
            for frame in (
                b'',
                b'\xff\xff',
                b'\x81\x63abc',
                b'\x82\x64beat\x01',
                cbor2.dumps([10**400, None, 'drop', 'c#1', 'z', 'a']),
                cbor2.dumps([float('nan'), None, 'drop', 'c#1', 'z', 'a']),
                cbor2.dumps([1.0, 'soon', 'drop', 'c#1', 'z', 'a']),
            ):
                assert opener.send_frame(1, frame)
            assert opener.send(address, DropTasks('c#1', 'z', 'a'))
            await wait_until(lambda: len(listener.messages) == 2)
            assert not listener.closed

    asyncio.run(scenario())


def test_a_message_that_can_not_be_handled_leaves_the_channel_open():
    async def scenario():
        handled = []

        def fail_once(message, stamp, channel):
            handled.append(message)
            if len(handled) == 1:
                raise TypeError('a field has a wrong type')

        async with open_linked_pair() as pair:
            _, opener_listener, answerer, listener = pair
            opener_listener.handle_message = fail_once
            await wait_until(lambda: handled)
            assert answerer.send_frame(
                1, encode_frame(DropTasks('c#1', 'z', 'a'))
            )
            await wait_until(lambda: len(handled) == 2)
            assert not listener.closed

    asyncio.run(scenario())


ODD_FRAMES = (
    b'\x81' * 390 + b'\x00',
    b'\xff',
    cbor2.dumps([10**400, None, 'beat']),
    cbor2.dumps([1.0, 10**400, 'beat']),
    cbor2.dumps([1.0, None, ['beat']]),
    cbor2.dumps([1.0, None, 'run', 'c', 'z', 5, []]),
    cbor2.dumps([1.0, None, 'run', 'c', 'z', [['a'], {}], [[0, 0]]]),
    cbor2.dumps([1.0, None, 'load', *[[]] * 20]),
)


def test_odd_frame_closes_the_channel():
    async def scenario():
        async with open_linked_pair() as (opener, _, answerer, listener):
            await wait_until(lambda: listener.messages)
            for frame in ODD_FRAMES:
                assert opener.send_frame(1, frame)
            address = Address('127.0.0.1', answerer.port)
            assert opener.send(address, DropTasks('c#1', 'z', 'a'))
            await wait_until(lambda: len(listener.messages) == 2)
            assert not listener.closed

    asyncio.run(scenario())


def test_peer_at_an_odd_address_hides_the_others():
    async def scenario():
        sender, _ = make_mesh('one')
        receiver, listener = make_mesh('two')
        async with sender, receiver:
            odd = [Address('[', 80), Address('127.0.0.1', 99999)]
            sender.set_peers({*odd, Address('127.0.0.1', receiver.port)})
            await wait_until(lambda: listener.messages)
            openers = sender._opener_by_address.values()
            await asyncio.sleep(0.1)
            assert not any(opener._task.done() for opener in openers)

    asyncio.run(scenario())
