"""Tests tasks with several runs whose ends wait to be stored.

A run whose lease lapsed on a silent back end is followed by another one, and its
end may be listed after all, as late as that of its successor.
"""

from random import Random

import pytest

from camphorlink.internal.core.connection.backend_commands import RunResult
from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.durable_job import (
    Resources,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.job_records import JobAccepted
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

JOB = 'a' * 16
RUN_S = 1.0
#: Time in seconds in which a silent back end's lease lapses and the task starts
#: again.
LAPSE_S = 1.6
CPU = 3000
#: Length of a run of random faults.
STEPS = 60
FINISH_S = 40.0


def make_site(count=2):
    backends = [SimulatedBackend(listed(f'i-{n}'), RUN_S) for n in range(count)]
    for backend in backends:
        backend.cpu_by_job = {JOB: CPU}
    rig = CellRig(backends)
    rig.run_for(0.1)
    return rig, backends


def leave_two_ends_unstored(rig, backends, *, is_second_done):
    """Two runs of a task end while the store is down; the first one failed."""
    rig.run_for(0.1)
    silent, other = sorted(backends, key=lambda entry: not entry.active)
    silent.fails = True
    silent.is_silent = True
    rig.run_for(LAPSE_S)
    assert other.active
    rig.is_store_down = True
    silent.is_silent = silent.fails = False
    other.fails = not is_second_done
    rig.run_for(RUN_S)
    other.fails = False
    results = [entry.result for entry in (*silent.finished, *other.finished)]
    assert results == [
        RunResult.FAILED,
        RunResult.DONE if is_second_done else RunResult.FAILED,
    ]


def count_starts(backends):
    return sum(len(backend.starts) for backend in backends)


def test_storing_a_failed_end_starts_a_task_whose_other_run_is_done():
    rig, backends = make_site()
    rig.store(JobAccepted(make_job(JOB, cpu=CPU, estimate_ms=1000), (('z',),)))
    leave_two_ends_unstored(rig, backends, is_second_done=True)
    rig.end_store_outage()
    rig.run_for(3)
    assert rig.table.ended_by_id[JOB].state is JobState.COMPLETED
    assert count_starts(backends) == 2
    assert not any(backend.finished for backend in backends)


@pytest.mark.parametrize('max_attempts', [2, 3])
def test_task_starts_beyond_its_attempts_as_two_failed_ends_are_stored(
    max_attempts,
):
    rig, backends = make_site()
    job = make_job(JOB, cpu=CPU, estimate_ms=1000, max_attempts=max_attempts)
    rig.store(JobAccepted(job, (('z',),)))
    leave_two_ends_unstored(rig, backends, is_second_done=False)
    rig.end_store_outage()
    rig.run_for(3)
    is_last = max_attempts == 2
    ended = rig.table.ended_by_id[JOB]
    assert ended.state is (JobState.FAILED if is_last else JobState.COMPLETED)
    assert count_starts(backends) == max_attempts
    assert not any(backend.finished for backend in backends)


def leave_second_run_beside_an_end(rig, backends):
    """The first run of a task ends as done unseen, and the second one runs."""
    rig.run_for(0.1)
    silent = max(backends, key=lambda entry: len(entry.active))
    silent.is_silent = True
    rig.run_for(LAPSE_S)
    silent.is_silent = False
    for backend in backends:
        backend.run_s = 10.0
    rig.run_for(0.3)


@pytest.mark.parametrize('is_stored', [True, False])
def test_run_goes_on_beside_the_noted_end_of_its_task(is_stored):
    rig, backends = make_site()
    step = Step(1, Resources(CPU), 1000)
    # The job goes on after the task.
    job = make_job(JOB, steps=(step, step._replace(after=(0,))))
    if is_stored:
        rig.store(JobAccepted(job, (('z',), ('z',))))
    else:
        rig.submit(job, tasks=[TaskKey(JOB, 0, 0)])
    leave_second_run_beside_an_end(rig, backends)
    assert count_starts(backends) == (3 if is_stored else 2)
    assert TaskKey(JOB, 0, 0) not in rig.running_tasks()
    assert not any(backend.finished for backend in backends)


class RecordingBackend(SimulatedBackend):
    """Records when runs end, when leases lapse and when ends are noted.

    Attributes:
        ends: Time and completion of each end, of all incarnations.
        lapses_s: Times at which its lease lapsed.
        noted_s: Time at which each end was acknowledged, by run.
    """

    def __init__(self, entry, run_s):
        super().__init__(entry, run_s)
        self.ends = []
        self.lapses_s = []
        self.noted_s = {}
        self._now = 0.0
        self._has_lapsed = True

    def advance(self, now):
        self._now = now
        has_lapsed = now > self.lease_end_s
        if has_lapsed and not self._has_lapsed:
            self.lapses_s.append(now)
        self._has_lapsed = has_lapsed
        super().advance(now)

    def execute(self, command, now):
        first = len(self.noted)
        answer = super().execute(command, now)
        for completion in self.noted[first:]:
            self.noted_s[completion.task, completion.run] = now
        return answer

    def counted_ends(self, result):
        """Yields task and time of the ends that count for the platform."""
        for ended_s, completion in self.ends:
            noted_s = self.noted_s.get((completion.task, completion.run))
            if completion.result is result and self._counts(ended_s, noted_s):
                yield completion.task, ended_s

    def _counts(self, ended_s, noted_s):
        return noted_s is not None and not any(
            ended_s <= lapsed_s <= noted_s for lapsed_s in self.lapses_s
        )

    def _end(self, task, run, result):
        super()._end(task, run, result)
        self.ends.append((self._now, self.finished[-1]))

    def _cpu_of(self, task):
        return CPU


def find_wrong_starts(backends, max_attempts):
    """Returns the starts after an end as done, or after all attempts."""
    done, failed = (
        [end for backend in backends for end in backend.counted_ends(result)]
        for result in (RunResult.DONE, RunResult.FAILED)
    )
    return [
        start
        for backend in backends
        for start in backend.starts
        if _count_before(done, start)
        or _count_before(failed, start) >= max_attempts
    ]


def _count_before(ends, start):
    task, _, started_s = start
    return sum(end == task and ended_s < started_s for end, ended_s in ends)


class RandomSilences:
    """Plays silent back ends, failing runs and outages beside stored jobs.

    Attributes:
        rig: The cell.
        backends: Its back ends.
        max_attempts: Attempts of each task.
    """

    max_attempts = 2

    def __init__(self, random):
        self._random = random
        self._jobs = 0
        self.backends = [
            RecordingBackend(listed(f'i-{number}'), RUN_S)
            for number in range(4)
        ]
        self.rig = CellRig(self.backends)
        self.rig.run_for(0.1)

    def play(self):
        """Plays all faults, and lets the jobs end."""
        faults = (
            self._accept, self._accept, self._accept, self._silence,
            self._fail, self._play_outage, self._play_outage,
            self._lose_owner, self._heal,
        )  # fmt: skip
        for _ in range(STEPS):
            self._random.choice(faults)()
            self.rig.run_for(self._random.uniform(0, 0.8))
        self._heal()
        self.rig.end_store_outage()
        self.rig.run_for(FINISH_S)

    def _accept(self):
        if not self.rig.is_store_down:
            self._jobs += 1
            job = make_job(
                f'{self._jobs:016x}',
                count=self._random.randint(1, 4),
                cpu=CPU,
                estimate_ms=1000,
                max_attempts=self.max_attempts,
            )
            self.rig.store(JobAccepted(job, (('z',),)))

    def _silence(self):
        self._random.choice(self.backends).is_silent = True

    def _fail(self):
        self._random.choice(self.backends).fails = True

    def _play_outage(self):
        """A store outage begins while tasks of a silent back end run again."""
        silent = self._random.choice(self.backends)
        silent.is_silent = silent.fails = True
        self.rig.run_for(self._random.uniform(1, 2.5))
        self.rig.is_store_down = True
        self._heal()
        self._random.choice(self.backends).fails = True
        self.rig.run_for(self._random.uniform(0, 2))
        self.rig.end_store_outage()

    def _lose_owner(self):
        if self._random.random() < 1 / 3:
            self.rig.take_over(f'm#{self.rig.table.last_term + 1}')

    def _heal(self):
        for backend in self.backends:
            backend.is_silent = backend.fails = False


@pytest.mark.parametrize('seed', range(30))
def test_task_starts_after_an_end_that_waits_to_be_stored(seed):
    silences = RandomSilences(Random(seed))
    silences.play()
    assert not find_wrong_starts(silences.backends, silences.max_attempts)
    assert not silences.rig.table.live_by_id
    assert not any(backend.finished for backend in silences.backends)
