"""Handles the completions that back ends list.

Completions of durable tasks are stored before they are acknowledged; those of
transient tasks are reported to their coordinators.  At the start of a term,
completions of unknown tasks are kept unacknowledged for a while, since their
coordinators may still resend the tasks assigned to the earlier owner.
"""

import math
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
from camphorlink.internal.core.process.cell_effects import (
    AppendRecord,
    CellEffect,
    CountEvent,
    LogEvent,
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
from camphorlink.internal.core.request.job_records import (
    RunCompletion,
    RunsCompleted,
)
from camphorlink.internal.core.request.task_placement import backend_kind
from camphorlink.internal.core.request.waiting_tasks import WaitingTasks

#: Time in seconds in which coordinators resend the tasks assigned to an earlier
#: owner.  Until then, runs of unknown tasks are not stopped.
ASSIGNMENT_RESEND_S = 0.4

#: Queues the task of an ended run again.
Requeue = Callable[[LiveJob, Run], None]


class ListedCompletion(NamedTuple):
    """A completion, and the incarnation of the back end that lists it.

    The next incarnation counts its completions anew.

    Attributes:
        runs: Runs of the incarnation, which may have ended since.
        completion: The completion.
    """

    runs: BackendRuns
    completion: FinishedRun

    def acknowledge(self) -> None:
        """Lets the incarnation forget the completion."""
        self.runs.record_stored(self.completion.number)


class CompletionContext(NamedTuple):
    """Components of a cell that the completion handler uses.

    Attributes:
        cell: Name of the cell.
        table: Durable jobs.
        transient: Transient jobs of the cell.
        waiting: Tasks that wait for free capacity.
        registry: Runs of the term.
        speeds: Measured speeds of back ends.
        backend_monitor: Recent failures by back end.
        requeue: Queues the task of an ended run again.
        effects: List that effects are appended to.
    """

    cell: str
    table: JobTable
    transient: TransientJobTable
    waiting: WaitingTasks
    registry: RunRegistry
    speeds: RunSpeeds
    backend_monitor: BackendMonitor
    requeue: Requeue
    effects: list[CellEffect]


class CompletionHandler:
    """Stores completions, reports them, or keeps them for a coordinator."""

    def __init__(self, context: CompletionContext, now: float) -> None:
        """Creates the handler at the start of a term.

        Args:
            context: Components of the cell.
            now: Time in seconds.
        """
        self._context = context
        self._resend_until_s = now + ASSIGNMENT_RESEND_S
        self._unstored_runs_by_task: dict[TaskKey, set[int]] = {}
        self._listed_by_run: dict[tuple[TaskKey, int], ListedCompletion] = {}
        self._unclaimed_by_task: dict[TaskKey, list[ListedCompletion]] = {}

    def is_handed_over(self, now: float) -> bool:
        """Returns whether the time to resend earlier assignments is over."""
        return now >= self._resend_until_s

    def is_being_stored(self, task: TaskKey) -> bool:
        """Returns whether a completion of a task is being appended to the log.

        A task may have several: a run whose lease has lapsed is followed by
        another one, and its completion is listed after all.
        """
        return task in self._unstored_runs_by_task

    def handle_completion(
        self,
        runs: BackendRuns,
        completion: FinishedRun,
        run: Run | None,
        now: float,
    ) -> CompletionAction:
        """Stores, reports or keeps a listed completion.

        Args:
            runs: Back end that lists it.
            completion: The completion.
            run: Its run, or ``None`` for a run unknown to this owner.
            now: Time in seconds.

        Returns:
            Whether it can be acknowledged now.
        """
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
                unclaimed = self._unclaimed_by_task.setdefault(task, [])
                unclaimed.append(ListedCompletion(runs, completion))
                return CompletionAction.KEEP
            return CompletionAction.ACKNOWLEDGE
        if live.is_task_done(task) or live.has_failed(task, completion.run):
            # An earlier owner has stored it; nothing would follow a second record.
            return CompletionAction.ACKNOWLEDGE
        if not needs_storing(completion):
            if run is not None and run.wants_retry:
                self._context.requeue(live, run)
            return CompletionAction.ACKNOWLEDGE
        self._record_run_result(runs, run, completion, live, now)
        self._context.waiting.discard(task)
        self._unstored_runs_by_task.setdefault(task, set()).add(completion.run)
        key = (task, completion.run)
        self._listed_by_run[key] = ListedCompletion(runs, completion)
        context = self._context
        stored = RunCompletion(
            task, completion.run, completion.result is RunResult.DONE
        )
        self._context.effects.append(
            AppendRecord(
                RunsCompleted(context.cell, context.registry.term, (stored,))
            )
        )
        return CompletionAction.KEEP

    def give_up(self, task: TaskKey) -> None:
        """Reports a task that does not run again, as back ends crash under it.

        A durable job fails when the crash is stored.
        """
        self._context.effects.append(
            CountEvent('given_up_tasks', 'crashes-back-ends')
        )
        self._context.effects.append(
            LogEvent(
                'Task given up: back ends crash under it.',
                {'task': list(task)},
            )
        )
        self._report_completion(task, is_done=False)

    def report_unclaimed(
        self, live: LiveJob, task: TaskKey, now: float
    ) -> bool:
        """Reports kept completions to the coordinator that resent their task.

        Returns:
            Whether the task has ended by one of them.
        """
        unclaimed = self._unclaimed_by_task.pop(task, [])
        for listed in unclaimed:
            self._complete_transient(
                listed.runs, listed.completion, None, live, now
            )
            listed.acknowledge()
        return bool(unclaimed) and self._context.transient.has_ended(task)

    def tick(self, now: float) -> None:
        """Acknowledges kept completions when no coordinator resent them."""
        if not self._unclaimed_by_task or not self.is_handed_over(now):
            return
        for unclaimed in self._unclaimed_by_task.values():
            for listed in unclaimed:
                listed.acknowledge()
        self._unclaimed_by_task.clear()

    def record_stored(self, change: CompletionsStored, now: float) -> None:
        """Acknowledges completions that are now stored in the log."""
        for completion in change.completions:
            self._forget_unstored(completion)
            if completion.is_done:
                self._stop_other_runs(completion.task, now)
            listed = self._listed_by_run.pop(
                (completion.task, completion.run), None
            )
            if listed is not None:
                listed.acknowledge()
                listed.runs.renewal_due_s = now

    def _forget_unstored(self, completion: RunCompletion) -> None:
        unstored = self._unstored_runs_by_task.get(completion.task, set())
        unstored.discard(completion.run)
        if not unstored:
            self._unstored_runs_by_task.pop(completion.task, None)

    def _complete_transient(
        self,
        runs: BackendRuns,
        completion: FinishedRun,
        run: Run | None,
        live: LiveJob,
        now: float,
    ) -> None:
        """Reports the completion of a transient task, or queues it again."""
        task = completion.task
        is_done = completion.result is RunResult.DONE
        live.has_begun = True
        if completion.result is RunResult.FAILED:
            failed_runs = live.failed_runs_by_task.setdefault(task, set())
            failed_runs.add(completion.run)
        self._record_run_result(runs, run, completion, live, now)
        if not is_done and not _has_no_attempts_left(live, task):
            # A run unknown to this owner may have been followed by another
            # run.  Its task stays deferred until all back ends have listed
            # their runs.
            if run is not None and run.wants_retry:
                self._context.requeue(live, run)
            return
        self._report_completion(task, is_done)
        self._stop_other_runs(task, now)

    def _stop_other_runs(self, task: TaskKey, now: float) -> None:
        """Stops the runs of a task that has ended by another run.

        They started after the lease of that run had lapsed.  Nothing depends on
        when they end, so that the leases of their back ends are renewed.
        """
        self._context.registry.stop_task(task, now, must_end_s=math.inf)

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
        backend_monitor = self._context.backend_monitor
        if completion.result is RunResult.FAILED:
            backend_monitor.record_failure(runs, completion.task.job_id, now)
        if (
            completion.result is not RunResult.DONE
            or run is None
            or not run.is_started_by_owner
        ):
            return
        backend_monitor.record_success(runs)
        step = live.job.steps[completion.task.step]
        self._context.speeds.record(
            RunTime(
                live.job.queue,
                backend_kind(runs),
                runs.listed.backend_id,
                step.estimate_ms / 1000,
                now - run.started_s,
            ),
        )


def _has_no_attempts_left(live: LiveJob, task: TaskKey) -> bool:
    failed_runs = live.failed_runs_by_task.get(task, ())
    return len(failed_runs) >= live.job.max_attempts
