"""The runs on one lifetime of a back end, as its commander knows them.

The back end is the memory of what runs: this is a copy, kept true by the
answers to holds.  It answers one question above all: is it certain that a run
is over, so that its task may start elsewhere?
"""

import enum
import math
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_commands import (
    ActiveRun,
    FinishedRun,
    ListedBackend,
    RenewalAnswer,
    RunResult,
)
from camphorlink.internal.core.request.durable_job import (
    Resources,
    TaskKey,
)

#: Longest lease that back ends grant, in seconds (their ``hold_max``).
LEASE_S = 1.0
#: A back end's clock may be this much slow: the platform's stated bound.
CLOCK_DRIFT = 0.02
#: Margin beyond the end of a lease for its killing, in seconds.
LAPSE_MARGIN_S = 0.15
#: An order without an answer may be carried out this much later, in seconds:
#: the platform's pages speak of 2 to 12 s.
LATE_COMMAND_S = 12.0


class RunState(enum.Enum):
    """What is known of a run."""

    COMMANDED = enum.auto()
    RUNNING = enum.auto()
    UNCERTAIN = enum.auto()
    STOPPING = enum.auto()
    STOPPED = enum.auto()


class Run:
    """One run of a task.

    Attributes:
        task: The task.
        number: Number of the run.
        needs: What it takes of the back end.
        state: What is known of it.
        since_s: When it got into that state.
        started_s: When it was ordered.
        expected_s: How long it should take, 0 for unknown.
        percent: How far it was when it was last listed.
        percent_s: When that was.
        is_confirmed: Whether it is certain that it began, so that it ends with
            its lease at the latest.
        is_started_by_owner: Whether this owner ordered it, so that its start is known.
        wants_retry: Whether the task goes back to the queue when it is over.
    """

    __slots__ = ('checkpoint', 'expected_s', 'is_confirmed',
                 'is_started_by_owner', 'needs', 'number',
                 'percent', 'percent_s', 'since_s', 'started_s', 'state',
                 'task', 'wants_retry')  # fmt: skip

    def __init__(
        self,
        task: TaskKey,
        number: int,
        needs: Resources,
        now: float,
    ) -> None:
        """Notes that the run was ordered now."""
        self.task = task
        self.number = number
        self.needs = needs
        self.state = RunState.COMMANDED
        self.since_s = now
        self.started_s = now
        self.expected_s = 0.0
        self.percent = 0
        self.percent_s = now
        self.is_confirmed = False
        self.is_started_by_owner = True
        self.wants_retry = True
        self.checkpoint = ''

    def change_state(self, state: RunState, now: float) -> None:
        """Takes a new state."""
        self.state = state
        self.is_confirmed = self.is_confirmed or state is RunState.RUNNING
        self.since_s = now


class ClockReading(NamedTuple):
    """A reading of a back end's clock, and when its answer came, in s."""

    read_ms: int
    at_s: float

    def estimate_ms(self, now: float) -> int:
        """Estimates the reading now; the true one is never lower by much."""
        return self.read_ms + int((now - self.at_s) * 1000)


