"""Outlier ejection, gradual re-admission and slow start of back ends.

A back end is ejected when it fails the tasks of several jobs while the other
back ends don't.  If a job fails on several back ends, the failures are
attributed to the job and removed from the windows of these back ends.  At most
a fixed share of the back ends is ejected at a time: when most of them fail,
the cause lies elsewhere.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.request.reasons import Reason

WINDOW_ATTEMPTS = 10
#: Distinct jobs that must fail on a back end before it is ejected.
MIN_FAILED_JOBS = 3
#: Share of failed attempts in the window from which a back end is ejected.
EJECT_SHARE = 0.5
#: The median failure share of the other back ends must be below this multiple
#: of the outlier's failure share.
OTHERS_SHARE = 0.5
#: Share of a zone's back ends that may be ejected at the same time.
MAX_EJECTED_SHARE = 0.3
#: Back ends on which a job must fail before the failures are attributed to
#: the job.
JOB_FAULT_BACKENDS = 3
#: Consecutive quick failures, of at least ``QUICK_JOBS`` jobs, after which a
#: back end is ejected without waiting for ``MIN_FAILED_JOBS``.
QUICK_FAILURES = 3
QUICK_JOBS = 2
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
#: Factor by which a VM extends an ejection that a peer reported, so that the
#: peer sends the first probe.
PEER_EJECTION_FACTOR = 1.5
LEAVING_EJECTION_S = 60.0
CONNECT_EJECTION_S = 0.5
MAX_TRACKED_JOBS = 1024


class AttemptResult(NamedTuple):
    """Result of one attempt to run a task, as kept in a back end's window."""

    submission_id: str
    is_failure: bool
    is_quick: bool = False


