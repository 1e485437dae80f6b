"""Shares of back-end slots, and loans of slots between entry VMs."""

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorlink.bench.experiment import Fleet, run_case
from camphorlink.bench.experiment_cases import CASES, plan_jobs
from camphorlink.internal.core.connection.slot_shares import allot_slots
from camphorlink.internal.core.process.members import Member
from camphorlink.internal.core.request.identifiers import Home


@settings(deadline=None, derandomize=True, max_examples=50)
@given(
    st.integers(1, 64),
    st.lists(st.floats(0.1, 10), min_size=1, max_size=8),
)
def test_shares_add_up_and_are_proportional_to_weights(slots, weights):
    members = [
        Member(Home('z', f'vm{n}', '0'), '', weight=weight)
        for n, weight in enumerate(weights)
    ]
    shares = allot_slots('b', slots, members)
    assert sum(shares.values()) == slots
    for member in members:
        exact = slots * member.weight / sum(weights)
        assert int(exact) <= shares[member.home] <= int(exact) + 1


def test_no_back_end_gets_more_than_its_slots_once_views_agree():
    run = run_case('steady-85', 'camphorlink', 15, seed=3)
    assert run.max_over_slots <= 0
    assert run.counts['wasted:backend-busy'] == 0


def test_every_loan_is_returned():
    fleet = Fleet(CASES['steady-85'], 'camphorlink', 4)
    fleet.add_vms()
    for plan in plan_jobs(fleet.case, 10, 4):
        fleet.clock.call_at(plan.arrival_s, fleet.submit, plan)
    fleet.clock.run(60)
    loads = [
        load
        for vm in fleet.vms()
        for load in vm.core._scheduler._pool.load_by_backend.values()
    ]
    assert fleet.counts['peer:SlotLoan'] > 0
    assert all(load.lent == load.borrowed == 0 for load in loads)
    assert all(load.in_flight == 0 for load in loads)
