"""Tests that crashes under a task are known after its owner or caller changed.

All times are virtual; see ``simulated_fleet``.
"""

import asyncio
from random import Random

import pytest

from camphorlink.internal.core.process.job_table import JobState
from random_faults import RandomFaults, SteadyLoad
from run_overlaps import check_no_overlaps
from simulated_backends import RESTART_S
from simulated_fleet import run_in_fleet

VMS = {'z-1': 'z', 'z-2': 'z', 'y-1': 'y', 'x-1': 'x'}
#: Starts of a task after three back ends have crashed under it that the platform
#: counts as a fault.
FORBIDDEN_STARTS = 3
CRASHES_COUNTED = 3
FIRST_CRASH_KNOWN_S = 2.0
PLAY_S = 30.0
#: Time in seconds from the moment that decides to the answer: less than a lease.
ANSWERED_S = 0.5


def check_starts(fleet, job_id):
    """Checks the number of starts after the third crash under a job."""
    crash_times = fleet.crash_times(job_id)
    if len(crash_times) >= CRASHES_COUNTED:
        third_s = crash_times[CRASHES_COUNTED - 1]
        later = [
            span.start_s
            for span in fleet.spans
            if span.task.job_id == job_id and span.start_s > third_s
        ]
        assert len(later) < FORBIDDEN_STARTS, later


async def resubmit(fleet, job, vm_names):
    """Submits a job to one VM after the other until it has an outcome."""
    for vm_name in vm_names:
        answer = await fleet.submit(job, vm_name)
        if answer is not None and answer.state is not None:
            return answer
        await asyncio.sleep(1.3)
    return None


def play(disturb, vm_names):
    """Plays a crashing job beside a disturbance; it must be answered failed."""

    async def scenario(fleet):
        job = fleet.build_crashing_job('rack-z')
        caller = asyncio.create_task(resubmit(fleet, job, vm_names))
        await fleet.wait_until(lambda: fleet.crash_times(job.job_id))
        disturbance = asyncio.create_task(disturb(fleet))
        await asyncio.wait({caller}, timeout=PLAY_S)
        assert caller.done()
        check_starts(fleet, job.job_id)
        assert caller.result().state is JobState.FAILED
        await disturbance

    fleet = run_in_fleet(scenario, VMS, backends_per_zone=3)
    check_no_overlaps(fleet)


async def leave_alone(fleet):
    """Does nothing."""


async def kill_owners(fleet):
    """Kills the owner of the task's cell again and again."""
    for _ in range(4):
        await asyncio.sleep(FIRST_CRASH_KNOWN_S)
        owner = fleet.owner_of('z')
        fleet.kill(owner)
        await asyncio.sleep(1)
        await fleet.start_vm(owner)


async def break_connections(fleet):
    """Breaks the connections of the callers again and again."""
    for _ in range(4):
        await asyncio.sleep(FIRST_CRASH_KNOWN_S)
        for vm in fleet.live_vms():
            fleet.break_connections(vm.name)


def test_task_that_crashes_back_ends_is_restarted_until_its_caller_leaves():
    play(leave_alone, ['y-1'] * 2)


def test_caller_of_a_given_up_task_waits_for_the_lease_of_its_last_run():
    async def scenario(fleet):
        job = fleet.build_crashing_job('rack-z')
        answer = await fleet.submit(job, 'y-1')
        assert answer.state is JobState.FAILED
        *_, crash_s = fleet.crash_times(job.job_id)
        # Until the back end has started again, it may only refuse connections.
        certain_s = crash_s + RESTART_S
        assert 0 <= fleet.now_s - certain_s < ANSWERED_S

    run_in_fleet(scenario, VMS, backends_per_zone=3)


def test_crashes_are_forgotten_when_their_owner_is_lost():
    play(kill_owners, ['y-1'] * 4)


def test_crashes_are_forgotten_when_the_job_is_sent_again():
    play(break_connections, ['y-1', 'x-1', 'y-1', 'x-1', 'y-1'])


SIX_VMS = {f'{zone}-{number}': zone for zone in 'xyz' for number in (1, 2)}
#: Time between two jobs that crash back ends, in seconds.
CRASHING_PERIOD_S = 2.0
#: Added to the seed of the faults for that of the load.
LOAD_SEED = 1_000_000


async def submit_crashing_jobs(fleet, random, until):
    """Submits jobs that crash back ends until a task ends; returns them."""
    jobs = []
    async with asyncio.TaskGroup() as callers:
        while not until.done():
            job = fleet.build_crashing_job(f'rack-{random.choice(fleet.zones)}')
            jobs.append(job)
            vms = random.choices(sorted(fleet.zone_by_vm), k=4)
            callers.create_task(resubmit(fleet, job, vms))
            await asyncio.sleep(CRASHING_PERIOD_S)
    return jobs


async def play_faults(fleet, seed):
    """Plays random faults under good jobs and jobs that crash back ends."""
    faults = asyncio.create_task(RandomFaults(fleet, Random(seed)).run())
    load = SteadyLoad(fleet, Random(seed + LOAD_SEED))
    good = asyncio.create_task(load.run(until=faults))
    jobs = await submit_crashing_jobs(fleet, Random(seed), until=faults)
    await good
    for job in jobs:
        check_starts(fleet, job.job_id)
    assert not [
        record
        for vm in fleet.live_vms()
        for job_id in fleet.started_jobs() - fleet.crashing_jobs
        if (record := vm.node.table.crashes.find_given_up(job_id))
        and not crashed_twice(fleet, record)
    ]


def crashed_twice(fleet, task):
    """Returns whether two back ends crashed under a task."""
    return (
        len(
            [
                span
                for span in fleet.spans
                if span.task == task and span.how == 'crashed'
            ]
        )
        > 1
    )


@pytest.mark.parametrize('seed', range(6))
def test_crashing_tasks_are_restarted_without_end_under_random_faults(seed):
    fleet = run_in_fleet(
        lambda fleet: play_faults(fleet, seed), SIX_VMS, backends_per_zone=4
    )
    check_no_overlaps(fleet, f'seed {seed}')


#: Time from a crash to the next incarnation, in seconds: less than a lease, so
#: that the new incarnation is what proves that the former runs have ended.
QUICK_RESTART_S = 0.15


@pytest.mark.parametrize('keeps_identifier', [False, True])
@pytest.mark.parametrize('seed', range(8))
def test_tasks_run_beside_runs_that_a_new_incarnation_seems_to_end(
    seed, keeps_identifier
):
    async def scenario(fleet):
        for backend in fleet.backend_by_id.values():
            backend.restart_s = QUICK_RESTART_S
            backend.keeps_identifier = keeps_identifier
        await play_faults(fleet, seed)

    fleet = run_in_fleet(scenario, SIX_VMS, backends_per_zone=4)
    assert any(span.how == 'crashed' for span in fleet.spans)
    check_no_overlaps(fleet, f'seed {seed}')
