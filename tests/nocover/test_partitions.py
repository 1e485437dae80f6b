"""Tests that no task has two runs at once, whatever part of a site is cut off.

All times are virtual; see ``simulated_fleet``.
"""

import asyncio

import pytest

from run_overlaps import check_no_overlaps
from simulated_fleet import run_in_fleet

ZONE_BY_VM = {'z-1': 'z', 'y-1': 'y', 'x-1': 'x'}
LONG_RUN_S = 1.7
#: Time for which the owner of a cell hears a coordinator that doesn't hear it,
#: in seconds: just less than the time after which the coordinator closes their
#: channel.
ONE_WAY_S = 0.85
#: Time from the start of a task to the partition, in seconds.
HEAD_START_S = 0.05
#: Time from the partition in which stops are lost, in seconds: the owner sends
#: four of them.
STOPS_LOST_S = 1.4


def play(scenario, zone_by_vm):
    """Plays a scenario; no task may have had two runs at once."""
    fleet = run_in_fleet(scenario, zone_by_vm)
    check_no_overlaps(fleet)
    return fleet


async def start_in_zone(fleet, zone, coordinator):
    """Starts a long job whose coordinator runs its task in another zone."""
    job = fleet.build_job(LONG_RUN_S, f'rack-{zone}')
    caller = asyncio.create_task(fleet.run_for_caller(job, [coordinator] * 4))
    await fleet.wait_until(lambda: job.job_id in fleet.started_jobs())
    assert fleet.spans[-1].zone == zone
    return caller


def test_a_task_moved_after_a_partition_does_not_run_beside_its_former_run():
    async def scenario(fleet):
        caller = await start_in_zone(fleet, 'z', 'y-1')
        await asyncio.sleep(HEAD_START_S)
        fleet.cut('z-1', 'y-1')
        await asyncio.sleep(ONE_WAY_S)
        fleet.partition(['z-1'])
        await caller

    play(scenario, ZONE_BY_VM)


def test_a_moved_task_does_not_run_beside_a_run_whose_stops_are_lost():
    async def scenario(fleet):
        caller = await start_in_zone(fleet, 'z', 'y-1')
        await asyncio.sleep(HEAD_START_S)
        fleet.partition(['z-1'])
        for backend in fleet.backends_in('z'):
            fleet.set_call_faults('z-1', backend, loses_stops=True)
        await asyncio.sleep(STOPS_LOST_S)
        for backend in fleet.backends_in('z'):
            fleet.set_call_faults('z-1', backend, loses_stops=False)
        await caller

    play(scenario, ZONE_BY_VM)


@pytest.mark.parametrize('phase_ms', range(0, 200, 25))
def test_a_moved_task_does_not_run_beside_its_former_run_in_any_phase(phase_ms):
    async def scenario(fleet):
        await asyncio.sleep(phase_ms / 1000)
        caller = await start_in_zone(fleet, 'z', 'y-1')
        await asyncio.sleep(HEAD_START_S)
        fleet.partition(['z-1'])
        await caller

    play(scenario, ZONE_BY_VM)
