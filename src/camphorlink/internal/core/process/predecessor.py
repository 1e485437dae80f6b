"""Tracks runs that an earlier owner of a cell may have left running.

The log names the back end incarnations that the earlier owner sent commands
to.  Its unfinished tasks may start again only after each of these has listed
its runs to the new owner, which also fences the earlier owner off there, or
after all runs commanded before must have ended.
"""

import math
from collections.abc import Iterable, Mapping

from camphorlink.internal.core.connection.backend_runs import (
    LATE_COMMAND_S,
    LEASE_S,
)
from camphorlink.internal.core.process.cell_effects import (
    AppendRecord,
    CellEffect,
)
from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.process.run_registry import RunRegistry
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.inherited_backends import (
    InheritedBackend,
)
from camphorlink.internal.core.request.job_records import BackendsCommanded

MS_PER_S = 1000
#: Time in seconds for which an owner continues after its last confirmation by
#: the store: bridges outages of the store of up to 9 s.
OWNERSHIP_VALID_S = 10.0
#: Time in seconds after which no command of an earlier owner is executed any
#: more, and every lease that it renewed has lapsed.
COMMANDS_EXPIRED_AFTER_S = OWNERSHIP_VALID_S + LATE_COMMAND_S + LEASE_S + 1.0
#: Time in seconds in which each back end lists its runs again: the wait of a
#: lease renewal, its timeout, and a margin.
RELIST_S = 0.6
#: Time in seconds from the start of the term for which a new task waits for
#: silent back ends, since its caller may have submitted it before.  A run that
#: the earlier owner no longer renews lapses within one lease, by a clock that
#: may be 2% slow.  With a longer wait, one silent back end would delay its
#: whole zone.
NEW_TASK_WAIT_S = LEASE_S * 1.02 + 0.18


def is_ownership_confirmed(confirmed_s: float, now: float) -> bool:
    """Returns whether an owner was confirmed recently enough to continue."""
    return now - confirmed_s < OWNERSHIP_VALID_S


class Predecessor:
    """Incarnations that an earlier owner commanded and that listed no runs yet.

    Attributes:
        unlisted_ms_by_backend: Start time of each such incarnation, in ms, by
            back end.
        ended: Such incarnations that have ended, by back end.
    """

    def __init__(
        self,
        commanded: Mapping[str, int],
        now: float,
        inherited: Mapping[str, InheritedBackend] | None = None,
    ) -> None:
        """Creates the state at the start of a term.

        Args:
            commanded: Start time in ms of each incarnation that the log names,
                by back end.
            now: Time in seconds.
            inherited: Incarnations that the direct predecessor never reached.
        """
        self.unlisted_ms_by_backend: dict[str, int] = {}
        self._expired_s_by_backend: dict[str, float] = {}
        self._inherited: set[str] = set()
        for backend_id, (started_ms, left_ms) in (inherited or {}).items():
            self.unlisted_ms_by_backend[backend_id] = started_ms
            self._expired_s_by_backend[backend_id] = now + left_ms / MS_PER_S
            self._inherited.add(backend_id)
        for backend_id, started_ms in commanded.items():
            self.unlisted_ms_by_backend[backend_id] = started_ms
            self._expired_s_by_backend[backend_id] = (
                now + COMMANDS_EXPIRED_AFTER_S
            )
            self._inherited.discard(backend_id)
        self.ended: dict[str, int] = {}
        self._new_tasks_due_s = now + NEW_TASK_WAIT_S
        self._unreachable: set[str] = set()

    def mark_listed(self, backend_id: str, started_ms: int) -> None:
        """Records that an incarnation, or a later one, has listed its runs."""
        unlisted_ms = self.unlisted_ms_by_backend.get(backend_id, started_ms)
        if unlisted_ms < started_ms:
            self.mark_gone(backend_id, unlisted_ms)
        elif unlisted_ms == started_ms:
            self.unlisted_ms_by_backend.pop(backend_id, None)

    def mark_gone(self, backend_id: str, started_ms: int) -> None:
        """Records that an incarnation has certainly ended.

        It tells nothing of a later one, which the log may name while the list
        of back ends is out of date.
        """
        unlisted_ms = self.unlisted_ms_by_backend.get(backend_id)
        if unlisted_ms is not None and unlisted_ms <= started_ms:
            self.unlisted_ms_by_backend.pop(backend_id)
            if backend_id not in self._inherited:
                self.ended[backend_id] = unlisted_ms

    def mark_unreachable(self, backend_id: str) -> None:
        """Records that a back end refuses connections and has likely failed.

        Its runs stay unknown, but new tasks don't wait for it, since a crash
        of a back end and a change of the owner often coincide.
        """
        self._unreachable.add(backend_id)

    def forget_expired(self, now: float) -> None:
        """Removes the incarnations on which no earlier run can be left.

        Later owners would otherwise wait again for back ends that are gone.
        """
        for backend_id, expired_s in list(self._expired_s_by_backend.items()):
            if now > expired_s:
                self._expired_s_by_backend.pop(backend_id)
                self.unlisted_ms_by_backend.pop(backend_id, None)

    def rows_to_inherit(
        self, reached: Iterable[str], now: float
    ) -> tuple[tuple[str, int, int], ...]:
        """Returns what a later owner must know of unreached incarnations.

        Args:
            reached: Back ends that this owner commands.
            now: Time in seconds.
        """
        known = set(reached)
        return tuple(
            (
                backend_id,
                started_ms,
                math.ceil(
                    (self._expired_s_by_backend[backend_id] - now) * MS_PER_S
                ),
            )
            for backend_id, started_ms in sorted(
                self.unlisted_ms_by_backend.items()
            )
            if backend_id not in known
        )

    def is_settled(self, now: float) -> bool:
        """Returns whether no unlisted run of an earlier owner can exist."""
        self.forget_expired(now)
        return not self.unlisted_ms_by_backend

    def may_run_unlisted(self, now: float) -> bool:
        """Returns whether a silent back end may already run a new task.

        This covers a caller that resubmits its job to another VM at the start
        of a term: a run of its first submission may still be active on a back
        end that has not answered.  The direct predecessor started nothing on
        back ends that it never reached.
        """
        silent = (
            self.unlisted_ms_by_backend.keys()
            - self._unreachable
            - self._inherited
        )
        return bool(silent) and now < self._new_tasks_due_s


