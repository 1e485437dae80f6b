"""What this entry VM knows of one backend server's load and speed."""

import math

from camphorlink.internal.core.version.manifest import Backend

#: Weight of the newest run in the learned speed, a pure number.
MIN_WEIGHT = 0.05
#: The same for the quick average that notices a change of regime.
FAST_WEIGHT = 0.3
#: Distance at which the quick average is believed, on the logarithmic scale.
FAST_DISTANCE = 1.0
#: Running tasks may overrun their estimates by this factor unnoticed.
OVERRUN_FACTOR = 3.0
#: Running tasks that must overrun before the speed is doubted; one is
#: enough where fewer than ``FEW_TASKS`` run.
OVERRUN_TASKS = 2
FEW_TASKS = 4
#: Back ends without any end for this long and all tasks overrun are stalled.
STALL_S = 1.0
#: The same for the run that ends after the speed was doubted.
UNCERTAIN_WEIGHT = 0.5
#: How far one run may move the speed, on the logarithmic scale.
MAX_STEP = 1.5
#: A task that overran its estimate is expected to take this share longer.
OVERRUN_SHARE = 0.3
MIN_RUN_S = 1e-4


class BackendLoad:
    """Counts slots and learns how fast a backend server is.

    Attributes:
        backend: The backend server as the manifest in force has it.
        speed: Work that one slot does in a second, relative to others.
        allotted: Slots that are this VM's by the view of the members.
        borrowed: Slots that peers have lent to this VM.
        lent: Slots of ``allotted`` that are with peers.
        in_flight: Tasks of this VM that have not ended.
        limit: Tasks that may be in flight by the back end's health.
        is_stalled: Whether nothing comes back and all tasks are overdue.
    """

    def __init__(self, backend: Backend, speed: float) -> None:
        """Starts with nothing in flight and an assumed speed."""
        self.backend = backend
        self.speed = speed
        self.allotted = backend.slots
        self.borrowed = 0
        self.lent = 0
        self.in_flight = 0
        self.limit = backend.slots
        self.is_stalled = False
        self._log_speed = math.log(speed)
        self._fast_log_speed = math.log(speed)
        self._last_end_s = 0.0
        self._is_speed_uncertain = False
        self._runs = 0
        self._times_by_attempt: dict[int, tuple[float, float]] = {}
        #: Start and finish of who is expected to end first, when known.
        self._earliest: tuple[float, float] | None = None

    @property
    def free(self) -> int:
        """Tasks that may be sent now; below zero when over the share."""
        if self.backend.leaving or self.is_stalled:
            return 0
        held = self.allotted + self.borrowed - self.lent
        return min(held, self.limit) - self.in_flight

    @property
    def held(self) -> int:
        """Slots that this VM may use, free or not."""
        return self.allotted + self.borrowed - self.lent

    @property
    def is_usable(self) -> bool:
        """Whether it may be given tasks, once slots are free."""
        is_out = self.backend.leaving or self.is_stalled
        return self.limit > 0 and not is_out

    def next_free_s(self, now: float) -> float:
        """Estimates when a slot becomes free, as core time in seconds."""
        if self._earliest is None:
            if not self._times_by_attempt:
                return math.inf
            self._earliest = min(
                self._times_by_attempt.values(), key=_finish_of
            )
        start_s, finish_s = self._earliest
        if finish_s > now:
            return finish_s
        return now + OVERRUN_SHARE * (now - start_s)

    def note_start(self, number: int, now: float, work_s: float) -> float:
        """Counts one more task in flight.

        Returns:
            When it is expected to finish, as core time in seconds.
        """
        self.in_flight += 1
        finish_s = now + work_s / self.speed
        self._times_by_attempt[number] = (now, finish_s)
        if self._earliest is not None and finish_s < self._earliest[1]:
            self._earliest = (now, finish_s)
        return finish_s

    def note_end(self, number: int, now: float) -> None:
        """Counts one task less."""
        self.is_stalled = False
        self._last_end_s = now
        self._earliest = None
        if self._times_by_attempt.pop(number, None) is not None:
            self.in_flight -= 1

    def learn(self, run_s: float, work_s: float) -> None:
        """Learns the speed from a run of known work, both in seconds."""
        self._runs += 1
        weight = max(1 / (self._runs + 1), MIN_WEIGHT)
        if self._is_speed_uncertain:
            weight = UNCERTAIN_WEIGHT
            self._is_speed_uncertain = False
        measured = math.log(max(work_s, MIN_RUN_S) / max(run_s, MIN_RUN_S))
        step = max(-MAX_STEP, min(MAX_STEP, measured - self._log_speed))
        self._log_speed += weight * step
        self._fast_log_speed += FAST_WEIGHT * (measured - self._fast_log_speed)
        if abs(self._fast_log_speed - self._log_speed) > FAST_DISTANCE:
            self._log_speed = self._fast_log_speed
        self.speed = math.exp(self._log_speed)

    def check_overruns(self, now: float) -> None:
        """Doubts the speed, or the back end, when running tasks overrun."""
        factors = sorted(
            (now - start_s) / max(finish_s - start_s, MIN_RUN_S)
            for start_s, finish_s in self._times_by_attempt.values()
        )
        if not factors:
            return
        needed = min(OVERRUN_TASKS, 1 + len(factors) // FEW_TASKS)
        overrun = factors[-needed] / OVERRUN_FACTOR
        if overrun > 1:
            self._is_speed_uncertain = True
            self.speed = math.exp(self._log_speed) / overrun
        silent_s = now - max(
            self._last_end_s,
            max(start_s for start_s, _ in self._times_by_attempt.values()),
        )
        self.is_stalled = factors[0] > OVERRUN_FACTOR and silent_s > STALL_S


def _finish_of(times: tuple[float, float]) -> float:
    return times[1]