class BackendRuns:
    """One lifetime of a back end.

    Attributes:
        listed: The back end as last listed.
        run_by_task: Runs that are not certainly over.
        first_listed_s: When this owner first knew of it.
        free: Capacity that no run takes.
        is_listed: Whether the platform's directory shows it.
        renewal_number: Number of the waiting hold, 0 for none.
        polled_s: When its runs were last listed or asked for at once.
        renewal_due_s: When the next hold is to be sent.
        pause_until_s: Until when it gets no starts.
        has_listed_runs: Whether it has listed its runs under this owner's term.
        silent_since_s: Since when no call was answered, or ``None``.
        lease_end_s: When all its runs are over unless the lease is renewed.
        is_confirmation_requested: Whether the log is being read since that time.
        acknowledged: Ends up to this number are stored or need no storing.
    """

    def __init__(self, listed: ListedBackend, now: float) -> None:
        """Starts with nothing known of its runs."""
        self.listed = listed
        self.run_by_task: dict[TaskKey, Run] = {}
        self.first_listed_s = now
        self.free = listed.capacity
        self.has_listed_runs = False
        self.silent_since_s: float | None = None
        self.lease_end_s = -math.inf
        self.is_confirmation_requested = False
        self.acknowledged = 0
        self.clock: ClockReading | None = None
        self.is_listed = True
        self.renewal_number = 0
        self.polled_s = now
        self.renewal_due_s = now
        self.pause_until_s = -math.inf
        self._stored: set[int] = set()
        self._known_completions: set[int] = set()
        self._unanswered_s = -math.inf

    def is_usable(self, now: float) -> bool:
        """Tells whether it may get new runs now."""
        return (
            self.has_listed_runs
            and self.is_listed
            and not self.listed.is_draining
            and self.silent_since_s is None
            and self.pause_until_s <= now
        )

    @property
    def has_unstored_completions(self) -> bool:
        """Whether it lists ends that the log does not hold yet."""
        return len(self._known_completions) > len(self._stored)

    def add(self, run: Run) -> None:
        """Counts a run that was ordered or found."""
        self.run_by_task[run.task] = run
        self.free = self.free.minus(run.needs)

    def drop(self, task: TaskKey) -> Run | None:
        """Forgets a run that is certainly over."""
        run = self.run_by_task.pop(task, None)
        if run is not None:
            self.free = self.free.plus(run.needs)
        return run

    def lease_clock_ms(self, now: float) -> int | None:
        """Returns the end of a full lease from now on the back end's clock."""
        if self.clock is None:
            return None
        return self.clock.estimate_ms(now) + int(LEASE_S * 1000)

    def record_lease_sent(self, now: float) -> None:
        """Notes a call that may renew the lease, answered or not."""
        renewed_s = now + LEASE_S * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
        self.lease_end_s = max(self.lease_end_s, renewed_s)

    def record_no_answer(self, sent_s: float, renews: bool) -> None:
        """Notes a call without an answer.

        Args:
            sent_s: When it was sent.
            renews: Whether it renews the lease, should it be carried out.
        """
        if self.silent_since_s is None:
            self.silent_since_s = sent_s
        if renews:
            self._unanswered_s = max(self._unanswered_s, sent_s)

    def record_answer(self, clock_ms: int | None, now: float) -> None:
        """Notes that a call was answered.

        When an earlier one was not, though the back end is there, its order
        may still be carried out and renew the lease once more.
        """
        self.silent_since_s = None
        if self._unanswered_s > -math.inf:
            self.record_lease_sent(self._unanswered_s + LATE_COMMAND_S)
            self._unanswered_s = -math.inf
        if clock_ms is not None:
            self.clock = ClockReading(clock_ms, now)

    def has_lapsed(self, now: float) -> bool:
        """Tells whether all confirmed runs are over without being seen."""
        return self.silent_since_s is not None and now > self.lease_end_s

    def new_completions(self, answer: RenewalAnswer) -> list[FinishedRun]:
        """Returns the ends that were not listed before."""
        unseen = [
            completion
            for completion in answer.finished
            if completion.number > self.acknowledged
            and completion.number not in self._known_completions
        ]
        self._known_completions.update(
            completion.number for completion in unseen
        )
        return unseen

    def record_stored(self, number: int) -> None:
        """Notes that an end needs no storing, or is stored."""
        self._stored.add(number)
        while self.acknowledged + 1 in self._stored:
            self.acknowledged += 1
            self._stored.discard(self.acknowledged)
            self._known_completions.discard(self.acknowledged)

    def acknowledge_before(self, first_number: int) -> None:
        """Takes ends before the first listed as acknowledged earlier."""
        if not self._known_completions and first_number > self.acknowledged + 1:
            self.acknowledged = first_number - 1


def needs_storing(completion: FinishedRun) -> bool:
    """Tells whether an end changes what is known of its task for good."""
    return completion.result in {RunResult.DONE, RunResult.FAILED}


def find_absent_runs(
    runs: BackendRuns,
    active: tuple[ActiveRun, ...],
) -> list[Run]:
    """Returns the known runs that a back end does not list as present."""
    present = {(entry.task, entry.run) for entry in active}
    return [
        run
        for run in runs.run_by_task.values()
        if (run.task, run.number) not in present
    ]
