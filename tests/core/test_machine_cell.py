"""Tests that no task runs twice at once when back ends and owners fail."""

import collections

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.crash_assessment import MIN_CRASHES
from camphorlink.internal.core.request.durable_job import TaskKey, task_keys
from camphorlink.internal.core.request.job_records import (
    JobAccepted,
    JobCancelled,
)
from simulated_backends import CellRig, SimulatedBackend, listed, make_job

BACKEND_COUNT = 3
#: Time in seconds after which all commands of all owners have expired.
SETTLE_TIMEOUT_S = 45.0

backend_numbers = st.integers(0, BACKEND_COUNT - 1)


class CellMachine(RuleBasedStateMachine):
    """Applies faults in any order to a cell on a virtual clock."""

    @initialize()
    def start(self):
        self.backends = [
            SimulatedBackend(listed(f'i-{number}'), run_s=0.3)
            for number in range(BACKEND_COUNT)
        ]
        self.rig = CellRig(self.backends)
        self.jobs = {}
        self.durable = set()
        self.cancelled = set()
        self.crashes_by_task = collections.Counter()
        self.owners = 1
        self.rig.run_for(0.1)

    @rule(width=st.integers(1, 4))
    def submit_transient(self, width):
        job = make_job(f'{len(self.jobs):016x}', width, max_attempts=99)
        self.jobs[job.job_id] = job
        self.rig.submit(job)

    @rule(width=st.integers(1, 4))
    def submit_durable(self, width):
        job = make_job(f'{len(self.jobs):016x}', width, max_attempts=99)
        self.jobs[job.job_id] = job
        self.durable.add(job.job_id)
        self.rig.store(JobAccepted(job, (('z',),)))

    @rule(number=st.integers(0, 5))
    def cancel(self, number):
        job_id = f'{number:016x}'
        if job_id in self.durable:
            self.cancelled.add(job_id)
            self.rig.store(JobCancelled(job_id))

    @rule(number=backend_numbers, is_silent=st.booleans())
    def silence(self, number, is_silent):
        self.backends[number].is_silent = is_silent

    @rule(number=backend_numbers, loses=st.booleans())
    def lose_answers(self, number, loses):
        self.backends[number].loses_answers = loses

    @rule(number=backend_numbers, is_stalled=st.booleans())
    def stall(self, number, is_stalled):
        self.backends[number].is_stalled = is_stalled

    @rule(number=backend_numbers)
    def crash(self, number):
        backend = self.backends[number]
        self.crashes_by_task.update({task for task, _, _ in backend.starts})
        entry = backend.listed._replace(
            started_ms=backend.listed.started_ms + 1
        )
        backend.__init__(entry, backend.run_s)
        self.rig.list_backends()

    @rule(number=backend_numbers, executes_late=st.booleans())
    def delay_execution(self, number, executes_late):
        self.backends[number].executes_late = executes_late

    @rule(number=backend_numbers, fails=st.booleans())
    def fail(self, number, fails):
        self.backends[number].fails = fails

    @rule()
    def take_over(self):
        self.owners += 1
        self.rig.take_over(f'm#{self.owners}')
        self.rig.run_for(0.05)
        self.resend_tasks()

    def resend_tasks(self):
        """Resends open tasks, as coordinators do after a change of owner."""
        done = set(self.rig.done_tasks())
        for job_id, job in self.jobs.items():
            if job_id in self.durable:
                continue
            missing = [
                task
                for task in (
                    TaskKey(job_id, 0, number)
                    for number in range(job.steps[0].width)
                )
                if task not in done
            ]
            if missing:
                self.rig.submit(job, may_have_run=True, tasks=missing)

    @rule(duration_s=st.sampled_from([0.02, 0.1, 0.4, 1.2]))
    def wait(self, duration_s):
        self.rig.run_for(duration_s)

    @invariant()
    def no_task_runs_twice_at_once(self):
        if hasattr(self, 'rig'):
            assert not self.rig.overlapping_runs()

    def teardown(self):
        if not hasattr(self, 'rig'):
            return
        for backend in self.backends:
            backend.is_silent = False
            backend.loses_answers = False
            backend.is_stalled = False
            backend.fails = False
            backend.executes_late = False
        for _ in range(int(SETTLE_TIMEOUT_S)):
            self.rig.run_for(1)
            assert not self.rig.overlapping_runs()
            if self.is_settled():
                break
        assert self.is_settled()
        self.check_durable_jobs()

    def may_be_given_up(self, task):
        return self.crashes_by_task[task] >= MIN_CRASHES

    def is_settled(self):
        given_up = {
            report.task for report in self.rig.reports if not report.is_done
        }
        assert all(map(self.may_be_given_up, given_up))
        done = given_up.union(self.rig.done_tasks())
        transient = [
            TaskKey(job_id, 0, number)
            for job_id, job in self.jobs.items()
            if job_id not in self.durable
            for number in range(job.steps[0].width)
        ]
        return not self.rig.table.live_by_id and done.issuperset(transient)

    def check_durable_jobs(self):
        ended = self.rig.table.ended_by_id
        for job_id in self.durable:
            states = {JobState.COMPLETED}
            if job_id in self.cancelled:
                states.add(JobState.CANCELLED)
            if any(
                self.may_be_given_up(task)
                for task in task_keys(self.jobs[job_id], 0)
            ):
                states.add(JobState.FAILED)
            assert ended[job_id].state in states


TestCellMachine = CellMachine.TestCase
TestCellMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
)


def test_a_failed_run_of_an_earlier_term_causes_no_duplicate_run():
    """Guards against a retry while a later run is not listed yet.

    The new owner sees the failed run of an earlier term first, and the later
    run of the same task only in a later list.
    """
    machine = CellMachine()
    machine.start()
    machine.crash(0)
    machine.fail(1, True)
    machine.submit_transient(2)
    machine.take_over()
    machine.submit_durable(1)
    for _ in range(7):
        machine.take_over()
        machine.no_task_runs_twice_at_once()
    machine.teardown()


def test_a_waiting_task_stays_queued_when_its_lapsed_run_is_listed():
    """Guards against a task that is lost from the queue.

    The completion of a task's lapsed run is listed while the task waits for
    its next run.
    """
    machine = CellMachine()
    machine.start()
    machine.stall(0, True)
    machine.submit_transient(1)
    for number in range(BACKEND_COUNT):
        machine.lose_answers(number, True)
    machine.wait(1.2)
    machine.teardown()
