"""Accepts, stops and expires the transient tasks assigned to a cell."""

import itertools
import math
from collections.abc import Callable, Container, Iterable, Mapping, Sequence
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CoordinatorExpired,
    CountEvent,
    LogEvent,
    ReturnTasks,
)
from camphorlink.internal.core.process.commander import Commander
from camphorlink.internal.core.process.completion_handler import (
    CompletionHandler,
)
from camphorlink.internal.core.process.coordinator_leases import (
    CoordinatorLeases,
)
from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.process.load_shedder import LoadShedder
from camphorlink.internal.core.process.predecessor import DeferredTasks
from camphorlink.internal.core.process.run_registry import RunRegistry
from camphorlink.internal.core.process.transient_job_table import (
    TransientJob,
    TransientJobTable,
)
from camphorlink.internal.core.request.cell_selector import CellLoad
from camphorlink.internal.core.request.crash_assessment import Assessment
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.latest_starts import (
    LatestStarts,
    ShortestRun,
)
from camphorlink.internal.core.request.rebalancing import (
    MAX_CONSIDERED,
    CellQueue,
    Rebalancer,
    ReportedLoad,
)
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)
from camphorlink.internal.core.request.task_placement import (
    MS_PER_S,
    RatedBackend,
)
from camphorlink.internal.core.request.transient_jobs import (
    AssignTasks,
    DropJob,
    KeepJobs,
)
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)


class AssignmentContext(NamedTuple):
    """Components of a cell that its assignments use.

    Attributes:
        leases: Leases of the coordinators.
        transient: Transient jobs of the cell.
        waiting: Tasks that wait for free capacity.
        commander: Processes the answers of back ends.
        registry: Runs of the term.
        completions: Handles listed completions.
        deferred: Tasks that an earlier owner may have started.
        enqueue: Queues a task unless it runs.
        rank_usable: Returns the usable back ends with their speeds.
        withdrawn: Identifiers of cancelled jobs, whose tasks don't start.
        effects: List that effects are appended to.
    """

    leases: CoordinatorLeases
    transient: TransientJobTable
    waiting: WaitingTasks
    commander: Commander
    registry: RunRegistry
    completions: CompletionHandler
    deferred: DeferredTasks
    enqueue: Callable[[LiveJob, TaskKey], None]
    rank_usable: Callable[[float], Sequence[RatedBackend]]
    withdrawn: Container[str]
    effects: list[CellEffect]


