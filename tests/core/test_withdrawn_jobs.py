"""Tests that a job whose cancellation precedes its record never runs."""

import cbor2
import pytest

from camphorlink.internal.core.process import job_snapshot
from camphorlink.internal.core.process.job_snapshot import (
    encode_snapshot,
    read_snapshot,
)
from camphorlink.internal.core.process.job_table import (
    JobState,
    JobTable,
    JobWithdrawn,
    TasksDue,
)
from camphorlink.internal.core.process.offset_marks import (
    MARKS_KEPT,
    OffsetMarks,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    JobAccepted,
    JobCancelled,
    SnapshotTaken,
)
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

JOB = 'a' * 16
OTHER = 'b' * 16
AGE_S = 130.0


def accepted(job_id=JOB):
    return JobAccepted(make_job(job_id, accepted_ms=5), (('z',),))


def restore(table):
    chunks = encode_snapshot(table, 1 << 20)
    return read_snapshot([('m', chunk) for chunk in chunks])


@pytest.mark.parametrize('is_restored', [False, True])
def test_job_stored_after_its_cancellation_is_due(is_restored):
    table = JobTable()
    assert table.apply(JobCancelled(JOB)) == [JobWithdrawn(JOB)]
    assert table.apply(JobCancelled(JOB)) == []
    if is_restored:
        table = restore(table)
    assert table.apply(accepted()) == []
    assert table.ended_by_id[JOB].state is JobState.CANCELLED
    assert not table.live_by_id
    assert not table.withdrawn_by_id
    (due,) = table.apply(accepted(OTHER))
    assert isinstance(due, TasksDue)


def test_cancellation_of_an_ended_job_withdraws_it():
    table = JobTable()
    table.apply(accepted())
    table.apply(JobCancelled(JOB))
    assert table.apply(JobCancelled(JOB)) == []
    assert not table.withdrawn_by_id


def test_snapshot_of_an_earlier_version_is_unreadable(monkeypatch):
    rows = job_snapshot._table_to_rows(JobTable())[: job_snapshot.WITHDRAWN_ROW]
    monkeypatch.setattr(job_snapshot, '_table_to_rows', lambda _: rows)
    table = restore(JobTable())
    assert table.withdrawn_by_id == {}
    assert cbor2.loads(cbor2.dumps(rows)) == rows


def test_withdrawn_jobs_are_kept_for_good():
    table = JobTable()
    table.apply(JobCancelled(JOB))
    table.apply(SnapshotTaken(0))
    table.apply(JobCancelled(OTHER))
    table.forget_withdrawn(0)
    assert list(table.withdrawn_by_id) == [JOB, OTHER]
    table.forget_withdrawn(2)
    assert list(table.withdrawn_by_id) == [OTHER]


def test_offset_is_returned_before_its_age():
    marks = OffsetMarks(AGE_S)
    returned = {now: marks.advance(now, now * 10) for now in range(400)}
    assert not any(returned[now] for now in range(int(AGE_S) + 1))
    for now, offset in returned.items():
        assert offset <= max(now - AGE_S, 0) * 10
    newest = max(returned.values())
    assert newest >= (400 - AGE_S - 2 * AGE_S / MARKS_KEPT) * 10


def test_task_of_a_withdrawn_transient_job_runs_on():
    backend = SimulatedBackend(listed('i-0'), run_s=5.0)
    rig = CellRig([backend])
    rig.run_for(0.1)
    rig.submit(make_job(JOB))
    rig.run_for(0.1)
    assert TaskKey(JOB, 0, 0) in backend.active
    rig.store(JobCancelled(JOB))
    rig.run_for(0.1)
    assert not backend.active
    rig.submit(make_job(JOB))
    rig.run_for(0.5)
    assert len(backend.starts) == 1
