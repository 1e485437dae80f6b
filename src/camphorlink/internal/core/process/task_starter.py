"""Starts the waiting tasks of a cell, and restarts those that stalled."""

import math
from collections.abc import Callable

from camphorlink.internal.core.connection.backend_monitor import (
    find_stalled_runs,
)
from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.job_table import JobTable, LiveJob
from camphorlink.internal.core.process.run_ledger import RunLedger
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.task_placement import (
    Candidates,
)
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)

#: Time that a back end gets nothing after a run on it stalled, in seconds.
STALLED_PAUSE_S = 1.0
#: Time that the order of back ends by speed is kept, in seconds: of 300 passes
#: a second over 59 back ends each rated them anew; speeds change in longer.
RATED_FOR_S = 0.02
#: Bound on the speed by which a run's time is expected: rounded speeds may be
#: zero for a back end that stands still.
MIN_SPEED = 0.05


class TaskStarter:
    """Puts waiting tasks on back ends."""

    def __init__(
        self,
        cell: str,
        table: JobTable,
        ledger: RunLedger,
        speeds: RunSpeeds,
        waiting: WaitingTasks,
        find_open: Callable[[TaskKey], LiveJob | None],
    ) -> None:
        """Takes the cell's parts, and the way to the job of an open task."""
        self._cell = cell
        self._table = table
        self._ledger = ledger
        self._speeds = speeds
        self._waiting = waiting
        self._find_open = find_open
        self._rated_s = -math.inf
        self._candidates = Candidates((), speeds, 0)

    def place(self, now: float) -> None:
        """Starts waiting tasks where there is room."""
        if not self._waiting:
            return
        if now - self._rated_s > RATED_FOR_S:
            self._rated_s = now
            self._candidates = Candidates(self._usable(now), self._speeds, now)

        def start(entry: WaitingTask) -> bool:  # noqa: WPS430
            return self._start(entry, now)

        self._waiting.place(start, now)

    def _usable(self, now: float) -> list[BackendRuns]:
        """Returns the back ends that may get runs, as the log names them."""
        commanded = self._table.commanded_by_cell.get(self._cell, {})
        return [
            runs
            for runs in self._ledger.runs_by_backend.values()
            if runs.is_usable(now)
            and commanded.get(runs.listed.backend_id) == runs.listed.started_ms
        ]

    def _start(self, entry: WaitingTask, now: float) -> bool:
        """Starts a task if there is room; tells whether it waits no more."""
        live = self._find_open(entry.task)
        if live is None:
            # It ended elsewhere while it waited.  Kept as one without room,
            # it would keep all late tasks of its size from starting.
            self._ledger.count('dropped_tasks', 'ended-while-waiting')
            return True
        chosen = self._candidates.choose(entry, now)
        if chosen is None or not self._is_current(chosen.runs):
            return False
        live.has_begun = True
        run = self._ledger.start(
            chosen.runs,
            entry.task,
            entry.needs,
            entry.job.spec,
            live.checkpoint_by_task.get(entry.task, ''),
            now,
        )
        run.expected_s = entry.work_s / max(chosen.speed, MIN_SPEED)
        return True

    def _is_current(self, runs: BackendRuns) -> bool:
        """Tells whether this is still the back end's newest lifetime."""
        known = self._ledger.runs_by_backend.get(runs.listed.backend_id)
        return known is runs

    def restart_stalled(self, now: float) -> None:
        """Stops runs whose tasks would end sooner elsewhere."""
        for runs in self._ledger.runs_by_backend.values():
            for run in find_stalled_runs(runs, now):
                self._ledger.count('stalled_runs', 'slower-than-a-restart')
                self._ledger.stop(runs, run, now)
                runs.pause_until_s = now + STALLED_PAUSE_S
