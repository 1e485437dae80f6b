"""Tests that stored jobs whose tasks fail are run again, whatever the owner saw.

The record of a failed run may be stored when its owner is lost, while the back end
still lists the end to the next owner.
"""

from random import Random

import pytest

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.job_records import (
    JobAccepted,
    RunsCompleted,
)
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

JOB = 'a' * 16
MAX_ATTEMPTS = 3

#: Time that the store takes for an append, in seconds: longer than the period in
#: which a cell looks for tasks to start.
APPEND_S = 0.03
STEP_S = 0.005


class LateStoreRig(CellRig):
    """A rig whose store takes its time for the ends of runs.

    Attributes:
        stored: Number of records of ends that were stored.
    """

    def __init__(self, backends):
        self._late_records = []
        self.stored = 0
        super().__init__(backends)

    def store(self, record):
        if isinstance(record, RunsCompleted):
            self._late_records.append((self.now + APPEND_S, record))
        else:
            super().store(record)

    def run_for(self, duration_s):
        end_s = self.now + duration_s
        while self.now < end_s:
            super().run_for(STEP_S)
            self.store_late_records()

    def store_late_records(self):
        while self._late_records and self._late_records[0][0] <= self.now:
            _, record = self._late_records.pop(0)
            self.stored += 1
            super().store(record)


class OwnerLostError(Exception):
    """The owner is lost as the record of a failed run is stored."""


def make_site(count=2):
    backends = [SimulatedBackend(listed(f'i-{n}')) for n in range(count)]
    rig = LateStoreRig(backends)
    rig.run_for(0.1)
    return rig, backends


def lose_owner_at_next_record(rig, timeout_s=5):
    """Loses the owner when the end of a run is stored, before it goes on."""
    stored = rig.stored
    execute_effects = rig.execute_effects

    def fail_once_stored():
        if rig.stored > stored:
            raise OwnerLostError
        execute_effects()

    rig.execute_effects = fail_once_stored
    is_lost = False
    try:
        rig.run_for(timeout_s)
    except OwnerLostError:
        is_lost = True
    rig.execute_effects = execute_effects
    if is_lost:
        rig.take_over(f'm#{rig.table.last_term + 1}')


def test_failed_run_that_is_stored_and_not_acknowledged_stops_its_job():
    rig, backends = make_site()
    for backend in backends:
        backend.fails = True
    rig.store(JobAccepted(make_job(JOB), (('z',),)))
    lose_owner_at_next_record(rig)
    assert any(backend.finished for backend in backends)
    for backend in backends:
        backend.fails = False
    rig.run_for(5)
    assert rig.table.ended_by_id[JOB].state is JobState.COMPLETED


def test_repeated_record_of_a_failed_run_counts_as_another_attempt():
    rig, backends = make_site()
    for backend in backends:
        backend.fails = True
    rig.store(JobAccepted(make_job(JOB), (('z',),)))
    lose_owner_at_next_record(rig)
    assert any(backend.finished for backend in backends)
    rig.run_for(5)
    assert rig.table.ended_by_id[JOB].state is JobState.FAILED
    assert sum(len(backend.starts) for backend in backends) == MAX_ATTEMPTS


def play_random_losses(seed, loses_owners=True):
    """Plays failing tasks beside losses of owners a few ms after an end."""
    random = Random(seed)
    rig, backends = make_site(count=4)
    job_ids = [f'{number:016x}' for number in range(1, 31)]
    for job_id in job_ids:
        rig.store(JobAccepted(make_job(job_id, count=2), (('z',),)))
        for backend in backends:
            backend.fails = random.random() < 1 / 2
        rig.run_for(random.uniform(0, 0.3))
        if loses_owners and random.random() < 1 / 3:
            lose_owner_at_next_record(rig, 0.2)
        backend = random.choice(backends)
        backend.loses_answers = random.random() < 1 / 4
        if random.random() < 1 / 4:
            rig.lose_pending_answers()
        if random.random() < 1 / 8:
            rig.list_backends()
    for backend in backends:
        backend.fails = backend.loses_answers = False
    rig.list_backends()
    rig.run_for(30)
    return rig.table


@pytest.mark.parametrize('loses_owners', [True, False])
@pytest.mark.parametrize('seed', range(10))
def test_stored_job_whose_tasks_fail_stops_for_good(seed, loses_owners):
    table = play_random_losses(seed, loses_owners)
    assert not table.live_by_id
