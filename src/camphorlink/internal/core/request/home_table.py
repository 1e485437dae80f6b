"""Bounded table of the submissions that only one home may start.

A submission is stored in one of three forms, each smaller than the one
before: an open run, a closed run with its whole answer, and an *ending*, which
is the outcome and its reason only.  When memory is short, answers are evicted
first, then endings, oldest issue time first.  Evicting an ending raises the
floor above its issue time, so that an evicted submission is never accepted as
new.
"""

import heapq
from collections import deque
from typing import NamedTuple

from camphorlink.internal.core.request.identifiers import (
    MS_PER_S,
    NONCE_BITS,
    SubmissionId,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import (
    Answer,
    Job,
    Outcome,
    build_not_run_answer,
    build_unknown_answer,
)
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.payload_size import answer_bytes
from camphorlink.internal.core.request.reasons import Reason

#: An identifier older than this is refused permanently.
ISSUE_WINDOW_S = 600.0
#: Maximum lead of the clock of an issuing process.
MAX_CLOCK_SKEW_S = 60.0
DEFAULT_ANSWER_BYTES = 32 * 1024 * 1024
DEFAULT_MAX_ENDINGS = 100_000
FULL_RETRY_S = 1.0
#: Above every issue time that an identifier can hold (48 bits).
ISSUED_MS_LIMIT = 1 << 48


class TableLimits(NamedTuple):
    """Limits of the memory that a table uses.

    Attributes:
        max_entries: Maximum number of open runs, and of closed runs with
            their answer.
        answer_bytes: Maximum memory of the stored answers, in bytes.
        max_endings: Maximum number of submissions of which only the outcome
            is stored.
    """

    max_entries: int
    answer_bytes: int = DEFAULT_ANSWER_BYTES
    max_endings: int = DEFAULT_MAX_ENDINGS


class Ending(NamedTuple):
    """Outcome of a submission whose answer is not stored.

    Attributes:
        outcome: Outcome of the submission.
        reason: Reason of the outcome, or ``None`` if it completed.
    """

    outcome: Outcome
    reason: Reason | None


class HomeTable:
    """Bounded table of submissions by identifier.

    A refusal is stored like an answer: after a caller has received "not run",
    a late copy of the submission must not start either.
    """

    def __init__(self, limits: TableLimits) -> None:
        """Creates an empty table with the given memory limits."""
        self.limits = limits
        self.endings = Endings(limits.max_endings)
        self.open_count = 0
        self.held_bytes = 0
        self._run_by_id: dict[str, JobRun] = {}
        self._closed: deque[JobRun] = deque()

    def __len__(self) -> int:
        return len(self._run_by_id)

    @property
    def is_full(self) -> bool:
        """Whether another open run would exceed ``max_entries``."""
        return self.open_count >= self.limits.max_entries

    def find(self, submission_id: str) -> JobRun | None:
        """Returns the run of a submission, open or closed with its answer."""
        return self._run_by_id.get(submission_id)

    def refusal(
        self, submission_id: SubmissionId, wall_s: float
    ) -> Answer | None:
        """Returns the refusal of an identifier that has no run in this table.

        Args:
            submission_id: An identifier of the home of this table.
            wall_s: Wall-clock time, in seconds since the epoch.

        Returns:
            The answer for the caller, or ``None`` if the submission may start.
        """
        ending = self.endings.find(submission_id)
        if ending is not None:
            return _build_ended_answer(ending)
        oldest_ms = oldest_issue_ms(wall_s)
        if submission_id.issued_ms < max(oldest_ms, self.endings.floor_ms):
            return self._build_expired_answer(submission_id)
        newest_ms = (wall_s + MAX_CLOCK_SKEW_S) * MS_PER_S
        if submission_id.issued_ms > newest_ms:
            # Not "not run": a copy that arrives later may be in the window.
            return build_unknown_answer(
                Reason.BAD_IDENTIFIER, 'issued in the future'
            )
        return None

    def open_run(
        self,
        submission_id: SubmissionId,
        job: Job,
        version: int,
    ) -> JobRun:
        """Adds a submission; must precede the start of any of its tasks."""
        run = JobRun(str(submission_id), job, version, self._record_closed)
        self._run_by_id[run.submission_id] = run
        self.open_count += 1
        return run

    def refuse(self, submission_id: SubmissionId, answer: Answer) -> None:
        """Records that a submission was refused and must never start."""
        self.endings.add(submission_id, Ending(answer.outcome, answer.reason))

    def open_runs(self) -> list[JobRun]:
        """Returns the runs that have no answer yet."""
        return [run for run in self._run_by_id.values() if run.is_open]

    def closed_runs(self) -> list[JobRun]:
        """Returns the runs whose answer is stored, oldest answer first."""
        return list(self._closed)

    def restore(self, run: JobRun) -> None:
        """Adds a closed run of a table that another process handed over."""
        self._run_by_id[run.submission_id] = run
        self.open_count += 1
        self._record_closed(run)

    def expire(self) -> None:
        """Clears the table and refuses all of its identifiers permanently."""
        self._run_by_id.clear()
        self._closed.clear()
        self.held_bytes = 0
        self.endings = Endings(self.limits.max_endings)
        self.endings.raise_ran_floor(ISSUED_MS_LIMIT)

    def _record_closed(self, run: JobRun) -> None:
        self.open_count -= 1
        if run.answer is not None:
            run.held_bytes = answer_bytes(run.answer)
        self.held_bytes += run.held_bytes
        self._closed.append(run)
        while self._closed and self._is_over_budget():
            self._forget_answer(self._closed.popleft())

    def _is_over_budget(self) -> bool:
        has_too_many_runs = len(self._closed) > self.limits.max_entries
        return has_too_many_runs or self.held_bytes > self.limits.answer_bytes

    def _forget_answer(self, run: JobRun) -> None:
        self.held_bytes -= run.held_bytes
        self._run_by_id.pop(run.submission_id)
        if run.answer is not None:
            ending = Ending(run.answer.outcome, run.answer.reason)
            self.endings.add(parse_submission_id(run.submission_id), ending)

    def _build_expired_answer(self, submission_id: SubmissionId) -> Answer:
        if submission_id.issued_ms >= self.endings.ran_floor_ms:
            # No submission that ran was evicted from this issue time on, and
            # the floor never decreases: it has not run and never will.
            return build_not_run_answer(Reason.IDENTIFIER_EXPIRED)
        return build_unknown_answer(Reason.IDENTIFIER_EXPIRED)


class Endings:
    """Bounded map from identifiers to endings, evicted oldest first.

    Endings are grouped into buckets of one second of issue time.  An eviction
    costs O(1) for each ending, and the heap of buckets is no longer than the
    issue window.

    Attributes:
        floor_ms: Issue time below which no submission may start, epoch ms.
        ran_floor_ms: Issue time below which an evicted submission may have
            run, epoch ms.
    """

    def __init__(self, max_endings: int) -> None:
        """Creates an empty map with both floors at the epoch."""
        self.floor_ms = 0
        self.ran_floor_ms = 0
        self._max_endings = max_endings
        self._ending_by_key: dict[int, Ending] = {}
        self._keys_by_second: dict[int, list[int]] = {}
        self._seconds: list[int] = []
        self._ending_by_value: dict[Ending, Ending] = {}

    def __len__(self) -> int:
        return len(self._ending_by_key)

    def find(self, submission_id: SubmissionId) -> Ending | None:
        """Returns the ending of a submission, or ``None`` if none is stored."""
        return self._ending_by_key.get(submission_id.key)

    def add(self, submission_id: SubmissionId, ending: Ending) -> None:
        """Stores the ending of a submission, unless one is stored already."""
        self.add_key(submission_id.key, ending)

    def add_key(self, key: int, ending: Ending) -> None:
        """Stores an ending under the number form of its identifier."""
        if key in self._ending_by_key:
            return
        shared_ending = self._ending_by_value.setdefault(ending, ending)
        self._ending_by_key[key] = shared_ending
        second = _issued_ms(key) // MS_PER_S
        if second not in self._keys_by_second:
            self._keys_by_second[second] = []
            heapq.heappush(self._seconds, second)
        self._keys_by_second[second].append(key)
        while len(self._ending_by_key) > self._max_endings:
            self._forget_second(heapq.heappop(self._seconds))

    def raise_floor(self, floor_ms: int) -> None:
        """Refuses identifiers issued before ``floor_ms`` from now on."""
        self.floor_ms = max(self.floor_ms, floor_ms)

    def raise_ran_floor(self, floor_ms: int) -> None:
        """Records that evicted submissions may have run before ``floor_ms``."""
        self.ran_floor_ms = max(self.ran_floor_ms, floor_ms)
        self.raise_floor(floor_ms)

    def all_by_key(self) -> dict[int, Ending]:
        """Returns all endings by the number form of their identifiers."""
        return dict(self._ending_by_key)

    def _forget_second(self, second: int) -> None:
        for key in self._keys_by_second.pop(second):
            ending = self._ending_by_key.pop(key)
            above_ms = _issued_ms(key) + 1
            if ending.outcome is Outcome.NOT_RUN:
                self.raise_floor(above_ms)
            else:
                self.raise_ran_floor(above_ms)


def oldest_issue_ms(wall_s: float) -> int:
    """Returns the issue time in ms below which identifiers have expired."""
    return int((wall_s - ISSUE_WINDOW_S) * MS_PER_S)


def _build_ended_answer(ending: Ending) -> Answer:
    if ending.outcome is Outcome.NOT_RUN:
        return build_not_run_answer(ending.reason or Reason.ANSWER_GONE)
    cause = f': {ending.reason.value}' if ending.reason else ''
    detail = f'it ended as {ending.outcome.value}{cause}'
    if ending.outcome is Outcome.FAILED:
        return Answer(
            Outcome.FAILED,
            {},
            reason=Reason.ANSWER_GONE,
            detail=detail,
        )
    return build_unknown_answer(Reason.ANSWER_GONE, detail)


def _issued_ms(key: int) -> int:
    return key >> NONCE_BITS
