"""What this entry VM knows of one backend server's load."""

from camphorlink.internal.core.version.manifest import Backend

#: Weight of the newest run time in the moving average, a pure number.
RUN_TIME_WEIGHT = 0.1
INITIAL_RUN_S = 0.2


class BackendLoad:
    """Counts tasks in flight and learns how fast a backend server is."""

    def __init__(self, backend: Backend) -> None:
        """Starts with nothing in flight and a neutral run time."""
        self.backend = backend
        self.in_flight = 0
        self.mean_run_s = INITIAL_RUN_S

    @property
    def has_free_slot(self) -> bool:
        """Whether one more task may be sent now."""
        return not self.backend.leaving and self.in_flight < self.backend.slots

    def note_start(self) -> None:
        """Counts one more task in flight."""
        self.in_flight += 1

    def note_end(self, run_s: float | None) -> None:
        """Counts one task less; a run time in seconds is learned from."""
        self.in_flight -= 1
        if run_s is not None:
            self.mean_run_s += RUN_TIME_WEIGHT * (run_s - self.mean_run_s)
