"""The owner's copy of the runs on one incarnation of a back end.

The back end itself is the authority on its runs; the answers to lease renewals
update this copy.  Its main use is to decide whether a run has certainly ended,
so that its task may start elsewhere.
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
    NO_RESOURCES,
    Resources,
    TaskKey,
)

#: Longest lease that back ends grant (their ``hold_max``).
LEASE_S = 1.0
#: Share by which a back end's clock may run slow, as bounded by the platform.
CLOCK_DRIFT = 0.02
#: Time that a back end may take to kill a run after its lease has ended.
LAPSE_MARGIN_S = 0.15
#: Time in seconds that a back end has to confirm the stop of a run that must
#: end before its lease is not renewed any more: two lost stops are repeated
#: within it.
STOP_CONFIRMATION_S = 0.1
#: Free capacity of a back end on which no other run may be started.
NOTHING_FREE = Resources(-1, -1, -1)
#: Longest delay after which a command without an answer may still be executed;
#: the platform's documentation says 2 to 12 s.
LATE_COMMAND_S = 12.0


class RunState(enum.Enum):
    """State of a run as known to the owner of its cell.

    ``COMMANDED``: the start was sent and is not answered.  ``RUNNING``: the
    back end confirmed it.  ``UNCERTAIN``: the start got no answer in time.
    ``STOPPING``: a stop was sent.  ``STOPPED``: the stop was answered.
    """

    COMMANDED = enum.auto()
    RUNNING = enum.auto()
    UNCERTAIN = enum.auto()
    STOPPING = enum.auto()
    STOPPED = enum.auto()


class RunLoss(enum.Enum):
    """Why a run counts as ended although no completion was listed.

    ``REJECTED``: its start was rejected.  ``ABSENT``: the back end does not list
    it.  ``LAPSED``: its lease has lapsed on a silent back end.  ``REPLACED``: its
    incarnation of the back end has ended.
    """

    REJECTED = 'start-rejected'
    ABSENT = 'not-listed'
    LAPSED = 'lease-lapsed'
    REPLACED = 'incarnation-ended'


class Run:
    """One run of a task on a back end.

    Attributes:
        task: Key of the task.
        number: Number of the run.
        needs: Resources that it uses on the back end.
        is_alone: Whether no other run may be started on the back end.
        state: State as known to this owner.
        since_s: Time of the last change of ``state``, in seconds.
        started_s: Time of the start command, in seconds.
        expected_s: Expected duration in seconds, 0 if unknown.
        percent: Progress when it was last listed, in percent.
        percent_s: Time at which ``percent`` was listed, in seconds.
        has_begun: Whether the run has certainly begun, so that it ends with
            its lease at the latest.
        is_started_by_owner: Whether this owner sent the start command, so that
            the start time is known.
        must_end_s: Time from which on it must not run any more, in seconds,
            or ``None``.
        wants_retry: Whether the task returns to the queue when the run ends.
        stops_sent: Number of stop commands sent for it.
    """

    __slots__ = ('_advanced_s', 'checkpoint', 'expected_s', 'has_begun',
                 'is_alone', 'is_started_by_owner', 'must_end_s', 'needs', 'number',
                 'percent', 'percent_s', 'since_s', 'started_s', 'state',
                 'stops_sent', 'task', 'wants_retry')  # fmt: skip

    def __init__(
        self,
        task: TaskKey,
        number: int,
        needs: Resources,
        now: float,
    ) -> None:
        """Creates a run whose start command is sent at ``now``."""
        self.task = task
        self.number = number
        self.needs = needs
        self.is_alone = False
        self.state = RunState.COMMANDED
        self.since_s = now
        self.started_s = now
        self.expected_s = 0.0
        self.percent = 0
        self.percent_s = now
        self._advanced_s = now
        self.has_begun = False
        self.is_started_by_owner = True
        self.must_end_s: float | None = None
        self.wants_retry = True
        self.stops_sent = 0
        self.checkpoint = ''

    @property
    def expected_end_s(self) -> float:
        """Time at which the run is expected to end, in seconds."""
        return self.started_s + self.expected_s

    @property
    def has_been_listed(self) -> bool:
        """Whether its incarnation has listed it, so that it ends with it.

        This holds for runs that this owner has started.
        """
        return self.percent_s > self.started_s

    def record_progress(self, percent: int, now: float) -> None:
        """Records listed progress."""
        if percent > self.percent:
            self._advanced_s = now
        self.percent = percent
        self.percent_s = now

    @property
    def standstill_s(self) -> float:
        """Time for which its listed progress has been the same, in seconds."""
        return self.percent_s - self._advanced_s

    def change_state(self, state: RunState, now: float) -> None:
        """Changes the state; ``RUNNING`` also marks the run as confirmed."""
        self.state = state
        self.has_begun = self.has_begun or state is RunState.RUNNING
        self.since_s = now


class ClockReading(NamedTuple):
    """A reading of a back end's clock.

    Attributes:
        read_ms: The reading, in ms.
        at_s: Time at which the answer with the reading arrived, in seconds.
    """

    read_ms: int
    at_s: float

    def estimate_ms(self, now: float) -> int:
        """Estimates the current reading in ms.

        The true reading may be higher; it is lower at most by the clock drift.
        """
        return self.read_ms + int((now - self.at_s) * 1000)


class Outage(NamedTuple):
    """How long a back end has not answered, in seconds.

    Attributes:
        silent_s: Time from its last sign of life to the first refused connection,
            or until now if none was refused.
        refused_s: Time for which it has refused connections; negative if it has
            refused none.
    """

    silent_s: float
    refused_s: float = -math.inf


NO_OUTAGE = Outage(0)


class BackendRuns:
    """Runs, leases and completions of one incarnation of a back end.

    All times are in seconds on this VM's clock.

    Attributes:
        listed: Latest directory entry of the back end.
        run_by_task: Runs that have not certainly ended.
        first_listed_s: Time at which this owner first knew of the back end.
        free: Capacity that no run uses; negative if the capacity has shrunk
            below what runs use.
        is_listed: Whether the platform's directory lists the back end.
        renewal_number: Number of the pending lease renewal, 0 for none.
        polled_s: Time at which its runs were last listed, or requested without
            waiting for a completion.
        renewal_due_s: Time at which the next lease renewal is due.
        pause_until_s: Time until which no run is started on it.
        has_listed_runs: Whether it has listed its runs under this owner's
            term.
        silent_since_s: Time since which no call was answered, or ``None``.
        lists_unclaimed_run: Whether its last list had a run that no known job
            has a claim to.
        lease_end_s: Time at which all its runs have ended unless the lease is
            renewed.
        is_confirmation_requested: Whether the log is being read to confirm,
            after the lease has lapsed, that this owner still owns the cell.
        acknowledged: Completions up to this number are stored or need not be.
    """

    def __init__(self, listed: ListedBackend, now: float, token: int) -> None:
        """Creates the record of an incarnation whose runs are unknown.

        Args:
            listed: Directory entry of the back end.
            now: Time in seconds.
            token: Fencing token of the commands to the incarnation.
        """
        self.listed = listed
        self._token = token
        self.run_by_task: dict[TaskKey, Run] = {}
        self.first_listed_s = now
        self.free = listed.capacity
        self._used = NO_RESOURCES
        self._reserved_for: TaskKey | None = None
        self.has_listed_runs = False
        self.lists_unclaimed_run = False
        self.silent_since_s: float | None = None
        self._refused_s: float | None = None
        self._heard_s = now
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

    @property
    def token(self) -> int:
        """Fencing token of the commands to the incarnation."""
        return self._token

    def is_usable(self, now: float) -> bool:
        """Returns whether new runs may be started on the back end now."""
        return (
            self.has_listed_runs
            and self.is_listed
            and not self.listed.is_draining
            and self.silent_since_s is None
            and self.pause_until_s <= now
            and self.may_extend_lease(now)
        )

    def may_extend_lease(self, now: float) -> bool:
        """Returns whether the lease of all runs may be renewed.

        It may not while a run that must end has not confirmed its stop, or
        while a run may belong to a job that runs elsewhere: such runs must end
        with the lease.
        """
        return not self.lists_unclaimed_run and not any(
            run.must_end_s is not None
            and run.state is not RunState.STOPPED
            and now - run.must_end_s > STOP_CONFIRMATION_S
            for run in self.run_by_task.values()
        )

    def outage(self, now: float) -> Outage:
        """Returns for how long it has been silent and refused connections."""
        if self.silent_since_s is None:
            return NO_OUTAGE
        if self._refused_s is None:
            return Outage(now - self._heard_s)
        return Outage(self._refused_s - self._heard_s, now - self._refused_s)

    @property
    def has_unstored_completions(self) -> bool:
        """Whether it lists completions that the log does not have yet."""
        return len(self._known_completions) > len(self._stored)

    def update_listing(self, listed: ListedBackend) -> bool:
        """Applies a newer directory entry of the incarnation.

        Returns:
            Whether its capacity has changed.
        """
        is_resized = listed.capacity != self.listed.capacity
        self.listed = listed
        self._update_free()
        return is_resized

    def add(self, run: Run) -> None:
        """Adds a commanded or listed run and reserves its capacity."""
        self.run_by_task[run.task] = run
        self._used = self._used.plus(run.needs)
        self._update_free()

    def drop(self, task: TaskKey) -> Run | None:
        """Removes a run that has certainly ended and frees its capacity."""
        run = self.run_by_task.pop(task, None)
        if run is not None:
            self._used = self._used.minus(run.needs)
            self._update_free()
        return run

    def reserve(self, task: TaskKey | None) -> None:
        """Starts no runs but that of a task, or with ``None`` any again."""
        self._reserved_for = task
        self._update_free()

    def is_empty_for(self, task: TaskKey) -> bool:
        """Returns whether a task would be alone here."""
        return not self.run_by_task and self._reserved_for in {None, task}

    def _update_free(self) -> None:
        is_taken = self._reserved_for is not None or any(
            run.is_alone for run in self.run_by_task.values()
        )
        self.free = (
            NOTHING_FREE if is_taken else self.listed.capacity.minus(self._used)
        )

    def lease_clock_ms(self, now: float, lease_s: float) -> int | None:
        """Returns the end of a lease of ``lease_s`` that starts now.

        Returns:
            Time on the back end's clock in ms, or ``None`` if the clock was
            never read.
        """
        if self.clock is None:
            return None
        return self.clock.estimate_ms(now) + int(lease_s * 1000)

    def record_lease_sent(self, now: float, lease_s: float = LEASE_S) -> None:
        """Records a call that may renew the lease, answered or not."""
        renewed_s = now + lease_s * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
        self.lease_end_s = max(self.lease_end_s, renewed_s)

    def record_no_answer(
        self, sent_s: float, renews: bool, reset_s: float | None = None
    ) -> None:
        """Records a call without an answer.

        Args:
            sent_s: Time at which the call was sent, in seconds.
            renews: Whether the call renews the lease if it is executed.
            reset_s: Time in seconds at which its connection was reset, so that
                the back end waited for a completion until then.
        """
        if self.silent_since_s is None:
            self.silent_since_s = sent_s
            self._heard_s = sent_s if reset_s is None else reset_s
        if renews:
            self._unanswered_s = max(self._unanswered_s, sent_s)

    def record_refusal(self, now: float) -> bool:
        """Records a refused connection.

        Returns:
            Whether it is the first one since the last answer.
        """
        is_first = self._refused_s is None
        if is_first:
            self._refused_s = now
        return is_first

    def record_answer(self, clock_ms: int | None, now: float) -> None:
        """Records the answer to a call.

        If an earlier call got no answer, its command may still be executed
        and renew the lease, as the back end is reachable.
        """
        self.silent_since_s = None
        self._refused_s = None
        if self._unanswered_s > -math.inf:
            self.record_lease_sent(self._unanswered_s + LATE_COMMAND_S)
            self._unanswered_s = -math.inf
        if clock_ms is not None:
            self.clock = ClockReading(clock_ms, now)

    def new_completions(self, answer: RenewalAnswer) -> list[FinishedRun]:
        """Returns the completions that were not listed before."""
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
        """Records that a completion is stored or need not be stored."""
        self._stored.add(number)
        while self.acknowledged + 1 in self._stored:
            self.acknowledged += 1
            self._stored.discard(self.acknowledged)
            self._known_completions.discard(self.acknowledged)

    def acknowledge_before(self, first_number: int) -> None:
        """Marks completions before the first listed one as acknowledged.

        An earlier owner acknowledged them, so the back end no longer lists
        them.
        """
        if not self._known_completions and first_number > self.acknowledged + 1:
            self.acknowledged = first_number - 1


def has_lapsed(runs: BackendRuns, now: float) -> bool:
    """Returns whether the lease of all confirmed runs has lapsed.

    They have then ended although the back end does not answer.
    """
    return runs.silent_since_s is not None and now > runs.lease_end_s


def needs_storing(completion: FinishedRun) -> bool:
    """Returns whether a completion is final and so belongs in the log."""
    return completion.result in {RunResult.DONE, RunResult.FAILED}


def find_absent_runs(
    runs: BackendRuns,
    active: tuple[ActiveRun, ...],
) -> list[Run]:
    """Returns the known runs that a back end does not list as running."""
    present = {(entry.task, entry.run) for entry in active}
    return [
        run
        for run in runs.run_by_task.values()
        if (run.task, run.number) not in present
    ]
