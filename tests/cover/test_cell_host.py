"""Tests that a process sends no command that it decided before a suspension."""

import asyncio
import types

from camphorlink.internal.core.connection.backend_commands import (
    RenewalAnswer,
    RenewalVerdict,
    StartAnswer,
    StartVerdict,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.coordinator_leases import (
    CoordinatorLeases,
)
from camphorlink.internal.core.process.job_table import JobTable
from camphorlink.internal.core.process.suspension import (
    SUSPENSION_LIMIT_S,
    SuspensionDetector,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_record_codec import (
    decode_record,
    encode_record,
)
from camphorlink.internal.core.request.job_records import CellClaimed
from camphorlink.internal.core.request.transient_jobs import AssignTasks
from camphorlink.internal.core.version.zone_drains import ZoneDrains
from camphorlink.internal.shell.process import cell_host
from simulated_backends import listed, make_job


class Backends:
    """Back ends that list no runs and confirm each start."""

    def __init__(self):
        self.started = []

    async def start(self, command):
        self.started.append(command.task)
        return StartAnswer(StartVerdict.STARTED, 1)

    async def stop(self, command):
        return True

    async def renew_leases(self, command):
        await asyncio.sleep(0)
        await asyncio.sleep(command.wait_ms / 1000)
        return RenewalAnswer(RenewalVerdict.LISTED, 1, 1, (), ())


class Log:
    """Job log that confirms the owner continuously."""

    def __init__(self, clock):
        self._clock = clock
        self.table = JobTable()
        self.table.apply(CellClaimed('z', 0, 'm#1'))

    @property
    def confirmed_s(self):
        return self._clock.now_s

    def append(self, record):
        self.table.apply(decode_record(encode_record(record)))

    async def catch_up(self):
        return True


def test_a_gap_between_activities_counts_from_the_limit_on():
    detector = SuspensionDetector(10.0)
    assert not detector.has_been_suspended(10.5)
    assert not detector.has_been_suspended(10.5 + SUSPENSION_LIMIT_S - 0.01)
    assert detector.has_been_suspended(10.5 + 2 * SUSPENSION_LIMIT_S)
    assert not detector.has_been_suspended(10.6 + 2 * SUSPENSION_LIMIT_S)


def start_after(suspended_s, monkeypatch, drained_zones=()):
    """Suspends an owner, then lets a coordinator's assignment reach it.

    Drains of zones are read just before the assignment.

    Returns:
        The started tasks, and the cells that were given up.
    """
    clock = types.SimpleNamespace(now_s=100.0)
    monkeypatch.setattr(cell_host, 'now_s', lambda: clock.now_s)
    backends = Backends()
    given_up = []
    published = types.SimpleNamespace(drains=ZoneDrains({}, clock.now_s))

    async def scenario():
        log = Log(clock)
        leases = CoordinatorLeases('c#1')
        cell = Cell(
            'z',
            1,
            log.table,
            RunSpeeds(),
            leases,
            clock.now_s,
            lambda: published.drains,
        )
        host = cell_host.CellHost(
            cell,
            log,
            backends,
            cell_host.CellCallbacks(
                lambda family, reason: None,
                lambda name, report: None,
                lambda name, returned: None,
                lambda member: None,
                lambda name: (
                    given_up.append(name),
                    host.__exit__(None, None, None),
                ),
                lambda: None,
            ),
        )
        backend = listed('i-1', cpu=32_000)
        with host:
            host.update_backends({'i-1': backend}, {})
            await asyncio.sleep(0.05)
            clock.now_s += suspended_s
            requested_s_by_zone = dict.fromkeys(drained_zones, clock.now_s)
            published.drains = ZoneDrains(requested_s_by_zone, clock.now_s)
            job = make_job()
            tasks = (TaskKey(job.job_id, 0, 0),)
            assignment = AssignTasks('z', job, tasks, 10.0, may_have_run=False)
            host.run_transient(assignment, 'c#1')
            await asyncio.sleep(0.05)

    asyncio.run(scenario())
    return backends.started, given_up


def test_an_owner_that_was_suspended_gives_its_cell_up(monkeypatch):
    started, given_up = start_after(2.3, monkeypatch)
    assert not started
    assert given_up == ['z']


def test_a_short_pause_changes_nothing(monkeypatch):
    started, given_up = start_after(0.3, monkeypatch)
    assert len(started) == 1
    assert not given_up


def test_drains_apply_to_a_placement_before_the_next_periodic_check(
    monkeypatch,
):
    started, _ = start_after(0.3, monkeypatch, drained_zones=['z'])
    assert not started