class TransientAssignments:
    """Runs assigned tasks for as long as the coordinator's lease lasts."""

    def __init__(self, context: AssignmentContext) -> None:
        """Creates the assignments of a cell; there are none.

        Args:
            context: Components of the cell.
        """
        self._context = context
        self._expiry_due_s = math.inf
        self._latest_starts = LatestStarts()
        self._rebalancer = Rebalancer()
        self._shedder = LoadShedder(
            context.waiting, context.transient, context.rank_usable
        )
        self._reported_loads: Sequence[ReportedLoad] = ()
        self._are_loads_new = False

    def accept(
        self,
        assignment: AssignTasks,
        coordinator: str,
        now: float,
    ) -> None:
        """Queues assigned tasks of a transient job.

        A task that completed here recently is not run again; its report is
        repeated.  One that is open here already goes on.

        Args:
            assignment: The job and its tasks for this cell.
            coordinator: Member that receives the reports.
            now: Time in seconds.
        """
        context = self._context
        if assignment.job.job_id in context.withdrawn:
            # Its coordinator ends the job when it reads of the cancellation.
            context.effects.append(CountEvent('dropped_tasks', 'cancelled'))
            return
        unfinished = self._repeat_reports(assignment, coordinator)
        if not unfinished:
            return
        known = context.transient.get(assignment.job.job_id)
        open_tasks = set() if known is None else known.open_tasks.copy()
        accepted = context.transient.accept(
            assignment.job, unfinished, coordinator
        )
        live = accepted.live
        if assignment.may_return:
            accepted.movable_tasks.update(unfinished)
        else:
            accepted.movable_tasks.difference_update(unfinished)
        accepted.assignment_by_task.update(
            dict.fromkeys(unfinished, assignment.number)
        )
        self._expiry_due_s = min(
            self._expiry_due_s, context.leases.end_s(coordinator)
        )
        if live.due_s is None:
            live.due_s = now + assignment.objective_s
            accepted.useful_until_s = now + assignment.useful_s
        for task in unfinished:
            if task not in open_tasks:
                self._queue(live, task, assignment.may_have_run, now)

    def drop_job(
        self, job_id: str, now: float, must_end_s: float | None = None
    ) -> None:
        """Stops the open tasks of a job.

        Args:
            job_id: Identifier of the job.
            now: Time in seconds.
            must_end_s: Time in seconds from which on its tasks must not run any
                more; defaults to ``now``.
        """
        for task in self._context.transient.drop(job_id):
            self._context.waiting.discard(task)
            self._context.registry.stop_task(task, now, must_end_s)

    def return_tasks(
        self,
        tasks: Iterable[TaskKey],
        reason: ReturnReason,
        target_by_task: Mapping[TaskKey, str] | None = None,
    ) -> None:
        """Returns transient tasks that wait here to their coordinators.

        A task that is not in the queue stays: it may have a run.

        Args:
            tasks: The tasks.
            reason: Why they are returned.
            target_by_task: Cells with free capacity for them.
        """
        context = self._context
        targets = target_by_task or {}
        returned_by_coordinator: dict[str, list[ReturnedTask]] = {}
        for task in tasks:
            known = context.transient.get(task.job_id)
            if known is None or task not in context.waiting:
                continue
            returned = context.transient.give_back(task)
            if returned is None:
                continue
            context.waiting.discard(task)
            returned_by_coordinator.setdefault(known.coordinator, []).append(
                returned._replace(target=targets.get(task, ''))
            )
            context.effects.append(CountEvent('returned_tasks', reason.value))
        for coordinator, returned_tasks in returned_by_coordinator.items():
            context.effects.append(
                LogEvent(
                    'Returning waiting tasks to their coordinator.',
                    {
                        'coordinator': coordinator,
                        'reason': reason.value,
                        'tasks': len(returned_tasks),
                    },
                )
            )
            context.effects.append(
                ReturnTasks(coordinator, tuple(returned_tasks), reason)
            )

    def record_waiting(self, task: TaskKey, work_s: float) -> None:
        """Records that a task begins to wait here.

        Args:
            task: The task.
            work_s: Its expected run time at speed 1, in seconds.
        """
        known = self._context.transient.get(task.job_id)
        if known is not None:
            self._latest_starts.add(task, known.useful_until_s, work_s)

    def return_unreachable(self, shortest_run: ShortestRun, now: float) -> None:
        """Returns the waiting tasks of jobs that cannot end while of use.

        Args:
            shortest_run: Returns the run time of a waiting task on the fastest
                back end, in seconds.
            now: Time in seconds.
        """
        context = self._context
        for task in self._latest_starts.pop_unreachable(shortest_run, now):
            known = context.transient.get(task.job_id)
            if known is None or task not in context.waiting:
                continue
            useful_s = known.useful_until_s - now
            waiting = sorted(filter(context.waiting.get, known.open_tasks))
            context.effects.append(
                LogEvent(
                    'Job cannot end while it is of use.',
                    {
                        'job': task.job_id,
                        'queue': known.live.job.queue,
                        'waiting_tasks': len(waiting),
                        'useful_ms': round(useful_s * MS_PER_S),
                    },
                )
            )
            self.return_tasks(waiting, ReturnReason.OUT_OF_REACH)

    def record_loads(self, loads: Sequence[ReportedLoad]) -> None:
        """Replaces the known loads of all cells, this one included."""
        self._reported_loads = loads
        self._are_loads_new = True

    def return_late(self, cell: str, now: float) -> None:
        """Returns the jobs that would be late while the cell is overloaded.

        Args:
            cell: Name of this cell.
            now: Time in seconds.
        """
        for job_id in self._shedder.choose(cell, self._reported_loads, now):
            known = self._context.transient.get(job_id)
            if known is not None:
                self.return_tasks(
                    sorted(known.open_tasks), ReturnReason.EXPECTED_LATE
                )

    def return_overload(self, cell: str, now: float) -> None:
        """Returns waiting tasks that other cells are expected to end sooner.

        Args:
            cell: Name of this cell.
            now: Time in seconds.
        """
        if not self._context.waiting or not self._are_loads_new:
            return
        # A decision for each load report bounds its processor time.
        self._are_loads_new = False
        loads = self._reported_loads
        for own, _ in loads:
            if own.cell != cell:
                continue
            others = [
                other
                for other in loads
                if other.load.service == own.service and other.load.cell != cell
            ]
            targets = self._rebalancer.choose(self._queue_of(own), others, now)
            self.return_tasks(targets, ReturnReason.CELL_OVERLOADED, targets)

    def _queue_of(self, load: CellLoad) -> CellQueue:
        context = self._context
        waiting = [
            entry
            for entry in itertools.islice(context.waiting, MAX_CONSIDERED)
            if entry.job.service == load.service
        ]
        return CellQueue(
            load,
            waiting,
            self._is_movable,
            (
                (run.expected_end_s, run.needs.cpu_milli)
                for runs in context.registry.runs_by_backend.values()
                if runs.listed.service == load.service
                for run in runs.run_by_task.values()
            ),
        )

    def _is_movable(self, entry: WaitingTask) -> bool:
        """Returns whether a task may be returned because of load.

        One that has failed here or may crash back ends stays: its attempts are
        counted here, and it must run alone.
        """
        known = self._context.transient.get(entry.task.job_id)
        return (
            known is not None
            and entry.task in known.movable_tasks
            and entry.task not in known.live.failed_runs_by_task
            and not entry.assessment.must_run_alone
        )

    @singledispatchmethod
    def stop(
        self, command: DropJob | KeepJobs, coordinator: str, now: float
    ) -> None:
        """Stops jobs as their coordinator commands.

        Raises:
            TypeError: If the command is of an unknown type.
        """
        raise TypeError(command)

    @stop.register
    def _stop_dropped(
        self, command: DropJob, coordinator: str, now: float
    ) -> None:
        known = self._context.transient.get(command.job_id)
        if known is None or known.coordinator != coordinator:
            return
        if command.must_return:
            self._return_dropped(known)
        self.drop_job(command.job_id, now)

    def _return_dropped(self, known: TransientJob) -> None:
        """Tells the coordinator of a withdrawn job whether it has begun here."""
        context = self._context
        has_begun = known.may_have_begun(context.waiting)
        returned = tuple(
            known.returned(task, has_begun) for task in sorted(known.open_tasks)
        )
        context.effects.append(
            ReturnTasks(known.coordinator, returned, ReturnReason.WITHDRAWN)
        )

    @stop.register
    def _stop_unlisted(
        self, command: KeepJobs, coordinator: str, now: float
    ) -> None:
        jobs = self._context.transient.jobs_of_coordinator(coordinator)
        for job_id in jobs:
            if job_id not in command.job_ids:
                self.drop_job(job_id, now)

    def drop_coordinator(self, member: str, now: float) -> None:
        """Stops the tasks of all jobs of a coordinator that is lost."""
        context = self._context
        jobs = context.transient.jobs_of_coordinator(member)
        if not jobs:
            return
        context.effects.append(
            LogEvent(
                'Stopping the tasks of a lost coordinator.',
                {'coordinator': member, 'jobs': jobs},
            )
        )
        must_end_s = min(now, context.leases.end_s(member))
        for job_id in jobs:
            self.drop_job(job_id, now, must_end_s)

    def expire(self, now: float) -> None:
        """Stops the tasks of coordinators whose lease has expired."""
        if now < self._expiry_due_s:
            return
        context = self._context
        for member in context.transient.coordinators:
            if not context.leases.is_valid(member, now):
                self.drop_coordinator(member, now)
                context.effects.append(CoordinatorExpired(member))
                context.effects.append(
                    CountEvent('expired_leases', 'coordinator')
                )
        self._expiry_due_s = min(
            map(context.leases.end_s, context.transient.coordinators),
            default=math.inf,
        )

    def _repeat_reports(
        self, assignment: AssignTasks, coordinator: str
    ) -> list[TaskKey]:
        """Reports the tasks that have ended here; returns the others."""
        unfinished = []
        for task in assignment.tasks:
            report = self._context.transient.repeat_report(task, coordinator)
            if report is None:
                unfinished.append(task)
            else:
                self._context.effects.append(report)
        return unfinished

    def _queue(
        self, live: LiveJob, task: TaskKey, may_have_run: bool, now: float
    ) -> None:
        context = self._context
        # A run that is being stopped makes way for the next one.
        context.registry.claim_task(task)
        if context.completions.report_unclaimed(live, task, now):
            return
        if context.commander.crashes.assess(task) is Assessment.GIVEN_UP:
            context.completions.give_up(task)
            return
        needs = live.job.steps[task.step].needs
        if context.commander.adopt_unclaimed(task, needs, now):
            return
        if not context.deferred.defer_if_needed(live, task, now, may_have_run):
            context.enqueue(live, task)
