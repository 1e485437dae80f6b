"""Tests of membership on virtual time.

They check the views after pauses, restarts and partitions, and the traffic
of heartbeats and reports.
"""

from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.core.process.peer_table import ListedVm, key_of
from camphorlink.internal.core.process.zone_links import LinkSelector
from fleet import Fleet, all_live

ZONES = {'larissa': 3, 'trikala': 2, 'volos': 3}
LARGE = {f'zone-{number:02d}': 8 for number in range(18)}


def make_small_fleet():
    fleet = Fleet(ZONES)
    fleet.run(5)
    assert all_live(fleet)
    return fleet, list(fleet.vms.values())


def test_a_paused_vm_is_suspected_and_suspects_no_peer_on_resuming():
    fleet, (paused, *others) = make_small_fleet()
    fleet.pause(paused)
    fleet.run(20)
    assert {vm.state_of(paused) for vm in others} == {MemberState.SUSPECT}
    paused.inbox.clear()
    fleet.resume(paused)
    for _step in range(60):
        fleet.run(0.05)
        assert {paused.state_of(vm) for vm in others} == {MemberState.LIVE}
    assert all_live(fleet)


def test_a_short_pause_is_tolerated():
    fleet, (paused, *others) = make_small_fleet()
    fleet.pause(paused)
    for _step in range(40):
        fleet.run(0.05)
        assert {vm.state_of(paused) for vm in others} == {MemberState.LIVE}


def test_a_new_incarnation_retires_the_old_one():
    fleet, (old, *others) = make_small_fleet()
    fleet.stop(old)
    new = fleet.start(old.home.zone, old.home.vm)
    fleet.run(2)
    assert {vm.state_of(old) for vm in others} == {MemberState.GONE}
    assert {vm.state_of(new) for vm in others} == {MemberState.LIVE}
    for vm in others:
        vm.membership.hear(old.home, _take_beat(old), fleet.now)
        assert vm.state_of(old) is MemberState.GONE
        assert vm.state_of(new) is MemberState.LIVE


def _take_beat(vm):
    vm.membership.set_state(MemberState.LIVE, 0)
    return vm.membership.take_effects()[0].message


def test_a_leaving_vm_is_gone_once_it_is_silent():
    fleet, (leaver, *others) = make_small_fleet()
    leaver.membership.set_state(MemberState.LEAVING, fleet.now)
    fleet.run(0.2)
    assert {vm.state_of(leaver) for vm in others} == {MemberState.LEAVING}
    leaver.membership.set_state(MemberState.SEALED, fleet.now)
    fleet.run(0.2)
    assert {vm.state_of(leaver) for vm in others} == {MemberState.SEALED}
    fleet.stop(leaver)
    fleet.run(5)
    assert {vm.state_of(leaver) for vm in others} == {MemberState.GONE}


def test_a_silent_vm_is_gone_only_when_unlisted():
    fleet, (dead, *others) = make_small_fleet()
    fleet.stop(dead)
    fleet.run(90)
    assert {vm.state_of(dead) for vm in others} == {MemberState.SUSPECT}
    del fleet.listed[dead.address]
    fleet.run(3)
    assert {vm.state_of(dead) for vm in others} == {MemberState.GONE}


def test_an_unlisted_vm_is_live_while_it_sends_heartbeats():
    fleet, (unlisted, *others) = make_small_fleet()
    del fleet.listed[unlisted.address]
    fleet.run(60)
    assert {vm.state_of(unlisted) for vm in others} == {MemberState.LIVE}


def test_a_vm_listed_as_leaving_is_leaving():
    fleet, (leaver, *others) = make_small_fleet()
    fleet.listed[leaver.address] = ListedVm(
        key_of(leaver.home),
        leaver.address,
        is_leaving=True,
    )
    fleet.run(3)
    assert {vm.state_of(leaver) for vm in others} == {MemberState.LEAVING}


def test_a_one_way_cut_affects_one_direction_only():
    fleet, (sender, receiver, *others) = make_small_fleet()
    fleet.cut(sender, receiver)
    fleet.run(10)
    assert receiver.state_of(sender) is MemberState.SUSPECT
    assert sender.state_of(receiver) is MemberState.LIVE
    assert {vm.state_of(sender) for vm in others} == {MemberState.LIVE}
    fleet.cuts.clear()
    fleet.run(3)
    assert all_live(fleet)


def test_a_large_fleet_converges_within_the_control_traffic_limit():
    fleet = Fleet(LARGE)
    fleet.run(12, step_s=0.25)
    assert all_live(fleet)
    for vm in fleet.vms.values():
        vm.sent_bytes = 0
    fleet.run(30, step_s=0.25)
    assert all_live(fleet)
    assert max(vm.sent_bytes for vm in fleet.vms.values()) / 30 < 4096


def test_an_isolated_zone_rejoins_without_excess_traffic():
    fleet = Fleet({f'zone-{number}': 4 for number in range(5)})
    fleet.run(10)
    assert all_live(fleet)
    fleet.cut_zone('zone-1')
    fleet.run(10)
    inside, outside = fleet.zone('zone-1'), fleet.zone('zone-2')
    assert {vm.state_of(inside[0]) for vm in outside} == {MemberState.SUSPECT}
    assert {vm.state_of(outside[0]) for vm in inside} == {MemberState.SUSPECT}
    assert {vm.state_of(inside[0]) for vm in inside} == {MemberState.LIVE}
    fleet.cuts.clear()
    for vm in fleet.vms.values():
        vm.sent_bytes = 0
    fleet.run(10)
    assert all_live(fleet)
    assert max(vm.sent_bytes for vm in fleet.vms.values()) / 10 < 4096


def test_silent_link_ends_between_zones_are_replaced():
    fleet = Fleet({f'zone-{number}': 4 for number in range(5)})
    fleet.run(5)
    keys = [key_of(vm.home) for vm in fleet.vms.values()]
    for vm in fleet.zone('zone-1'):
        chosen = LinkSelector(key_of(vm.home)).choose(keys)
        if any(key.zone == 'zone-2' for key in chosen):
            fleet.stop(vm)
    survivors = fleet.zone('zone-1')
    assert 0 < len(survivors) < 4
    fleet.run(8)
    survivors[0].membership.set_state(MemberState.LEAVING, fleet.now)
    fleet.run(4)
    assert {vm.state_of(survivors[0]) for vm in fleet.zone('zone-2')} == {
        MemberState.LEAVING,
    }
