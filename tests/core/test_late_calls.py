"""Tests that calls to one incarnation of a back end have no effect on the next.

A call without an answer may be executed for some seconds, and names the back end by
the identifier that its next incarnation bears, too.
"""

from random import Random

import pytest

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import JobAccepted
from simulated_backends import (
    LATE_EXECUTION_S,
    CellRig,
    SimulatedBackend,
    listed,
    make_job,
)

JOB = 'a' * 16
LATER_JOB = 'b' * 16
RUN_S = 0.3
DOWN_S = 0.3
CPU = 3000
STEPS = 80
FINISH_S = 40.0


def make_site(count):
    backends = [SimulatedBackend(listed(f'i-{n}'), RUN_S) for n in range(count)]
    for backend in backends:
        backend.restart_s = DOWN_S
        backend.cpu_by_job = {JOB: CPU, LATER_JOB: CPU}
    rig = CellRig(backends)
    rig.run_for(0.1)
    return rig, backends


def accept(rig, job_id, count=1):
    job = make_job(job_id, count=count, cpu=CPU, estimate_ms=300)
    rig.store(JobAccepted(job, (('z',),)))


def restart(rig, backend, *, is_listed):
    backend.crash(rig.now)
    rig.run_for(DOWN_S + 0.2)
    if is_listed:
        rig.list_backends()
        rig.run_for(0.1)


def leave_start_unanswered(rig, backends):
    """The task's first start is executed late, and its run ends elsewhere."""
    for backend in backends:
        backend.executes_late = True
    accept(rig, JOB)
    (commanded,) = rig.cell.registry.backends_by_task[TaskKey(JOB, 0, 0)]
    for backend in backends:
        backend.executes_late = False
    rig.run_for(RUN_S + 0.7)
    assert rig.table.ended_by_id[JOB].state is JobState.COMPLETED
    assert not rig.cell.registry.backends_by_task
    return rig.backend_by_id[commanded]


@pytest.mark.parametrize('is_listed', [False, True])
def test_unanswered_start_runs_in_the_next_incarnation(is_listed):
    rig, backends = make_site(2)
    backend = leave_start_unanswered(rig, backends)
    starts = len(backend.starts)
    restart(rig, backend, is_listed=is_listed)
    rig.run_for(LATE_EXECUTION_S)
    assert len(backend.starts) == starts


def test_unanswered_start_runs_after_its_back_end_left_the_list():
    rig, backends = make_site(2)
    backend = leave_start_unanswered(rig, backends)
    starts = len(backend.starts)
    backend.crash(rig.now)
    rig.run_for(0.1)
    others = {
        other.listed.backend_id: other.listed
        for other in backends
        if other is not backend
    }
    rig.cell.update_backends(others, rig.now)
    rig.execute_effects()
    assert backend.listed.backend_id not in rig.cell.registry.runs_by_backend
    rig.run_for(DOWN_S + 0.1)
    rig.list_backends()
    rig.run_for(LATE_EXECUTION_S)
    assert len(backend.starts) == starts


@pytest.mark.parametrize('is_listed', [False, True])
def test_late_renewal_acknowledges_ends_of_the_next_incarnation(is_listed):
    rig, (backend,) = make_site(1)
    accept(rig, JOB, 8)
    rig.run_for(RUN_S + 0.3)
    assert len(backend.noted) == 8
    backend.executes_late = True
    rig.run_for(0.4)
    backend.executes_late = False
    restart(rig, backend, is_listed=is_listed)
    rig.list_backends()
    rig.run_for(0.1)
    accept(rig, LATER_JOB, 8)
    rig.is_store_down = True
    rig.run_for(LATE_EXECUTION_S)
    assert len(backend.noted) == 8
    assert len(backend.finished) == 8
    rig.end_store_outage()
    rig.run_for(1)
    assert rig.table.ended_by_id[LATER_JOB].state is JobState.COMPLETED
    assert len(backend.starts) == 16


class RestartingBackend(SimulatedBackend):
    """Records what late calls to former incarnations do.

    Only calls that come after the first call that was meant for an incarnation
    are recorded: until then, it can't tell them apart.

    Attributes:
        late_starts: Task and time of each run that such a call started.
        late_notes: Ends that such a call acknowledged.
    """

    def __init__(self, entry, run_s):
        super().__init__(entry, run_s)
        self.late_starts = []
        self.late_notes = []
        self._called_ms = 0

    def execute(self, command, now):
        if command.backend.started_ms == self.listed.started_ms:
            self._called_ms = self.listed.started_ms
        return super().execute(command, now)

    def execute_late(self, command, now):
        started_ms = self.listed.started_ms
        was_called = self._called_ms == started_ms
        starts, noted = len(self.starts), len(self.noted)
        super().execute_late(command, now)
        if was_called and command.backend.started_ms != started_ms:
            self.late_starts += self.starts[starts:]
            self.late_notes += self.noted[noted:]

    def _cpu_of(self, task):
        return CPU


class RandomLateCalls:
    """Plays late calls beside crashes, outages and lost owners.

    Attributes:
        rig: The cell.
        backends: Its back ends.
    """

    def __init__(self, random):
        self._random = random
        self._jobs = 0
        self.backends = [
            RestartingBackend(listed(f'i-{number}'), RUN_S)
            for number in range(4)
        ]
        self.rig = CellRig(self.backends)
        self.rig.run_for(0.1)

    def play(self):
        """Plays all faults, and lets the jobs end."""
        faults = (
            self._accept, self._accept, self._accept, self._delay, self._delay,
            self._crash, self._crash, self._play_outage, self._lose_owner,
            self._heal,
        )  # fmt: skip
        for _ in range(STEPS):
            self._random.choice(faults)()
            self.rig.run_for(self._random.uniform(0, 0.6))
            self.rig.list_backends()
        self._heal()
        self.rig.end_store_outage()
        for _ in range(int(FINISH_S)):
            self.rig.run_for(1)
            self.rig.list_backends()

    def _accept(self):
        if not self.rig.is_store_down:
            self._jobs += 1
            job = make_job(
                f'{self._jobs:016x}',
                count=self._random.randint(1, 6),
                cpu=CPU,
                estimate_ms=300,
                max_attempts=9,
            )
            self.rig.store(JobAccepted(job, (('z',),)))

    def _delay(self):
        self._random.choice(self.backends).executes_late = True
        self._accept()
        self.rig.run_for(self._random.uniform(0, 0.1))
        self._heal()

    def _crash(self):
        backend = self._random.choice(self.backends)
        if not backend.is_down(self.rig.now):
            backend.restart_s = self._random.choice((0.05, 0.3, 1.0))
            backend.crash(self.rig.now)

    def _play_outage(self):
        self.rig.is_store_down = True
        self.rig.run_for(self._random.uniform(0, 1))
        self.rig.end_store_outage()

    def _lose_owner(self):
        if self._random.random() < 1 / 3:
            self.rig.take_over(f'm#{self.rig.table.last_term + 1}')

    def _heal(self):
        for backend in self.backends:
            backend.executes_late = False


@pytest.mark.parametrize('seed', range(30))
def test_late_call_to_a_former_incarnation_is_executed(seed):
    faults = RandomLateCalls(Random(seed))
    faults.play()
    for backend in faults.backends:
        assert not backend.late_starts
        assert not backend.late_notes
    assert not faults.rig.table.live_by_id
