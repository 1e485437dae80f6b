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
        by_kind = self._speed_by_kind.get(kind, 1.0)
        runs = self._runs_by_backend.get(backend_id, 0)
        own = self._speed_by_backend.get(backend_id, by_kind)
        weight = runs / (runs + FIRST_RUNS)
        return own * weight + by_kind * (1 - weight)

    def work_s(self, queue: str, estimate_s: float) -> float:
        """Returns the time to expect of a task at speed 1, in seconds."""
        return estimate_s * self._factor_by_queue.get(queue, 1.0)

    def note(self, seen: RunTime) -> None:
        """Learns from a run that ended well."""
        if seen.estimate_s <= 0 or seen.run_s <= 0:
            return
        speed = self.speed_of(seen.kind, seen.backend_id)
        _learn(
            self._factor_by_queue,
            seen.queue,
            seen.run_s * speed / seen.estimate_s,
        )
        measured = self.work_s(seen.queue, seen.estimate_s) / seen.run_s
        _learn(self._speed_by_kind, seen.kind, measured)
        _learn(
            self._speed_by_backend,
            seen.backend_id,
            measured,
            BACKEND_RATE,
        )
        runs = self._runs_by_backend.get(seen.backend_id, 0)
        self._runs_by_backend[seen.backend_id] = runs + 1
        self._kind_by_backend[seen.backend_id] = seen.kind

    def relax(self) -> None:
        """Lets each back end's speed drift to that of its kind a little."""
        for backend_id, kind in self._kind_by_backend.items():
            by_kind = self._speed_by_kind.get(kind, 1.0)
            own = self._speed_by_backend.get(backend_id, by_kind)
            drift = RELAXATION * (by_kind - own)
            self._speed_by_backend[backend_id] = own + drift


def _learn(
    value_by_key: dict[str, float],
    key: str,
    measured: float,
    rate: float = LEARNING_RATE,
) -> None:
    bounded = min(max(measured, MIN_RATIO), MAX_RATIO)
    known = value_by_key.get(key, 1.0)
    value_by_key[key] = known + rate * (bounded - known)
