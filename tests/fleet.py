"""Simulates a fleet of memberships on virtual time.

Supports partitions and pauses, and counts the bytes that each VM sends.
"""

import random

from camphorlink.internal.core.connection.peer_messages import Hello
from camphorlink.internal.core.process.members import Member, MemberState
from camphorlink.internal.core.process.membership import Membership
from camphorlink.internal.core.process.peer_table import ListedVm, key_of
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.identifiers import new_home
from camphorlink.internal.shell.connection.peer_codec import encode_message

LIST_PERIOD_S = 2.0
#: TCP and IP headers of a message and its acknowledgement, and the
#: websocket frame.
OVERHEAD_BYTES = 92


class Vm:
    def __init__(self, zone, name, rng, now):
        home = new_home(zone, name, rng)
        self.address = f'{zone}/{name}'
        self.timers = Timers()
        self.membership = Membership(
            Member(home, self.address),
            self.timers,
            rng,
            now,
        )
        self.is_paused = False
        self.inbox = []
        self.connected_addresses = set()
        self.sent_bytes = 0
        self.sent_messages = 0

    @property
    def home(self):
        return self.membership.me.home

    def states(self):
        return {
            member.home: member.state for member in self.membership.view.members
        }

    def state_of(self, other):
        return self.states().get(other.home)


class Fleet:
    def __init__(self, sizes_by_zone, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.vms = {}
        self.listed = {}
        self.cuts = set()
        self._in_flight = []
        for zone, size in sizes_by_zone.items():
            for number in range(size):
                self.start(zone, f'{zone}-entry-{number}')

    def start(self, zone, name, listed=True):
        vm = Vm(zone, name, self.rng, self.now)
        self.vms[vm.address] = vm
        for other in self.vms.values():
            other.connected_addresses.discard(vm.address)
        if listed:
            self.listed[vm.address] = ListedVm(key_of(vm.home), vm.address)
        return vm

    def stop(self, vm):
        del self.vms[vm.address]

    def zone(self, name):
        return [vm for vm in self.vms.values() if vm.home.zone == name]

    def cut(self, one, other):
        """Drops all messages from ``one`` to ``other``."""
        self.cuts.add((one.address, other.address))

    def cut_zone(self, zone):
        for one in self.zone(zone):
            for other in self.vms.values():
                if other.home.zone != zone:
                    self.cut(one, other)
                    self.cut(other, one)

    def run(self, seconds, step_s=0.05):
        end = self.now + seconds
        next_list = self.now
        while self.now < end:
            self.now += step_s
            if self.now >= next_list:
                next_list += LIST_PERIOD_S
                self._publish_list()
            for vm in list(self.vms.values()):
                if not vm.is_paused:
                    self._step_vm(vm)
            self._deliver()

    def pause(self, vm):
        vm.is_paused = True

    def resume(self, vm):
        vm.is_paused = False

    def _publish_list(self):
        for vm in self.vms.values():
            if not vm.is_paused:
                vm.membership.take_list(list(self.listed.values()), self.now)

    def _step_vm(self, vm):
        vm.timers.advance(self.now)
        inbox, vm.inbox = vm.inbox, []
        for home, message in inbox:
            vm.membership.hear(home, message, self.now)
        for effect in vm.membership.take_effects():
            self.send(vm, effect.address, effect.message)

    def send(self, vm, address, message):
        if address not in vm.connected_addresses:
            vm.connected_addresses.add(address)
            hello = Hello(*vm.home, address=vm.address)
            self._send_one(vm, address, hello)
        self._send_one(vm, address, message)

    def _send_one(self, vm, address, message):
        vm.sent_messages += 1
        vm.sent_bytes += len(encode_message(message)) + OVERHEAD_BYTES
        if (vm.address, address) in self.cuts:
            vm.connected_addresses.discard(address)
            return
        self._in_flight.append((address, vm.home, message))

    def _deliver(self):
        for address, home, message in self._in_flight:
            vm = self.vms.get(address)
            if vm is not None:
                vm.inbox.append((home, message))
        self._in_flight.clear()


def all_live(fleet):
    homes = {vm.home for vm in fleet.vms.values()}
    return all(
        {
            home
            for home, state in vm.states().items()
            if state is MemberState.LIVE
        }
        == homes
        for vm in fleet.vms.values()
    )
