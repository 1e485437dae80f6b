"""Starts the waiting tasks of a cell and restarts stalled ones."""

import math
from collections.abc import Callable, Sequence

from camphorlink.internal.core.connection.backend_monitor import (
    find_stalled_runs,
)
from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.drain_monitor import DrainMonitor
from camphorlink.internal.core.process.job_table import JobTable, LiveJob
from camphorlink.internal.core.process.lease_limit import longest_lease_s
from camphorlink.internal.core.process.run_registry import RunRegistry
from camphorlink.internal.core.request.crash_assessment import Assessment
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.large_tasks import LargeTasks
from camphorlink.internal.core.request.preemption import (
    HIGHEST_PRIORITY,
    MAX_TASKS,
    Preemptions,
)
from camphorlink.internal.core.request.suspect_limit import (
    SuspectLimit,
    max_back_ends,
)
from camphorlink.internal.core.request.task_placement import (
    MS_PER_S,
    Candidates,
    RatedBackend,
    expected_speed,
)
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)

#: Time in seconds without new runs on a back end after a run on it stalled.
STALLED_PAUSE_S = 1.0
#: Number of restarted tasks that are remembered: some seconds' worth while a sixth
#: of the back ends of a cell stand still.
MAX_RESTARTED = 2000
#: Time in seconds for which a ranking of back ends by speed is reused.  Without
#: it, each of 300 passes a second ranks 59 back ends again, although their
#: speeds change more slowly.
RANKING_VALID_S = 0.02
#: Shortest lease with which a run is started, in seconds: a shorter one may lapse
#: before it can be renewed.
MIN_LEASE_S = 0.3
#: Lower bound of the speed that expected run times are divided by: the rounded
#: speed of a stalled back end may be zero.
MIN_SPEED = 0.05


