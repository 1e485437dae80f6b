"""What a home remembers of the submissions that only it may start."""

from camphorlink.internal.core.request.identifiers import MS_PER_S, SubmissionId
from camphorlink.internal.core.request.job import Answer, Job, not_run, unknown
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.reasons import Reason

#: An identifier older than this is refused for good, in seconds.
ISSUE_WINDOW_S = 600.0
#: How far the clock of an issuer may run ahead, in seconds.
MAX_CLOCK_SKEW_S = 60.0


class HomeTable:
    """Bounded memory of submissions, by identifier.

    A refusal is remembered like an answer: once a caller was told that a
    submission was not run, a late copy of it must not start either.  What
    was evicted is older than the issue window, or makes the floor rise, so
    it can't be taken for new.
    """

    def __init__(self, max_entries: int) -> None:
        """Starts empty, with room for ``max_entries`` submissions."""
        self._max_entries = max_entries
        self._run_by_id: dict[str, JobRun] = {}
        self._floor_ms = 0

    def __len__(self) -> int:
        return len(self._run_by_id)

    def find(self, submission_id: str) -> JobRun | None:
        """Returns what is remembered of a submission."""
        return self._run_by_id.get(submission_id)

    def refusal(
        self, submission_id: SubmissionId, wall_s: float
    ) -> Answer | None:
        """Says why an identifier that is not in the table may not start.

        Args:
            submission_id: An identifier whose home this is.
            wall_s: Wall-clock time, in seconds since the epoch.

        Returns:
            The answer for its caller, or ``None`` if it may start.
        """
        oldest_ms = (wall_s - ISSUE_WINDOW_S) * MS_PER_S
        if submission_id.issued_ms < max(oldest_ms, self._floor_ms):
            return unknown(Reason.IDENTIFIER_EXPIRED)
        newest_ms = (wall_s + MAX_CLOCK_SKEW_S) * MS_PER_S
        if submission_id.issued_ms > newest_ms:
            return not_run(Reason.BAD_IDENTIFIER, 'issued in the future')
        return None

    def open_run(
        self,
        submission_id: SubmissionId,
        job: Job,
        version: int,
    ) -> JobRun:
        """Remembers a submission before any of its tasks may start."""
        run = JobRun(str(submission_id), job, version)
        self._run_by_id[run.submission_id] = run
        self._evict()
        return run

    def open_runs(self) -> list[JobRun]:
        """Lists the submissions whose answer is still to come."""
        return [run for run in self._run_by_id.values() if run.is_open]

    def _evict(self) -> None:
        surplus = len(self._run_by_id) - self._max_entries
        if surplus <= 0:
            return
        closed = [
            key for key, run in self._run_by_id.items() if not run.is_open
        ]
        for key in closed[:surplus]:
            self._run_by_id.pop(key)
            issued_ms = int(key.rsplit('.', 1)[1][:12], 16)
            self._floor_ms = max(self._floor_ms, issued_ms + 1)
