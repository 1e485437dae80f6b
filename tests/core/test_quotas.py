"""Tests that quotas hold across entry VMs and that unused shares move."""

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorlink.bench.experiment import Fleet
from camphorlink.bench.experiment_cases import (
    CASES,
    ZONES,
    JobPlan,
    TaskPlan,
)
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.quotas import distribute_units


@settings(deadline=None, derandomize=True, max_examples=100)
@given(
    st.integers(0, 500),
    st.dictionaries(st.integers(0, 20), st.integers(0, 200), min_size=1),
)
def test_distributed_units_add_up_to_the_total(total, demands):
    shares = distribute_units(total, demands)
    assert sum(shares.values()) == total
    assert all(share >= 0 for share in shares.values())
    met = sum(min(shares[vm], demands[vm]) for vm in demands)
    assert met == min(total, sum(demands.values()))


def fleet_with(team):
    fleet = Fleet(CASES['steady-50'], 'camphorlink', 1)
    fleet.add_vms()
    manifest = fleet.vms()[0].core.manifest
    north = manifest.teams_by_name['north']
    teams = {**manifest.teams_by_name, 'north': north._replace(**team)}
    fleet.broadcast(
        messages.VersionInForce(
            9,
            manifest._replace(teams_by_name=teams),
        )
    )
    return fleet


def flood(fleet, zones, from_s, until_s, every_s=0.05):
    tasks = (TaskPlan(0.4, 0.4, 'fix'),) * 10
    arrival_s = from_s
    while arrival_s < until_s:
        for zone in zones:
            plan = JobPlan(arrival_s, zone, 'north', tasks, 'short')
            fleet.clock.call_at(arrival_s, fleet.submit, plan)
        arrival_s += every_s


def running(fleet):
    return sum(backend.running for backend in fleet.backends())


def test_max_running_holds_while_demand_moves_between_zones():
    fleet = fleet_with({'max_running': 48})
    flood(fleet, ZONES[:1], 1, 10)
    flood(fleet, ZONES[1:], 10, 20)
    peaks = []
    for step in range(400):
        fleet.clock.run(1 + step / 20)
        peaks.append(running(fleet))
    assert max(peaks) <= 48
    # The loaded zone uses the shares of the idle zones, except the part that is
    # split evenly.
    assert peaks[160] >= 48 * 0.7
    assert peaks[360] >= 48 * 0.7


def test_max_running_holds_while_a_zone_is_cut_off():
    fleet = fleet_with({'max_running': 48})
    flood(fleet, ZONES, 1, 12)
    fleet.clock.run(6)
    fleet.network.cut_zones.add(ZONES[0])
    peaks = []
    for step in range(120):
        fleet.clock.run(6 + step / 20)
        peaks.append(running(fleet))
    assert max(peaks) <= 48
    assert min(peaks[-20:]) >= 40


def test_the_start_rate_stays_within_its_limit():
    fleet = fleet_with({'max_starts_per_s': 40})
    flood(fleet, ZONES, 1, 12)
    fleet.clock.run(12)
    starts = [
        start_s
        for backend in fleet.backends()
        for start_s in backend.start_times
        if 4 <= start_s < 12
    ]
    assert 40 * 8 * 0.7 <= len(starts) <= 40 * 8 * 1.05


def test_other_teams_do_not_wait_behind_a_team_without_quota_left():
    fleet = fleet_with({'max_running': 8})
    flood(fleet, ZONES, 1, 6)
    task = TaskPlan(0.1, 0.1, 'fix')
    for number in range(20):
        arrival_s = 3 + number / 10
        plan = JobPlan(arrival_s, 'larissa', 'south', (task,), 'short')
        fleet.clock.call_at(arrival_s, fleet.submit, plan)
    fleet.clock.run(8)
    south = [r for r in fleet.records if r.plan.team == 'south']
    assert len(south) == 20
    assert max(record.response_s for record in south) < 0.5
