"""Run time estimates that are corrected by measured runs.

Callers' estimates are off by 40% and more, and the speeds of back ends differ
by more than a factor of 2.  The expected time of a run is the caller's estimate
times the factor of its queue, divided by the speed of its back end; both are
learned from successful runs.
"""

import math
from typing import NamedTuple

#: Weight of a new measurement in a moving average over about ten runs.
LEARNING_RATE = 0.1
#: The same for the speed of one back end, so that a slow one is detected within
#: a few runs.
BACKEND_RATE = 0.25
#: Share of the difference between a back end's speed and that of its kind that
#: is removed at each heartbeat of 0.2 s, so that a back end that was slow gets
#: runs again soon.
RELAXATION = 0.03
#: Bounds on one measurement, which limit the effect of an outlier.
MIN_RATIO = 0.1
MAX_RATIO = 10.0
#: Number of runs on a back end at which its own speed and that of its kind have
#: equal weight.
FIRST_RUNS = 4


class RunTime(NamedTuple):
    """Measured time of a successful run.

    Attributes:
        queue: Queue of the job.
        kind: Kind of the back end, empty if unknown.
        backend_id: Identifier of the back end.
        estimate_s: The caller's estimate of the run time, in seconds.
        run_s: Measured run time, in seconds.
    """

    queue: str
    kind: str
    backend_id: str
    estimate_s: float
    run_s: float


class RunSpeeds:
    """Learns estimate factors per queue, and speeds per kind and back end.

    Only the ratio of a factor and a speed shows in a run time, so that both
    could grow without bounds.  Both are therefore divided by the mean of the
    factors over the queues: on average, the estimates are right, and response
    time objectives, which follow from the factors, do not depend on how many of
    the back ends are slow.  All averages are geometric; arithmetic ones of a ratio
    and of its inverse would both grow with the errors of the estimates.
    """

    def __init__(self) -> None:
        """Creates the model with all factors and speeds 1."""
        self._factor_by_queue: dict[str, _Average] = {}
        self._speed_by_kind: dict[str, _Average] = {}
        self._speed_by_backend: dict[str, _Average] = {}
        self._kind_by_backend: dict[str, str] = {}
        #: Logarithm of the mean of the factors.
        self._scale_log = 0.0

    def speed_of(self, kind: str, backend_id: str) -> float:
        """Returns the expected speed of a back end.

        It is the mean of the back end's own speed and that of its kind,
        weighted by the number of runs on the back end.
        """
        return math.exp(self._log_speed_of(kind, backend_id) - self._scale_log)

    def work_s(self, queue: str, estimate_s: float) -> float:
        """Returns the expected run time of a task at speed 1, in seconds."""
        factor = self._factor_by_queue.get(queue)
        if factor is None:
            return estimate_s
        return estimate_s * math.exp(factor.log - self._scale_log)

    def record(self, run: RunTime) -> None:
        """Updates the factor and the speeds with a successful run."""
        if run.estimate_s <= 0 or run.run_s <= 0:
            return
        log_ratio = math.log(
            min(max(run.run_s / run.estimate_s, MIN_RATIO), MAX_RATIO)
        )
        log_speed = self._log_speed_of(run.kind, run.backend_id)
        scale_log = self._scale_log
        factor = self._factor_by_queue.setdefault(
            run.queue, _Average(scale_log)
        )
        factor.add(log_ratio + log_speed, LEARNING_RATE)
        measured = factor.log - log_ratio
        kind_speed = self._speed_by_kind.setdefault(
            run.kind, _Average(scale_log)
        )
        kind_speed.add(measured, LEARNING_RATE)
        if self._kind_by_backend.get(run.backend_id) != run.kind:
            # Its former incarnation was of another kind.
            self._kind_by_backend[run.backend_id] = run.kind
            self._speed_by_backend.pop(run.backend_id, None)
        own_speed = self._speed_by_backend.setdefault(
            run.backend_id, _Average(kind_speed.log)
        )
        own_speed.add(measured, BACKEND_RATE)
        factors = self._factor_by_queue.values()
        self._scale_log = sum(known.log for known in factors) / len(factors)

    def relax(self) -> None:
        """Moves each back end's speed a little towards that of its kind."""
        for backend_id, kind in self._kind_by_backend.items():
            own_speed = self._speed_by_backend[backend_id]
            kind_log = self._speed_by_kind[kind].log
            own_speed.log += RELAXATION * (kind_log - own_speed.log)

    def _log_speed_of(self, kind: str, backend_id: str) -> float:
        kind_speed = self._speed_by_kind.get(kind)
        kind_log = self._scale_log if kind_speed is None else kind_speed.log
        own_speed = self._speed_by_backend.get(backend_id)
        if own_speed is None or self._kind_by_backend[backend_id] != kind:
            return kind_log
        weight = own_speed.count / (own_speed.count + FIRST_RUNS)
        return own_speed.log * weight + kind_log * (1 - weight)


class _Average:
    """Geometric moving average, which starts as the mean of its values."""

    __slots__ = ('count', 'log')

    def __init__(self, log: float) -> None:
        self.log = log
        self.count = 0

    def add(self, log: float, rate: float) -> None:
        self.count += 1
        self.log += max(rate, 1 / (self.count + 1)) * (log - self.log)
