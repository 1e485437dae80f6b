"""Checks that a home's table never accepts an evicted submission as new."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from camphorlink.internal.core.request.home_table import (
    HomeTable,
    TableLimits,
)
from camphorlink.internal.core.request.identifiers import Home, SubmissionId
from camphorlink.internal.core.request.job import Outcome, build_not_run_answer
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.table_chunks import (
    restore_table,
    split_table,
)
from cores import build_job

HOME = Home('larissa', 'a', '0' * 16)
LIMITS = TableLimits(max_entries=3, answer_bytes=600, max_endings=4)
WALL_S = 1_800_000_000.0


class HomeTableMachine(RuleBasedStateMachine):
    """Submits, completes, evicts and hands over submissions of any age."""

    submission_ids = Bundle('submission_ids')

    @initialize()
    def start(self):
        self.table = HomeTable(LIMITS)
        self.wall_s = WALL_S
        self.issued_count = 0
        self.ran = set()
        self.refused = set()
        self.open = {}
        self.issued = []

    @rule(
        target=submission_ids,
        age_s=st.sampled_from((0, 0, 1, 5, 300, 599, -59, -61)),
        refuses=st.sampled_from((False, False, True)),
    )
    def issue(self, age_s, refuses):
        self.issued_count += 1
        issued_ms = int((self.wall_s - age_s) * 1000)
        submission_id = SubmissionId(
            HOME, issued_ms, f'{self.issued_count:020x}'
        )
        self.issued.append(submission_id)
        self.submit(submission_id, refuses=refuses)
        return submission_id

    @rule(submission_id=submission_ids, refuses=st.booleans())
    def submit(self, submission_id, refuses):
        if self.table.find(str(submission_id)) is not None:
            return
        answer = self.table.refusal(submission_id, self.wall_s)
        if answer is not None:
            self.check_refusal(submission_id, answer)
        elif refuses:
            assert submission_id not in self.ran
            self.table.refuse(
                submission_id, build_not_run_answer(Reason.QUEUE_FULL)
            )
            self.refused.add(submission_id)
        elif not self.table.is_full:
            assert submission_id not in self.ran, 'no_task_starts_twice'
            assert submission_id not in self.refused, 'not_run_is_true'
            run = self.table.open_run(submission_id, build_job(), 1)
            run.mark_started(0)
            self.ran.add(submission_id)
            self.open[submission_id] = run

    @rule(refuses=st.booleans())
    def submit_all(self, refuses):
        """Submits copies of all submissions issued so far."""
        for submission_id in self.issued:
            self.submit(submission_id, refuses=refuses)

    def check_refusal(self, submission_id, answer):
        if answer.outcome is Outcome.NOT_RUN:
            assert submission_id not in self.ran, 'not_run_is_true'
            self.refused.add(submission_id)

    @rule()
    def complete_all(self):
        for submission_id in tuple(self.open):
            self.complete(submission_id, 'finishes')

    @rule(
        submission_id=submission_ids,
        completion=st.sampled_from(('finishes', 'fails', 'is lost')),
    )
    def complete(self, submission_id, completion):
        run = self.open.pop(submission_id, None)
        if run is None:
            return
        if completion == 'finishes':
            run.finish_task(0, 'r' * 300)
        elif completion == 'fails':
            run.fail_task(0, 'failed')
        else:
            run.lose_task(0, 'lost')

    @rule(seconds=st.sampled_from((0.001, 1, 10, 10, 400)))
    def wait(self, seconds):
        self.wall_s += seconds

    @rule(skew_s=st.sampled_from((0, -30, 30)))
    def hand_over(self, skew_s):
        """Hands the sealed table over to a successor with another clock."""
        for run in self.open.values():
            run.close(Reason.VM_STOPPED)
        self.open.clear()
        oldest_ms = int((self.wall_s - 600) * 1000)
        self.table.endings.raise_floor(oldest_ms)
        self.table = restore_table(split_table(HOME, 1, self.table), LIMITS)
        self.wall_s += skew_s

    @invariant()
    def stays_bounded(self):
        if hasattr(self, 'table'):
            assert len(self.table) <= 2 * LIMITS.max_entries
            assert len(self.table.endings) <= LIMITS.max_endings


HomeTableMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestHomeTable = HomeTableMachine.TestCase
