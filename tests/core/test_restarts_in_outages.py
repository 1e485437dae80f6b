"""Tests random restarts of back ends while the store is down.

Owners are lost, and calls to back ends, too; jobs are stored or transient.
"""

from random import Random

import pytest

from camphorlink.internal.core.connection.backend_commands import RunResult
from camphorlink.internal.core.request.job_records import (
    JobAccepted,
    JobCancelled,
)
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

RUN_S = 0.3
CPU = 3000
STEPS = 100
FINISH_S = 40.0
CALL_FAULTS = ('loses_answers', 'is_silent', 'loses_starts', 'loses_stops')


class WatchedBackend(SimulatedBackend):
    """Notes starts of tasks after an end as done was acknowledged.

    Attributes:
        wrong_starts: Task, run and time of each such start.
    """

    def __init__(self, entry, run_s, noted_tasks):
        super().__init__(entry, run_s)
        self.wrong_starts = []
        #: Tasks with such an end on any back end.
        self._noted_tasks = noted_tasks

    def execute(self, command, now):
        ends, starts = len(self.noted), len(self.starts)
        answer = super().execute(command, now)
        self._noted_tasks.update(
            entry.task
            for entry in self.noted[ends:]
            if entry.result is RunResult.DONE
        )
        self.wrong_starts += [
            start
            for start in self.starts[starts:]
            if start[0] in self._noted_tasks
        ]
        return answer

    def _cpu_of(self, task):
        return CPU


class RandomOutages:
    """Plays faults on one cell beside new jobs.

    Attributes:
        rig: The cell.
        backends: Its back ends.
        overlaps: Tasks that were seen with two runs at once.
    """

    def __init__(self, random):
        self.overlaps = set()
        self._random = random
        self._jobs = []
        self._transient_by_id = {}
        noted_tasks = set()
        self.backends = [
            WatchedBackend(listed(f'i-{number}'), RUN_S, noted_tasks)
            for number in range(4)
        ]
        self.rig = CellRig(self.backends)
        self.rig.run_for(0.1)

    def play(self):
        """Plays all faults, and lets the jobs end."""
        faults = (
            self._accept, self._accept, self._accept, self._accept,
            self._submit, self._cancel, self._crash, self._play_outage,
            self._play_outage, self._lose_owner, self._lose_calls, self._heal,
        )  # fmt: skip
        for _ in range(STEPS):
            self._random.choice(faults)()
            self._run(self._random.uniform(0, 0.6))
        self._heal()
        self.rig.end_store_outage()
        end_s = self.rig.now + FINISH_S
        while self.rig.now < end_s and self.rig.table.live_by_id:
            self._run(0.5)
        # Transient tasks may be withheld for some seconds.
        self._run(20.0)

    def _run(self, duration_s):
        self.rig.run_for(duration_s)
        self.rig.list_backends()
        self.overlaps |= self.rig.overlapping_runs()

    def _next_job(self):
        job_id = f'{len(self._jobs) + 1:016x}'
        self._jobs.append(job_id)
        count = self._random.randint(1, 10)
        return make_job(job_id, count=count, cpu=CPU, estimate_ms=300)

    def _accept(self):
        if not self.rig.is_store_down:
            self.rig.store(JobAccepted(self._next_job(), (('z',),)))

    def _submit(self):
        job = self._next_job()
        self._transient_by_id[job.job_id] = job
        self.rig.submit(job)

    def _cancel(self):
        if self._jobs and not self.rig.is_store_down:
            job_id = self._random.choice(self._jobs)
            self._transient_by_id.pop(job_id, None)
            self.rig.store(JobCancelled(job_id))

    def _crash(self):
        backend = self._random.choice(self.backends)
        backend.restart_s = self._random.choice((0.05, 0.3, 1.0, 3.0))
        backend.crash(self.rig.now)

    def _play_outage(self):
        self.rig.is_store_down = True
        self._run(self._random.uniform(0, 0.6))
        for backend in self._random.sample(self.backends, 2):
            backend.restart_s = self._random.choice((0.05, 0.3))
            backend.crash(self.rig.now)
        self._run(self._random.uniform(0.1, 0.8))
        if self._random.random() < 3 / 4:
            self.rig.end_store_outage()

    def _lose_owner(self):
        if self.rig.is_store_down:
            return
        self.rig.take_over(f'm#{self.rig.table.last_term + 1}')
        self._run(self._random.uniform(0, 0.5))
        reported = {report.task.job_id for report in self.rig.reports}
        for job_id, job in list(self._transient_by_id.items()):
            if job_id in reported:
                self._transient_by_id.pop(job_id)
            else:
                self.rig.submit(job, may_have_run=True)

    def _lose_calls(self):
        backend = self._random.choice(self.backends)
        setattr(backend, self._random.choice(CALL_FAULTS), True)

    def _heal(self):
        for backend in self.backends:
            for fault in CALL_FAULTS:
                setattr(backend, fault, False)


@pytest.mark.parametrize('seed', range(40))
def test_task_starts_after_its_noted_end(seed):
    outages = RandomOutages(Random(seed))
    outages.play()
    # Transient jobs may run again from the start.
    assert not [
        start
        for backend in outages.backends
        for start in backend.wrong_starts
        if start[0].job_id in outages.rig.table.ended_by_id
    ]
    assert not outages.overlaps
    assert not outages.rig.table.live_by_id
    # Ends that are never acknowledged would be listed for good.
    assert not any(backend.finished for backend in outages.backends)
