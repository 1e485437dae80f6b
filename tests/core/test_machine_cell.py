"""A cell among failing back ends and owners: no task runs twice at once."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import Accepted, Cancelled
from order_takers import CellRig, OrderTaker, listed, make_job

BACKENDS = 3
#: Time after which all orders of all owners are over, in seconds.
SETTLED_S = 45.0

backends = st.integers(0, BACKENDS - 1)


class CellMachine(RuleBasedStateMachine):
    """Any order of faults, on a virtual clock."""

    @initialize()
    def start(self):
        self.takers = [
            OrderTaker(listed(f'i-{number}'), run_s=0.3)
            for number in range(BACKENDS)
        ]
        self.rig = CellRig(self.takers)
        self.jobs = {}
        self.durable = set()
        self.cancelled = set()
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
        self.rig.store(Accepted(job, (('z',),)))

    @rule(number=st.integers(0, 5))
    def cancel(self, number):
        job_id = f'{number:016x}'
        if job_id in self.durable:
            self.cancelled.add(job_id)
            self.rig.store(Cancelled(job_id))

    @rule(number=backends, is_silent=st.booleans())
    def silence(self, number, is_silent):
        self.takers[number].is_silent = is_silent

    @rule(number=backends, loses=st.booleans())
    def lose_answers(self, number, loses):
        self.takers[number].loses_answers = loses

    @rule(number=backends, stands=st.booleans())
    def stand_still(self, number, stands):
        self.takers[number].stands_still = stands

    @rule(number=backends)
    def crash(self, number):
        taker = self.takers[number]
        entry = taker.listed._replace(started_ms=taker.listed.started_ms + 1)
        taker.__init__(entry, taker.run_s)
        self.rig.list_backends()

    @rule(number=backends, is_late=st.booleans())
    def be_late(self, number, is_late):
        self.takers[number].is_late = is_late

    @rule(number=backends, fails=st.booleans())
    def fail(self, number, fails):
        self.takers[number].fails = fails

    @rule()
    def take_over(self):
        self.owners += 1
        self.rig.take_over(f'm#{self.owners}')
        self.rig.run_for(0.05)
        self.send_again()

    def send_again(self):
        """Does what coordinators do when a cell has a new owner."""
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
        for taker in self.takers:
            taker.is_silent = False
            taker.loses_answers = False
            taker.stands_still = False
            taker.fails = False
            taker.is_late = False
        for _ in range(int(SETTLED_S)):
            self.rig.run_for(1)
            assert not self.rig.overlapping_runs()
            if self.is_settled():
                break
        assert self.is_settled()
        self.check_durable()

    def is_settled(self):
        done = set(self.rig.done_tasks())
        transient = [
            TaskKey(job_id, 0, number)
            for job_id, job in self.jobs.items()
            if job_id not in self.durable
            for number in range(job.steps[0].width)
        ]
        return not self.rig.table.live_by_id and done.issuperset(transient)

    def check_durable(self):
        ended = self.rig.table.ended_by_id
        for job_id in self.durable:
            states = {JobState.COMPLETED}
            if job_id in self.cancelled:
                states.add(JobState.CANCELLED)
            assert ended[job_id].state in states


TestCellMachine = CellMachine.TestCase
TestCellMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
)


def test_a_failed_run_of_an_earlier_term_starts_nothing_beside_a_later_one():
    """Found by the machine: its task had a later run, not yet listed."""
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


def test_a_task_that_waits_stays_when_an_old_run_of_it_is_listed():
    """Found by the machine: the end of its lapsed run took it off the queue."""
    machine = CellMachine()
    machine.start()
    machine.stand_still(0, True)
    machine.submit_transient(1)
    for number in range(BACKENDS):
        machine.lose_answers(number, True)
    machine.wait(1.2)
    machine.teardown()
