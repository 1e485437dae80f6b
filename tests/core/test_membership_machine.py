"""Tests that the views of a fleet converge after random faults end."""

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorlink.internal.core.process.members import MemberState
from fleet import Fleet, all_live

#: More VMs than FULL_MESH_VMS, so that zone reports are exchanged.
ZONES = {'larissa': 4, 'trikala': 3, 'volos': 4}
VM_COUNT = sum(ZONES.values())
SETTLE_S = 12

indexes = st.integers(0, VM_COUNT - 1)
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just('pause'), indexes),
        st.tuples(st.just('resume'), indexes),
        st.tuples(st.just('restart'), indexes),
        st.tuples(st.just('cut'), st.tuples(indexes, indexes)),
        st.tuples(st.just('cut_zone'), st.sampled_from(sorted(ZONES))),
        st.tuples(st.just('heal'), st.none()),
        st.tuples(st.just('run'), st.integers(1, 8)),
    ),
    max_size=12,
)


class FaultyFleet:
    def __init__(self):
        self.fleet = Fleet(ZONES)
        self.fleet.run(5, step_s=0.25)
        self.replaced = []

    def vm(self, index):
        return sorted(self.fleet.vms.values(), key=lambda vm: vm.address)[index]

    def pause(self, index):
        self.fleet.pause(self.vm(index))

    def resume(self, index):
        self.fleet.resume(self.vm(index))

    def restart(self, index):
        old = self.vm(index)
        self.fleet.stop(old)
        self.fleet.start(old.home.zone, old.home.vm)
        self.replaced.append(old.home)

    def cut(self, pair):
        self.fleet.cut(self.vm(pair[0]), self.vm(pair[1]))

    def cut_zone(self, zone):
        self.fleet.cut_zone(zone)

    def heal(self, _nothing):
        self.fleet.cuts.clear()

    def run(self, seconds):
        self.fleet.run(seconds, step_s=0.25)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(events=EVENTS)
def test_views_converge_after_any_faults(events):
    faulty_fleet = FaultyFleet()
    for name, argument in events:
        getattr(faulty_fleet, name)(argument)
    faulty_fleet.heal(None)
    for vm in faulty_fleet.fleet.vms.values():
        faulty_fleet.fleet.resume(vm)
    faulty_fleet.run(SETTLE_S)
    assert all_live(faulty_fleet.fleet)
    for vm in faulty_fleet.fleet.vms.values():
        states = vm.states()
        for home in faulty_fleet.replaced:
            assert states.get(home, MemberState.GONE) is MemberState.GONE
