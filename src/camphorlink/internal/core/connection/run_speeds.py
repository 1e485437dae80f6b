"""Learned run times: how long tasks really take, and where.

Callers' estimates are off by 40% and more, and back ends differ by more than
twice.  A run's time is taken as estimate times the factor of its queue over
the speed of its back end; both are learned from runs that ended well.
"""

from typing import NamedTuple

#: Share of a new measurement in a learned value: about ten runs count.
LEARNING_RATE = 0.1
#: The same for one back end: a slow one is found within a few runs.
BACKEND_RATE = 0.25
#: Part of the way from its own speed back to that of its kind that a back end
#: makes at each heartbeat of 0.2 s: one that was slow gets runs again soon.
RELAXATION = 0.03
#: Bounds on one measurement, so that a single odd run teaches little.
MIN_RATIO = 0.1
MAX_RATIO = 10.0
#: Share by which a back end's own speed outweighs that of its kind after the
#: first few runs on it.
FIRST_RUNS = 4


class RunTime(NamedTuple):
    """A run that ended well.

    Attributes:
        queue: Its queue.
        kind: Kind of its back end, empty for unknown.
        backend_id: The back end.
        estimate_s: The caller's estimate, in seconds.
        run_s: What it took, in seconds.
    """

    queue: str
    kind: str
    backend_id: str
    estimate_s: float
    run_s: float


class RunSpeeds:
    """Factors of queues, speeds of kinds and of single back ends."""

    def __init__(self) -> None:
        """Starts with estimates taken as they are, and all speeds 1."""
        self._factor_by_queue: dict[str, float] = {}
        self._speed_by_kind: dict[str, float] = {}
        self._speed_by_backend: dict[str, float] = {}
        self._runs_by_backend: dict[str, int] = {}
        self._kind_by_backend: dict[str, str] = {}

    def speed_of(self, kind: str, backend_id: str) -> float:
        """Returns the speed to expect of a back end."""
        kind_speed = self._speed_by_kind.get(kind, 1.0)
        runs = self._runs_by_backend.get(backend_id, 0)
        own_speed = self._speed_by_backend.get(backend_id, kind_speed)
        weight = runs / (runs + FIRST_RUNS)
        return own_speed * weight + kind_speed * (1 - weight)

    def work_s(self, queue: str, estimate_s: float) -> float:
        """Returns the time to expect of a task at speed 1, in seconds."""
        return estimate_s * self._factor_by_queue.get(queue, 1.0)

    def record(self, run: RunTime) -> None:
        """Learns from a run that ended well."""
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
        """Lets each back end's speed drift to that of its kind a little."""
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
