"""Load and measured speed of one backend server, as seen by this entry VM."""

import math

from camphorlink.internal.core.version.manifest import Backend

#: Least weight of the newest run in the average of the log speed.
MIN_WEIGHT = 0.05
#: Weight of the newest run in the fast average, which detects a lasting change
#: of the speed.
FAST_WEIGHT = 0.3
#: Difference of the log speeds above which the fast average replaces the slow
#: one.
FAST_DISTANCE = 1.0
#: Ratio of elapsed to estimated time above which a running task counts as
#: overrun.
OVERRUN_FACTOR = 3.0
#: Running tasks that must overrun before the speed counts as uncertain; one is
#: enough where fewer than ``FEW_TASKS`` run.
OVERRUN_TASKS = 2
FEW_TASKS = 4
#: A back end is stalled if all its tasks overrun and none has completed or
#: started for this long.
STALL_S = 1.0
#: Weight of the first run that completes after the speed became uncertain.
UNCERTAIN_WEIGHT = 0.5
#: Largest difference to the log speed that one run may contribute.
MAX_STEP = 1.5
#: An overrun task is expected to take this share of its elapsed time longer.
OVERRUN_SHARE = 0.3
MIN_RUN_S = 1e-4


class BackendLoad:
    """Counts the slots of a backend server and estimates its speed.

    Attributes:
        backend: The backend server as defined in the manifest in force.
        speed: Work that one slot does in a second, relative to others.
        allotted: Slots assigned to this VM according to the member view.
        borrowed: Slots that peers have lent to this VM.
        lent: Slots of ``allotted`` that this VM has lent to peers.
        in_flight: Tasks of this VM that have not ended.
        limit: Tasks that may be in flight, as set by the health checks.
        is_stalled: Whether all tasks are overdue and none completes.
    """

    def __init__(self, backend: Backend, speed: float) -> None:
        """Creates a load without tasks, with an assumed speed."""
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
        #: Start and expected finish of the task with the earliest expected
        #: finish; ``None`` when it has to be computed again.
        self._earliest: tuple[float, float] | None = None

    @property
    def free(self) -> int:
        """Tasks that may be sent now; negative when over the assigned slots."""
        if self.backend.leaving or self.is_stalled:
            return 0
        held = self.allotted + self.borrowed - self.lent
        return min(held, self.limit) - self.in_flight

    @property
    def held(self) -> int:
        """Slots that this VM may use, including those in use."""
        return self.allotted + self.borrowed - self.lent

    @property
    def is_usable(self) -> bool:
        """Whether the back end accepts tasks once slots are free."""
        is_unavailable = self.backend.leaving or self.is_stalled
        return self.limit > 0 and not is_unavailable

    def next_free_s(self, now: float) -> float:
        """Returns the estimated core time of the next free slot, in seconds.

        It is infinite if no task is in flight.
        """
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
        """Records that a task was started.

        Returns:
            Core time at which it is expected to finish, in seconds.
        """
        self.in_flight += 1
        finish_s = now + work_s / self.speed
        self._times_by_attempt[number] = (now, finish_s)
        if self._earliest is not None and finish_s < self._earliest[1]:
            self._earliest = (now, finish_s)
        return finish_s

    def note_end(self, number: int, now: float) -> None:
        """Records that a task has ended."""
        self.is_stalled = False
        self._last_end_s = now
        self._earliest = None
        if self._times_by_attempt.pop(number, None) is not None:
            self.in_flight -= 1

    def learn(self, run_s: float, work_s: float) -> None:
        """Updates the speed estimate from a completed run.

        Args:
            run_s: Duration of the run, in seconds.
            work_s: Expected duration at speed 1, in seconds.
        """
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
        """Lowers the speed or marks the back end as stalled on overruns."""
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
