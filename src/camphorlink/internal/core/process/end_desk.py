"""What becomes of the ends that back ends list.

Ends of durable tasks are stored before they are acknowledged; those of
transient tasks are reported to their coordinators.  In the first moments of
a term ends of unknown tasks are kept: their coordinators may be about to send
what they had given to the earlier owner.
"""

from collections.abc import Callable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_commands import (
    FinishedRun,
    RunResult,
)
from camphorlink.internal.core.connection.backend_monitor import BackendMonitor
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    needs_storing,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds, RunTime
from camphorlink.internal.core.process.cell_effects import CellEffect, Store
from camphorlink.internal.core.process.commander import EndFate
from camphorlink.internal.core.process.job_table import (
    EndsStored,
    JobTable,
    LiveJob,
)
from camphorlink.internal.core.process.run_ledger import RunLedger
from camphorlink.internal.core.process.transient_work import TransientWork
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import End, Ended
from camphorlink.internal.core.request.task_placement import kind_of
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks

#: Time in which coordinators send the tasks that they had given to an earlier
#: owner, in seconds: until then runs of unknown tasks go on.
HANDOVER_S = 0.6

#: Puts the task of a run that is over back into the queue.
Requeue = Callable[[LiveJob, Run], None]


class EndTools(NamedTuple):
    """What the ends of a cell are judged by."""

    cell: str
    table: JobTable
    transient: TransientWork
    waiting: WaitingTasks
    ledger: RunLedger
    speeds: RunSpeeds
    backend_monitor: BackendMonitor
    requeue: Requeue
    effects: list[CellEffect]


class EndDesk:
    """Stores, reports or keeps ends.

    Attributes:
        being_stored: Tasks of which an end is on its way to the log.
    """

    def __init__(self, tools: EndTools, now: float) -> None:
        """Starts a term."""
        self.being_stored: set[TaskKey] = set()
        self._tools = tools
        self._handover_until_s = now + HANDOVER_S
        self._listed_by_run: dict[tuple[TaskKey, int], tuple[str, int]] = {}
        self._unclaimed: dict[TaskKey, tuple[str, FinishedRun]] = {}

    def is_handed_over(self, now: float) -> bool:
        """Tells whether coordinators have sent what earlier owners had."""
        return now >= self._handover_until_s

    def take_end(
        self,
        runs: BackendRuns,
        end: FinishedRun,
        run: Run | None,
        now: float,
    ) -> EndFate:
        """Takes a listed end, of a known run or of another term's."""
        task = end.task
        transient = self._tools.transient.get(task.job_id)
        if transient is not None and task in transient.open:
            self._end_transient(runs, end, run, transient.live, now)
            return EndFate.ACKNOWLEDGE
        live = self._tools.table.live_by_id.get(task.job_id)
        if live is not None and end.checkpoint:
            live.checkpoint_by_task[task] = end.checkpoint
        if live is None:
            if run is None and not self.is_handed_over(now):
                backend_id = runs.listed.backend_id
                self._unclaimed[task] = (backend_id, end)
                return EndFate.KEEP
            return EndFate.ACKNOWLEDGE
        if live.is_task_done(task):
            return EndFate.ACKNOWLEDGE
        if not needs_storing(end):
            if run is not None and run.wants_retry:
                self._tools.requeue(live, run)
            return EndFate.ACKNOWLEDGE
        self._learn(runs, run, end, live, now)
        self._tools.waiting.discard(task)
        self.being_stored.add(task)
        key = (task, end.run)
        self._listed_by_run[key] = (runs.listed.backend_id, end.number)
        tools = self._tools
        stored = End(task, end.run, end.result is RunResult.DONE)
        self._tools.effects.append(
            Store(Ended(tools.cell, tools.ledger.term, (stored,)))
        )
        return EndFate.KEEP

    def claim(self, live: LiveJob, task: TaskKey, now: float) -> bool:
        """Takes the kept end of a task whose coordinator has come.

        Returns:
            Whether there was one.
        """
        unclaimed = self._unclaimed.pop(task, None)
        if unclaimed is None:
            return False
        backend_id, end = unclaimed
        runs = self._tools.ledger.runs_by_backend.get(backend_id)
        if runs is None:
            return False
        self._end_transient(runs, end, None, live, now)
        runs.record_stored(end.number)
        return self._tools.transient.has_ended(task)

    def tick(self, now: float) -> None:
        """Acknowledges the ends that nobody has claimed."""
        if not self._unclaimed or not self.is_handed_over(now):
            return
        for backend_id, end in self._unclaimed.values():
            runs = self._tools.ledger.runs_by_backend.get(backend_id)
            if runs is not None:
                runs.record_stored(end.number)
        self._unclaimed.clear()

    def record_stored(self, change: EndsStored, now: float) -> None:
        """Acknowledges ends that the log holds now."""
        for end in change.ends:
            self.being_stored.discard(end.task)
            listed = self._listed_by_run.pop((end.task, end.run), None)
            if listed is None:
                continue
            backend_id, number = listed
            runs = self._tools.ledger.runs_by_backend.get(backend_id)
            if runs is not None:
                runs.record_stored(number)
                runs.renewal_due_s = now

    def _end_transient(
        self,
        runs: BackendRuns,
        end: FinishedRun,
        run: Run | None,
        live: LiveJob,
        now: float,
    ) -> None:
        """Reports the end of a transient task, or lets it run again."""
        task = end.task
        is_done = end.result is RunResult.DONE
        if end.result is RunResult.FAILED:
            failed = live.failed_runs_by_task.setdefault(task, set())
            failed.add(end.run)
        self._learn(runs, run, end, live, now)
        if not is_done and not _is_used_up(live, task):
            # Of a run that is not known here another may have followed: its
            # task waits until all back ends have listed theirs.
            if run is not None and run.wants_retry:
                self._tools.requeue(live, run)
            return
        self._report(task, is_done)

    def _report(self, task: TaskKey, is_done: bool) -> None:
        self._tools.waiting.discard(task)
        report = self._tools.transient.end_task(task, is_done)
        if report is not None:
            self._tools.effects.append(report)

    def _learn(
        self,
        runs: BackendRuns,
        run: Run | None,
        end: FinishedRun,
        live: LiveJob,
        now: float,
    ) -> None:
        backend_monitor = self._tools.backend_monitor
        if end.result is RunResult.FAILED:
            backend_monitor.record_failure(runs, end.task.job_id, now)
        if (
            end.result is not RunResult.DONE
            or run is None
            or not run.is_started_by_owner
        ):
            return
        backend_monitor.record_success(runs.listed.backend_id)
        step = live.job.steps[end.task.step]
        self._tools.speeds.record(
            RunTime(
                live.job.queue,
                kind_of(runs),
                runs.listed.backend_id,
                step.estimate_ms / 1000,
                now - run.started_s,
            ),
        )


def _is_used_up(live: LiveJob, task: TaskKey) -> bool:
    failed = live.failed_runs_by_task.get(task, ())
    return len(failed) >= live.job.max_attempts