class IncarnationRecorder:
    """Records what a later owner must know of the back ends of a cell."""

    def __init__(
        self,
        cell: str,
        term: int,
        predecessor: Predecessor,
        registry: RunRegistry,
        effects: list[CellEffect],
    ) -> None:
        """Creates a recorder that has recorded nothing.

        Args:
            cell: Name of the cell.
            term: Term of the owner.
            predecessor: Incarnations that have not listed their runs.
            registry: Back ends that the owner commands.
            effects: List that records are appended to.
        """
        self._cell = cell
        self._term = term
        self._predecessor = predecessor
        self._registry = registry
        self._effects = effects
        self._recorded: tuple[object, ...] | None = None

    def record(self, now: float) -> None:
        """Records the incarnations if they have changed."""
        self._predecessor.forget_expired(now)
        runs_by_backend = self._registry.runs_by_backend
        rows = tuple(
            sorted(
                (backend_id, runs.listed.started_ms)
                for backend_id, runs in runs_by_backend.items()
            )
        )
        inherited = self._predecessor.rows_to_inherit(runs_by_backend, now)
        recorded = (rows, tuple(row[:2] for row in inherited))
        if recorded != self._recorded:
            self._recorded = recorded
            record = BackendsCommanded(self._cell, self._term, rows, inherited)
            self._effects.append(AppendRecord(record))


class DeferredTasks:
    """Holds back tasks that an earlier owner may have started.

    New tasks wait for silent back ends, for one lease at most.  All other
    tasks wait for every incarnation that the log names.
    """

    def __init__(self, predecessor: Predecessor, now: float) -> None:
        """Creates an empty set of tasks.

        Args:
            predecessor: Incarnations that have not listed their runs.
            now: Time in seconds.
        """
        self._predecessor = predecessor
        self._due_s = now
        self._earlier_tasks: list[tuple[LiveJob, TaskKey]] = []
        self._new_tasks: list[tuple[LiveJob, TaskKey]] = []

    def add(self, live: LiveJob, task: TaskKey) -> None:
        """Adds a task of an earlier term, or one whose adopted run ended."""
        self._earlier_tasks.append((live, task))

    def defer_if_needed(
        self,
        live: LiveJob,
        task: TaskKey,
        now: float,
        may_have_run: bool,
    ) -> bool:
        """Defers a task that its coordinator has just assigned, if needed.

        If an earlier owner had the task, back ends may have listed its run
        before this owner knew the task.  Each back end therefore lists its
        runs once more before the task is released.  A new task waits for
        silent back ends for a limited time.

        Args:
            live: The job.
            task: The task.
            now: Time in seconds.
            may_have_run: Whether an earlier owner may have started it.

        Returns:
            Whether it is deferred; otherwise it may start at once.
        """
        if may_have_run:
            self._due_s = now + RELIST_S
            self._earlier_tasks.append((live, task))
            return True
        if self._predecessor.may_run_unlisted(now):
            self._new_tasks.append((live, task))
            return True
        return False

    def pop_new(self, now: float) -> list[tuple[LiveJob, TaskKey]]:
        """Removes and returns the new tasks that need not wait any longer."""
        if self._predecessor.may_run_unlisted(now):
            return []
        due = self._new_tasks
        self._new_tasks = []
        return due

    def pop_earlier(self, now: float) -> list[tuple[LiveJob, TaskKey]]:
        """Removes and returns the other tasks that need not wait any longer."""
        if now < self._due_s or not self._predecessor.is_settled(now):
            return []
        due = self._earlier_tasks
        self._earlier_tasks = []
        return due