class BackendHealth:
    """Recent attempts on one back end, its ejections and its task limit."""

    def __init__(self, load: BackendLoad, now: float) -> None:
        """Creates an empty window; the limit of ``load`` is not changed."""
        self.load = load
        self.window: deque[AttemptResult] = deque(maxlen=WINDOW_ATTEMPTS)
        self.ejected_until_s: float | None = None
        self._ejections = 0
        self._successes = 0
        self._last_ejected_s = now

    @property
    def failure_share(self) -> float:
        """Share of the attempts in the window that failed."""
        if not self.window:
            return 0
        failed = sum(result.is_failure for result in self.window)
        return failed / len(self.window)

    @property
    def failed_jobs(self) -> int:
        """Number of distinct jobs with a failed attempt in the window."""
        return len(
            {
                result.submission_id
                for result in self.window
                if result.is_failure
            },
        )

    @property
    def fails_quickly(self) -> bool:
        """Whether the last attempts all failed before the work could be done.

        They must belong to at least ``QUICK_JOBS`` jobs.
        """
        last = tuple(self.window)[-QUICK_FAILURES:]
        jobs = {result.submission_id for result in last if result.is_quick}
        is_full = len(last) == QUICK_FAILURES
        all_quick = all(result.is_quick for result in last)
        return is_full and all_quick and len(jobs) >= QUICK_JOBS

    def note_success(self) -> None:
        """Doubles the task limit after as many successes as the limit."""
        load = self.load
        if load.limit >= load.backend.slots:
            return
        self._successes += 1
        if self._successes >= load.limit:
            self._successes = 0
            load.limit = min(max(load.limit, 1) * 2, load.backend.slots)

    def eject(self, now: float, period_s: float) -> None:
        """Sets the task limit to 0 for the period."""
        self.ejected_until_s = now + period_s
        self._last_ejected_s = now
        self.load.limit = 0

    def eject_longer(self, now: float) -> float:
        """Ejects the back end with exponential back-off.

        The back-off starts again from ``FIRST_EJECTION_S`` if the last
        ejection began more than ``2 * MAX_EJECTION_S`` ago.

        Returns:
            Period of the ejection, in seconds.
        """
        if now - self._last_ejected_s > MAX_EJECTION_S * 2:
            self._ejections = 0
        period_s = min(FIRST_EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
        self._ejections += 1
        self.eject(now, period_s)
        return period_s

    def extend_ejection(self, now: float, period_s: float) -> None:
        """Ejects for at least the period, without raising the back-off."""
        self.eject(now, max(period_s, (self.ejected_until_s or now) - now))

    def readmit(self) -> None:
        """Ends the ejection and allows one task at a time as a probe."""
        self.ejected_until_s = None
        self.window.clear()
        self._successes = 0
        self.load.limit = 1


class HealthGuard:
    """Ejects the back ends of a zone that fail more often than the others."""

    def __init__(self) -> None:
        """Creates a guard without back ends; see ``install``."""
        self._health_by_backend: dict[str, BackendHealth] = {}
        self._backends_by_job: OrderedDict[str, set[str]] = OrderedDict()

    def install(self, loads: Iterable[BackendLoad], now: float) -> None:
        """Replaces the back ends; known ones keep their health."""
        known = self._health_by_backend
        self._health_by_backend = {
            load.backend.name: known.get(load.backend.name)
            or BackendHealth(load, now)
            for load in loads
        }

    def check(self, now: float) -> list[str]:
        """Re-admits back ends whose ejection has ended.

        Returns:
            Names of the re-admitted back ends.
        """
        due = [
            health
            for health in self._health_by_backend.values()
            if health.ejected_until_s is not None
            and health.ejected_until_s <= now
        ]
        for readmitted in due:
            readmitted.readmit()
        return [known.load.backend.name for known in due]

    def note_success(self, backend: str, submission_id: str) -> None:
        """Records that a back end finished a task."""
        health = self._health_by_backend.get(backend)
        if health is not None:
            health.window.append(AttemptResult(submission_id, is_failure=False))
            health.note_success()

    def note_refusal(self, backend: str, reason: Reason, now: float) -> None:
        """Records that a back end refused a task or was not reachable.

        It is ejected for a while, except when it was only busy.
        """
        health = self._health_by_backend.get(backend)
        if health is None or reason is Reason.BACKEND_BUSY:
            return
        if reason is Reason.BACKEND_LEAVING:
            health.eject(now, LEAVING_EJECTION_S)
        elif health.load.limit == 1:
            health.eject_longer(now)
        else:
            health.eject(now, CONNECT_EJECTION_S)

    def note_failure(
        self,
        backend: str,
        submission_id: str,
        now: float,
        *,
        is_quick: bool = False,
    ) -> float | None:
        """Records that a back end failed or lost a task.

        Args:
            backend: Name of the back end.
            submission_id: Job of the task.
            now: Core time in seconds.
            is_quick: Whether it failed in far less time than the work needs.

        Returns:
            Period of a new ejection in seconds, or ``None`` if the back end
            is not ejected by this failure.
        """
        health = self._health_by_backend.get(backend)
        if health is None or self._is_job_fault(backend, submission_id):
            return None
        health.window.append(AttemptResult(submission_id, True, is_quick))
        if health.ejected_until_s is not None:
            return None
        # With a limit of 1 the task is a probe; its failure ejects at once.
        is_outlier = health.load.limit == 1 or self._is_outlier(health)
        if is_outlier and self._may_eject():
            return health.eject_longer(now)
        return None

    def hear_suspicion(
        self,
        backend: str,
        period_s: float,
        now: float,
    ) -> None:
        """Handles a report that a peer has ejected a back end.

        If this VM has seen no failure of the back end, it only limits it to
        one task, as the fault may lie with the peer.  Otherwise it ejects the
        back end for longer than the peer, so that the peer probes it first.
        """
        health = self._health_by_backend.get(backend)
        if health is None:
            return
        is_ejected = health.ejected_until_s is not None
        if is_ejected or (health.failure_share > 0 and self._may_eject()):
            health.extend_ejection(now, period_s * PEER_EJECTION_FACTOR)
        else:
            health.load.limit = min(health.load.limit, 1)

    def _is_job_fault(self, backend: str, submission_id: str) -> bool:
        backends = self._backends_by_job.setdefault(submission_id, set())
        backends.add(backend)
        while len(self._backends_by_job) > MAX_TRACKED_JOBS:
            self._backends_by_job.popitem(last=False)
        if len(backends) < JOB_FAULT_BACKENDS:
            return False
        for name in backends:
            self._discard_results(name, submission_id)
        return True

    def _discard_results(self, backend: str, submission_id: str) -> None:
        health = self._health_by_backend.get(backend)
        if health is None:
            return
        kept = [
            result
            for result in health.window
            if result.submission_id != submission_id
        ]
        health.window = deque(kept, maxlen=WINDOW_ATTEMPTS)

    def _is_outlier(self, health: BackendHealth) -> bool:
        share = health.failure_share
        has_failed = health.failed_jobs >= MIN_FAILED_JOBS
        if not (health.fails_quickly or (has_failed and share >= EJECT_SHARE)):
            return False
        others = sorted(
            other.failure_share
            for other in self._health_by_backend.values()
            if other is not health and other.ejected_until_s is None
        )
        if not others:
            return False
        return others[len(others) // 2] < OTHERS_SHARE * share

    def _may_eject(self) -> bool:
        healths = self._health_by_backend.values()
        ejected = sum(health.ejected_until_s is not None for health in healths)
        return ejected < max(1, int(MAX_EJECTED_SHARE * len(healths)))