class TaskStarter:
    """Starts waiting tasks on the back ends of a cell."""

    def __init__(
        self,
        cell: str,
        table: JobTable,
        registry: RunRegistry,
        speeds: RunSpeeds,
        waiting: WaitingTasks,
        find_open: Callable[[TaskKey], LiveJob | None],
        drain: DrainMonitor,
    ) -> None:
        """Creates a starter.

        Args:
            cell: Name of the cell.
            table: Durable jobs and the back ends that the log names.
            registry: Runs of the term.
            speeds: Measured speeds of back ends.
            waiting: Tasks that wait for free capacity.
            find_open: Returns the job of a task that has not ended.
            drain: Decides whether tasks may start in the cell.
        """
        self._cell = cell
        self._table = table
        self._registry = registry
        self._speeds = speeds
        self._waiting = waiting
        self._find_open = find_open
        self._drain = drain
        self._ranked_s = -math.inf
        self._placed_changes = (0, 0, -math.inf)
        self._usable: list[BackendRuns] = []
        self._candidates = Candidates((), speeds, 0)
        self._suspect_limit = SuspectLimit()
        self._preemptions = Preemptions(find_open)
        #: Whether a run of a lower priority was started; otherwise no check for
        #: preemptions is needed.
        self._has_lower_priority = False
        self._reserved_by_task: dict[TaskKey, BackendRuns] = {}
        self._large_tasks = LargeTasks()
        self._restarted: dict[TaskKey, None] = {}

    def place(self, now: float) -> None:
        """Starts waiting tasks on back ends with free capacity.

        Nothing can start if no task was added and no run has ended since the
        last pass, unless the ranking is renewed.
        """
        self._release_reservations(now)
        self._large_tasks.release(self._waiting, now)
        if not self._drain.may_start or not self._waiting:
            return
        self._start_large(now)
        self._renew_ranking(now)
        changes = (
            self._waiting.added_count,
            self._registry.freed_count,
            self._ranked_s,
        )
        if changes == self._placed_changes:
            return
        self._placed_changes = changes

        def start(entry: WaitingTask) -> bool:  # noqa: WPS430
            return self._try_start(entry, now)

        self._waiting.place(
            start,
            now,
            self._candidates.most_free(),
            self._candidates.capacity_by_service(),
            self._candidates.most_free,
        )
        for decision in self._waiting.take_decisions():
            self._registry.count(decision.family, decision.queue)
        if self._ranked_s == now:
            self._reserve_for_large(now)

    def _renew_ranking(self, now: float) -> None:
        if now - self._ranked_s > RANKING_VALID_S:
            self._ranked_s = now
            self._usable = self._usable_backends(now)
            self._candidates = Candidates(self._usable, self._speeds, now)

    def _reserve_for_large(self, now: float) -> None:
        reserved = self._large_tasks.reserve_due(
            self._waiting.first_tasks(), self._usable, now
        )
        for _ in range(reserved):
            self._registry.count('reserved_backends', 'large-task')

    def rank_usable(self, now: float) -> Sequence[RatedBackend]:
        """Returns the usable back ends with their speeds, fastest first."""
        self._renew_ranking(now)
        return self._candidates.rated

    def shortest_run_s(self, task: TaskKey, now: float) -> float | None:
        """Returns the run time of a waiting task on the fastest back end.

        It is in seconds, and ``None`` if the task does not wait.
        """
        entry = self._waiting.get(task)
        if entry is None:
            return None
        self._renew_ranking(now)
        speed = self._candidates.fastest_speed(entry)
        return entry.work_s / max(speed, MIN_SPEED)

    def _start_large(self, now: float) -> None:
        """Starts the tasks that fit now on the back ends reserved for them."""
        for entry, runs in self._large_tasks.ready():
            live = self._find_open(entry.task)
            is_usable = self._is_current(runs) and self._is_usable(runs, now)
            if live is not None and is_usable:
                speed = expected_speed(runs, self._speeds, now)
                self._start(entry, live, RatedBackend(speed, runs), now)
                self._waiting.discard(entry.task)
        self._large_tasks.release(self._waiting, now)

    def _usable_backends(self, now: float) -> list[BackendRuns]:
        """Returns the usable back ends whose incarnation the log names.

        A later owner must know every incarnation that may hold runs.
        """
        return [
            runs
            for runs in self._registry.runs_by_backend.values()
            if self._is_usable(runs, now)
        ]

    def _is_usable(self, runs: BackendRuns, now: float) -> bool:
        commanded = self._table.commanded_by_cell.get(self._cell, {})
        return (
            runs.is_usable(now)
            and self._may_grant_lease(runs, now)
            and commanded.get(runs.listed.backend_id) == runs.listed.started_ms
        )

    def _may_grant_lease(self, runs: BackendRuns, now: float) -> bool:
        lease_s = longest_lease_s(
            runs, self._registry.coordinator_lease_end_s, now
        )
        return lease_s > MIN_LEASE_S

    def _try_start(self, entry: WaitingTask, now: float) -> bool:
        """Starts a task if a back end has enough free capacity.

        Returns:
            Whether the task leaves the queue.
        """
        live = self._find_open(entry.task)
        if live is None:
            # The task ended elsewhere while it was queued.  If it stayed in
            # the queue as a task without capacity, it would block all late
            # tasks of the same size.
            self._registry.count('dropped_tasks', 'ended-while-waiting')
            return True
        if not self._may_try(entry, now):
            return False
        chosen = self._candidates.choose(entry, now)
        if chosen is None or not self._is_current(chosen.runs):
            if entry.assessment.must_run_alone:
                self._reserve(entry, now)
            return False
        if not self._drain.may_start:
            return False
        if entry.assessment is Assessment.SUSPECTED:
            self._suspect_limit.record_start(chosen.runs, entry.task, now)
        self._start(entry, live, chosen, now)
        return True

    def _start(
        self,
        entry: WaitingTask,
        live: LiveJob,
        chosen: RatedBackend,
        now: float,
    ) -> None:
        self._drain.record_start(now)
        live.has_begun = True
        if entry.job.priority > HIGHEST_PRIORITY:
            self._has_lower_priority = True
        self._large_tasks.record_start(entry.needs)
        run = self._registry.start(
            chosen.runs,
            entry.task,
            entry.needs,
            entry.job.spec,
            live.checkpoint_by_task.get(entry.task, ''),
            now,
            entry.assessment.must_run_alone,
        )
        run.expected_s = entry.work_s / max(chosen.speed, MIN_SPEED)

    def _may_try(self, entry: WaitingTask, now: float) -> bool:
        if entry.assessment is not Assessment.SUSPECTED:
            return True
        backends = len(self._registry.runs_by_backend)
        return self._suspect_limit.may_start(backends, now)

    def _reserve(self, entry: WaitingTask, now: float) -> None:
        """Keeps a back end free for a task that must be alone there."""
        limit = max_back_ends(len(self._registry.runs_by_backend))
        is_reserved = entry.task in self._reserved_by_task
        if is_reserved or len(self._reserved_by_task) >= limit:
            return
        runs = self._candidates.choose_to_reserve(entry, now)
        if runs is not None and self._is_current(runs):
            runs.reserve(entry.task)
            self._reserved_by_task[entry.task] = runs

    def _release_reservations(self, now: float) -> None:
        for task, runs in list(self._reserved_by_task.items()):
            if task not in self._waiting or not runs.is_usable(now):
                self._reserved_by_task.pop(task)
                runs.reserve(None)

    def _is_current(self, runs: BackendRuns) -> bool:
        """Returns whether this is the newest incarnation of its back end."""
        known = self._registry.runs_by_backend.get(runs.listed.backend_id)
        return known is runs

    def preempt(self, now: float) -> None:
        """Stops runs of lower priorities for tasks that would be late."""
        is_check_due = self._preemptions.is_check_due(now)
        if not self._has_lower_priority or not is_check_due:
            return
        if not self._drain.may_start:
            return
        urgent = sorted(self._waiting.first_tasks(MAX_TASKS, HIGHEST_PRIORITY))[
            :MAX_TASKS
        ]
        if not urgent:
            return

        def allowed(entry: WaitingTask) -> list[RatedBackend]:  # noqa: WPS430
            return self._candidates.allowed(entry, now)

        for runs, run, task in self._preemptions.choose(urgent, allowed, now):
            live = self._find_open(run.task)
            queue = '' if live is None else live.job.queue
            self._registry.count('preempted_runs', queue)
            self._registry.log_event(
                'Run is stopped for a task of the highest priority.',
                runs.listed,
                task=list(run.task),
                run=run.number,
                queue=queue,
                age_ms=round((now - run.started_s) * MS_PER_S),
                for_task=list(task),
            )
            self._registry.stop(runs, run, now)

    def restart_stalled(self, now: float) -> None:
        """Stops stalled runs whose tasks would end sooner elsewhere.

        While no task may start in the cell, they continue where they are.
        """
        if not self._drain.may_start:
            return
        for runs in self._registry.runs_by_backend.values():
            for run in find_stalled_runs(runs, now, self._restarted):
                self._record_restart(run.task)
                self._registry.count('stalled_runs', 'slower-than-a-restart')
                self._registry.stop(runs, run, now)
                runs.pause_until_s = now + STALLED_PAUSE_S

    def _record_restart(self, task: TaskKey) -> None:
        self._restarted[task] = None
        if len(self._restarted) > MAX_RESTARTED:
            self._restarted.pop(next(iter(self._restarted)))
