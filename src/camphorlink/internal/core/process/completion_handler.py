"""What becomes of the ends that back ends list.

Ends of durable tasks are stored before they are acknowledged; those of
transient tasks are reported to their coordinators.  In the first moments of
a term ends of unknown tasks are kept: their coordinators may be about to send
what they had given to the earlier owner.
"""

from collections.abc import Callable
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_orders import (
    FinishedRun,
    RunEnd,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    needs_storing,
)
from camphorlink.internal.core.connection.backend_trust import BackendTrust
from camphorlink.internal.core.connection.run_speeds import RunSpeeds, RunTime
from camphorlink.internal.core.process.cell_effects import (
    AppendRecord,
    CellEffect,
)
from camphorlink.internal.core.process.commander import CompletionAction
from camphorlink.internal.core.process.job_table import (
    CompletionsStored,
    JobTable,
    LiveJob,
)
from camphorlink.internal.core.process.run_registry import RunRegistry
from camphorlink.internal.core.process.transient_job_table import (
    TransientJobTable,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import End, Ended
from camphorlink.internal.core.request.task_placement import kind_of
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks

#: Time in which coordinators send the tasks that they had given to an earlier
#: owner, in seconds: until then runs of unknown tasks go on.
HANDOVER_S = 0.6

#: Puts the task of a run that is over back into the queue.
Requeue = Callable[[LiveJob, Run], None]


class CompletionContext(NamedTuple):
    """What the ends of a cell are judged by."""

    cell: str
    table: JobTable
    transient: TransientJobTable
    waiting: WaitingTasks
    registry: RunRegistry
    speeds: RunSpeeds
    trust: BackendTrust
    requeue: Requeue
    effects: list[CellEffect]


class CompletionHandler:
    """Stores, reports or keeps ends.

    Attributes:
        tasks_being_stored: Tasks of which an end is on its way to the log.
    """

    def __init__(self, context: CompletionContext, now: float) -> None:
        """Starts a term."""
        self.tasks_being_stored: set[TaskKey] = set()
        self._context = context
        self._handover_until_s = now + HANDOVER_S
        self._listed_by_run: dict[tuple[TaskKey, int], tuple[str, int]] = {}
        self._unclaimed_by_task: dict[TaskKey, tuple[str, FinishedRun]] = {}

    def is_handed_over(self, now: float) -> bool:
        """Tells whether coordinators have sent what earlier owners had."""
        return now >= self._handover_until_s

    def handle_completion(
        self,
        runs: BackendRuns,
        completion: FinishedRun,
        run: Run | None,
        now: float,
    ) -> CompletionAction:
        """Takes a listed end, of a known run or of another term's."""
        task = completion.task
        transient = self._context.transient.get(task.job_id)
        if transient is not None and task in transient.open_tasks:
            self._complete_transient(runs, completion, run, transient.live, now)
            return CompletionAction.ACKNOWLEDGE
        live = self._context.table.live_by_id.get(task.job_id)
        if live is not None and completion.checkpoint:
            live.checkpoint_by_task[task] = completion.checkpoint
        if live is None:
            if run is None and not self.is_handed_over(now):
                backend_id = runs.listed.backend_id
                self._unclaimed_by_task[task] = (backend_id, completion)
                return CompletionAction.KEEP
            return CompletionAction.ACKNOWLEDGE
        if live.is_task_done(task):
            return CompletionAction.ACKNOWLEDGE
        if not needs_storing(completion):
            if run is not None and run.wants_retry:
                self._context.requeue(live, run)
            return CompletionAction.ACKNOWLEDGE
        self._record_run_result(runs, run, completion, live, now)
        self._context.waiting.discard(task)
        self.tasks_being_stored.add(task)
        key = (task, completion.run)
        self._listed_by_run[key] = (runs.listed.backend_id, completion.number)
        context = self._context
        stored = End(task, completion.run, completion.how is RunEnd.DONE)
        self._context.effects.append(
            AppendRecord(Ended(context.cell, context.registry.term, (stored,)))
        )
        return CompletionAction.KEEP

    def report_unclaimed(
        self, live: LiveJob, task: TaskKey, now: float
    ) -> bool:
        """Takes the kept end of a task whose coordinator has come.

        Returns:
            Whether there was one.
        """
        unclaimed = self._unclaimed_by_task.pop(task, None)
        if unclaimed is None:
            return False
        backend_id, completion = unclaimed
        runs = self._context.registry.runs_by_backend.get(backend_id)
        if runs is None:
            return False
        self._complete_transient(runs, completion, None, live, now)
        runs.note_stored(completion.number)
        return self._context.transient.has_ended(task)

    def tick(self, now: float) -> None:
        """Acknowledges the ends that nobody has claimed."""
        if not self._unclaimed_by_task or not self.is_handed_over(now):
            return
        for backend_id, completion in self._unclaimed_by_task.values():
            runs = self._context.registry.runs_by_backend.get(backend_id)
            if runs is not None:
                runs.note_stored(completion.number)
        self._unclaimed_by_task.clear()

    def note_stored(self, change: CompletionsStored, now: float) -> None:
        """Acknowledges ends that the log holds now."""
        for completion in change.ends:
            self.tasks_being_stored.discard(completion.task)
            listed = self._listed_by_run.pop(
                (completion.task, completion.run), None
            )
            if listed is None:
                continue
            backend_id, number = listed
            runs = self._context.registry.runs_by_backend.get(backend_id)
            if runs is not None:
                runs.note_stored(number)
                runs.hold_due_s = now

    def _complete_transient(
        self,
        runs: BackendRuns,
        completion: FinishedRun,
        run: Run | None,
        live: LiveJob,
        now: float,
    ) -> None:
        """Reports the end of a transient task, or lets it run again."""
        task = completion.task
        is_done = completion.how is RunEnd.DONE
        if completion.how is RunEnd.FAILED:
            failed_runs = live.failed_runs_by_task.setdefault(task, set())
            failed_runs.add(completion.run)
        self._record_run_result(runs, run, completion, live, now)
        if not is_done and not _has_no_attempts_left(live, task):
            # Of a run that is not known here another may have followed: its
            # task waits until all back ends have listed theirs.
            if run is not None and run.wants_retry:
                self._context.requeue(live, run)
            return
        self._report_completion(task, is_done)

    def _report_completion(self, task: TaskKey, is_done: bool) -> None:
        self._context.waiting.discard(task)
        report = self._context.transient.complete_task(task, is_done)
        if report is not None:
            self._context.effects.append(report)

    def _record_run_result(
        self,
        runs: BackendRuns,
        run: Run | None,
        completion: FinishedRun,
        live: LiveJob,
        now: float,
    ) -> None:
        trust = self._context.trust
        if completion.how is RunEnd.FAILED:
            trust.note_failed(runs, completion.task.job_id, now)
        if (
            completion.how is not RunEnd.DONE
            or run is None
            or not run.is_ordered
        ):
            return
        trust.note_done(runs.listed.backend_id)
        step = live.job.steps[completion.task.step]
        self._context.speeds.note(
            RunTime(
                live.job.queue,
                kind_of(runs),
                runs.listed.backend_id,
                step.estimate_ms / 1000,
                now - run.started_s,
            ),
        )


def _has_no_attempts_left(live: LiveJob, task: TaskKey) -> bool:
    failed_runs = live.failed_runs_by_task.get(task, ())
    return len(failed_runs) >= live.job.max_attempts
