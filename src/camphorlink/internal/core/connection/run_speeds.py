"""Run time estimates that are corrected by measured runs.

Callers' estimates are off by 40% and more, and the speeds of back ends differ
by more than a factor of 2.  The expected time of a run is the caller's estimate
times the factor of its queue, divided by the speed of its back end; both are
learned from successful runs.
"""

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
    """Learns estimate factors per queue, and speeds per kind and back end."""

    def __init__(self) -> None:
        """Creates the model with all factors and speeds 1."""
        self._factor_by_queue: dict[str, float] = {}
        self._speed_by_kind: dict[str, float] = {}
        self._speed_by_backend: dict[str, float] = {}
        self._runs_by_backend: dict[str, int] = {}
        self._kind_by_backend: dict[str, str] = {}

    def speed_of(self, kind: str, backend_id: str) -> float:
        """Returns the expected speed of a back end.

        It is the mean of the back end's own speed and that of its kind,
        weighted by the number of runs on the back end.
        """
        kind_speed = self._speed_by_kind.get(kind, 1.0)
        runs = self._runs_by_backend.get(backend_id, 0)
        own_speed = self._speed_by_backend.get(backend_id, kind_speed)
        weight = runs / (runs + FIRST_RUNS)
        return own_speed * weight + kind_speed * (1 - weight)

    def work_s(self, queue: str, estimate_s: float) -> float:
        """Returns the expected run time of a task at speed 1, in seconds."""
        return estimate_s * self._factor_by_queue.get(queue, 1.0)

    def record(self, run: RunTime) -> None:
        """Updates the factor and the speeds with a successful run."""
        if run.estimate_s <= 0 or run.run_s <= 0:
            return
        speed = self.speed_of(run.kind, run.backend_id)
        _learn(
            self._factor_by_queue,
            run.queue,
            run.run_s * speed / run.estimate_s,
        )
        measured = self.work_s(run.queue, run.estimate_s) / run.run_s
        _learn(self._speed_by_kind, run.kind, measured)
        _learn(
            self._speed_by_backend,
            run.backend_id,
            measured,
            BACKEND_RATE,
        )
        runs = self._runs_by_backend.get(run.backend_id, 0)
        self._runs_by_backend[run.backend_id] = runs + 1
        self._kind_by_backend[run.backend_id] = run.kind

    def relax(self) -> None:
        """Moves each back end's speed a little towards that of its kind."""
        for backend_id, kind in self._kind_by_backend.items():
            kind_speed = self._speed_by_kind.get(kind, 1.0)
            own_speed = self._speed_by_backend.get(backend_id, kind_speed)
            drift = RELAXATION * (kind_speed - own_speed)
            self._speed_by_backend[backend_id] = own_speed + drift


def _learn(
    value_by_key: dict[str, float],
    key: str,
    measured: float,
    rate: float = LEARNING_RATE,
) -> None:
    bounded = min(max(measured, MIN_RATIO), MAX_RATIO)
    known = value_by_key.get(key, 1.0)
    value_by_key[key] = known + rate * (bounded - known)
