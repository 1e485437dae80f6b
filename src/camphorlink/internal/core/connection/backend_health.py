"""Outlier ejection, slow re-admission and slow start of back ends.

A back end is ejected when it fails the tasks of several jobs while the
others do not.  A job that fails at several back ends is the job's own
fault and is not held against them.  Never more than a share of a service's
back ends is ejected: when most fail, the fault is elsewhere.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.request.reasons import Reason

WINDOW_ATTEMPTS = 10
#: Distinct jobs that must have failed before a back end is ejected.
MIN_FAILED_JOBS = 3
EJECT_SHARE = 0.5
#: Other back ends must fail less than this share of what the outlier fails.
OTHERS_SHARE = 0.5
#: Share of a service's back ends that may be ejected at once.
MAX_EJECTED_SHARE = 0.3
#: Back ends that must fail a job before the failure counts as the job's own.
JOB_FAULT_BACKENDS = 3
#: Quick failures in a row, of two jobs or more, that eject at once.
QUICK_FAILURES = 3
QUICK_JOBS = 2
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
#: Peers of who ejects a back end probe it later by this factor.
PEER_EJECTION_FACTOR = 1.5
LEAVING_EJECTION_S = 60.0
CONNECT_EJECTION_S = 0.5
MAX_TRACKED_JOBS = 1024


class AttemptResult(NamedTuple):
    """What became of one try, for the window of a back end."""

    submission_id: str
    is_failure: bool
    is_quick: bool = False


class BackendHealth:
    """Recent outcomes of one back end, and how much it may be given."""

    def __init__(self, load: BackendLoad, now: float) -> None:
        """Starts slowly: an unknown back end gets few tasks at first."""
        self.load = load
        self.window: deque[AttemptResult] = deque(maxlen=WINDOW_ATTEMPTS)
        self.ejected_until_s: float | None = None
        self._ejections = 0
        self._successes = 0
        self._last_ejected_s = now

    @property
    def failure_share(self) -> float:
        """Share of the window that failed."""
        if not self.window:
            return 0
        failed = sum(result.is_failure for result in self.window)
        return failed / len(self.window)

    @property
    def failed_jobs(self) -> int:
        """Distinct jobs of the window that failed."""
        return len(
            {
                result.submission_id
                for result in self.window
                if result.is_failure
            },
        )

    @property
    def fails_quickly(self) -> bool:
        """Whether it fails everything long before the work could be done."""
        last = tuple(self.window)[-QUICK_FAILURES:]
        jobs = {result.submission_id for result in last if result.is_quick}
        is_full = len(last) == QUICK_FAILURES
        all_quick = all(result.is_quick for result in last)
        return is_full and all_quick and len(jobs) >= QUICK_JOBS

    def note_success(self) -> None:
        """Doubles what the back end may be given, after as many successes."""
        load = self.load
        if load.limit >= load.backend.slots:
            return
        self._successes += 1
        if self._successes >= load.limit:
            self._successes = 0
            load.limit = min(max(load.limit, 1) * 2, load.backend.slots)

    def eject(self, now: float, period_s: float) -> None:
        """Gives it nothing until the period is over."""
        self.ejected_until_s = now + period_s
        self._last_ejected_s = now
        self.load.limit = 0

    def eject_longer(self, now: float) -> float:
        """Ejects for twice as long as the last time; returns the period."""
        if now - self._last_ejected_s > MAX_EJECTION_S * 2:
            self._ejections = 0
        period_s = min(FIRST_EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
        self._ejections += 1
        self.eject(now, period_s)
        return period_s

    def extend_ejection(self, now: float, period_s: float) -> None:
        """Ejects for at least the period, without counting an ejection."""
        self.eject(now, max(period_s, (self.ejected_until_s or now) - now))

    def readmit(self) -> None:
        """Lets one probe through."""
        self.ejected_until_s = None
        self.window.clear()
        self._successes = 0
        self.load.limit = 1


class HealthGuard:
    """Judges the back ends of a zone against each other."""

    def __init__(self) -> None:
        """Starts with no back end."""
        self._health_by_backend: dict[str, BackendHealth] = {}
        self._backends_by_job: OrderedDict[str, set[str]] = OrderedDict()

    def install(self, loads: Iterable[BackendLoad], now: float) -> None:
        """Takes over the back ends of a new version."""
        known = self._health_by_backend
        self._health_by_backend = {
            load.backend.name: known.get(load.backend.name)
            or BackendHealth(load, now)
            for load in loads
        }

    def check(self, now: float) -> list[str]:
        """Re-admits whose time is over; returns their names."""
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
        """Learns that a back end finished a task."""
        health = self._health_by_backend.get(backend)
        if health is not None:
            health.window.append(AttemptResult(submission_id, is_failure=False))
            health.note_success()

    def note_refusal(self, backend: str, reason: Reason, now: float) -> None:
        """Learns that a back end took nothing; it gets nothing for a while."""
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
        """Learns that a back end failed or lost a task.

        Args:
            backend: Name of the back end.
            submission_id: Job of the task.
            now: Core time in seconds.
            is_quick: Whether it took far less time than the work needs.

        Returns:
            Seconds for which it is ejected now, or ``None``.
        """
        health = self._health_by_backend.get(backend)
        if health is None or self._is_job_fault(backend, submission_id):
            return None
        health.window.append(AttemptResult(submission_id, True, is_quick))
        if health.ejected_until_s is not None:
            return None
        # A probe decides alone.
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
        """Learns that a peer has ejected a back end.

        Who has seen no failure there only becomes careful: the fault may be
        the peer's.  The others leave the first probe to the peer.
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
