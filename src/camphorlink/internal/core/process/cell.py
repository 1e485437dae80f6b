"""Schedules tasks on the back ends of a cell and handles their completions.

A cell consists of the back ends of one availability zone.  Only the owner of
the cell sends commands to them, with fencing tokens of the owner's term.
Durable tasks come from the job table, and their completions are stored before
they are acknowledged.  Transient tasks come from the VMs that coordinate their
jobs, and their completions are reported to these VMs.
"""

import math
from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from camphorlink.internal.core.connection.backend_commands import (
    NO_CLOCKS,
    FinishedRun,
    ListedBackend,
    ReportedClock,
)
from camphorlink.internal.core.connection.backend_monitor import (
    BackendMonitor,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
)
from camphorlink.internal.core.process.commander import (
    Commander,
    CompletionAction,
)
from camphorlink.internal.core.process.completion_handler import (
    CompletionContext,
    CompletionHandler,
)
from camphorlink.internal.core.process.coordinator_leases import (
    CoordinatorLeases,
)
from camphorlink.internal.core.process.drain_monitor import DrainMonitor
from camphorlink.internal.core.process.job_table import (
    Change,
    CompletionsStored,
    JobEnded,
    JobTable,
    JobWithdrawn,
    LiveJob,
    OwnerChanged,
    TasksDue,
    TasksGivenUp,
)
from camphorlink.internal.core.process.open_jobs import OpenJobs
from camphorlink.internal.core.process.predecessor import (
    DeferredTasks,
    IncarnationRecorder,
    Predecessor,
    is_ownership_confirmed,
)
from camphorlink.internal.core.process.task_starter import TaskStarter
from camphorlink.internal.core.process.transient_assignments import (
    AssignmentContext,
    TransientAssignments,
)
from camphorlink.internal.core.process.transient_job_table import (
    TransientJobTable,
)
from camphorlink.internal.core.process.withheld_tasks import WithheldTasks
from camphorlink.internal.core.request.durable_job import (
    Resources,
    TaskKey,
)
from camphorlink.internal.core.request.task_placement import (
    MS_PER_S,
    objective_s,
)
from camphorlink.internal.core.request.usable_share import UsableShare
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTasks,
)
from camphorlink.internal.core.version.zone_drains import ZoneDrains


class Cell:
    """Runs tasks on the back ends of one cell during one term of ownership.

    Attributes:
        name: Name of the availability zone.
        term: Term of the owner.
        waiting: Tasks that wait for free capacity.
        transient: Transient jobs with open tasks in this cell.
        assignments: Runs the tasks of transient jobs.
        commander: Sends commands to the back ends and processes the answers.
        registry: Runs of this term by back end and by task.
        drain: Decides whether tasks may start; none may before the drains
            are read.
        speeds: Measured speeds of back ends.
        usable_shares: Share of the capacity that tasks can use, by service.
    """

    def __init__(
        self,
        name: str,
        term: int,
        table: JobTable,
        speeds: RunSpeeds,
        leases: CoordinatorLeases,
        now: float,
        get_drains: Callable[[], ZoneDrains],
    ) -> None:
        """Creates the state of a new owner.

        Tasks that an earlier owner may have started are deferred until the
        back ends have listed their runs.

        Args:
            name: Name of the availability zone.
            term: Term of the owner.
            table: Durable jobs.
            speeds: Measured speeds of back ends.
            leases: Leases of the coordinators.
            now: Time in seconds.
            get_drains: Returns the zone drains as last read.
        """
        self.name = name
        self.term = term
        self.waiting = WaitingTasks()
        self.transient = TransientJobTable(name)
        self._jobs = OpenJobs(table, self.transient)
        self.speeds = speeds
        self.usable_shares: dict[str, UsableShare] = {}
        self._now = now
        self._leases = leases
        self._table = table
        self._effects: list[CellEffect] = []
        self._predecessor = Predecessor(
            table.commanded_by_cell.get(name, {}),
            now,
            table.inherited_by_cell.get(name, {}),
        )
        self.commander = Commander(
            term,
            self,
            self._predecessor,
            table.crashes,
            self._effects,
        )
        self.registry = self.commander.registry
        self.drain = DrainMonitor(
            name, self.registry, self._predecessor, self._effects, get_drains
        )
        backend_monitor = BackendMonitor()
        self._starter = TaskStarter(
            name,
            table,
            self.registry,
            speeds,
            self.waiting,
            self._jobs.find_by_task,
            self.drain,
        )
        self._completions = CompletionHandler(
            CompletionContext(
                name,
                table,
                self.transient,
                self.waiting,
                self.registry,
                speeds,
                backend_monitor,
                self._requeue,
                self._effects,
            ),
            now,
        )
        #: Implements a method of ``RunCallbacks`` for the commander.
        self.is_handed_over = self._completions.is_handed_over
        self._recorder = IncarnationRecorder(
            name, term, self._predecessor, self.registry, self._effects
        )
        self._deferred_tasks = DeferredTasks(self._predecessor, now)
        self._withheld = WithheldTasks(
            self.commander.crashes,
            self._jobs.find_by_task,
            self._completions.give_up,
            self._effects,
        )
        self.assignments = TransientAssignments(
            AssignmentContext(
                leases,
                self.transient,
                self.waiting,
                self.commander,
                self.registry,
                self._completions,
                self._deferred_tasks,
                self._enqueue,
                self._starter.rank_usable,
                table.withdrawn_by_id,
                self._effects,
            )
        )
        #: Implements a method of ``RunCallbacks`` for the commander.
        self.expire_coordinators = self.assignments.expire
        for live in table.live_by_id.values():
            for task in live.due_tasks():
                if live.cell_of(task) == name:
                    self._deferred_tasks.add(live, task)

    def take_effects(self) -> list[CellEffect]:
        """Returns and clears the pending effects."""
        effects = self._effects.copy()
        self._effects.clear()
        return effects

    def owns(self, table: JobTable) -> bool:
        """Returns whether this is the term of the owner in the job table."""
        return table.owner_of(self.name).term == self.term

    # Changes of the job table.

    @singledispatchmethod
    def handle_change(self, change: Change, now: float) -> None:
        """Applies a change of the job table.

        ``OwnerChanged`` and ``TasksGivenUp`` are ignored here; ``JobNode``
        handles them.

        Raises:
            TypeError: If the change is of an unknown type.
        """
        if not isinstance(change, OwnerChanged | TasksGivenUp):
            raise TypeError(change)

    @handle_change.register
    def _add_due_tasks(self, change: TasksDue, now: float) -> None:
        for task in change.tasks:
            if change.live.cell_of(task) == self.name:
                if change.is_first_start or self._predecessor.is_settled(now):
                    self._enqueue(change.live, task)
                else:
                    self._deferred_tasks.add(change.live, task)

    @handle_change.register
    def _acknowledge_stored(
        self, change: CompletionsStored, now: float
    ) -> None:
        if change.cell == self.name:
            self._completions.record_stored(change, now)

    @handle_change.register
    def _stop_ended_job(self, change: JobEnded, now: float) -> None:
        job = change.live.job
        for step, entry in enumerate(job.steps):
            for number in range(entry.width):
                task = TaskKey(job.job_id, step, number)
                self.waiting.discard(task)
                self.registry.stop_task(task, now)

    @handle_change.register
    def _drop_withdrawn_job(self, change: JobWithdrawn, now: float) -> None:
        self.assignments.drop_job(change.job_id, now)

    # Back ends.

    def update_backends(
        self,
        listed_by_id: dict[str, ListedBackend],
        now: float,
        clock_by_id: Mapping[str, ReportedClock] = NO_CLOCKS,
    ) -> None:
        """Applies the platform's current list of this cell's back ends.

        Args:
            listed_by_id: The back ends of the cell.
            now: Time in seconds.
            clock_by_id: The clock that each back end has last reported.
        """
        self.commander.update_backends(listed_by_id, now)
        self.commander.crashes.record_clocks(clock_by_id, now)
        self._recorder.record(now)

    def dequeue_task(self, task: TaskKey) -> Resources | None:
        """Removes a task from the queue and returns its resources.

        Returns ``None`` if the task must not run.
        """
        live = self._jobs.find_by_task(task)
        if live is None:
            return None
        self.waiting.discard(task)
        return live.job.steps[task.step].needs

    def coordinator_lease_end_s(self, task: TaskKey) -> float:
        """Returns the time until which a task may run, in seconds.

        It is infinite for a durable task.
        """
        known = self.transient.get(task.job_id)
        return (
            math.inf if known is None else self._leases.end_s(known.coordinator)
        )

    def handle_completion(
        self,
        runs: BackendRuns,
        completion: FinishedRun,
        run: Run | None,
        now: float,
    ) -> CompletionAction:
        """Handles a completion that a back end lists.

        ``run`` is ``None`` if this owner does not know the run.
        """
        return self._completions.handle_completion(runs, completion, run, now)

    def handle_lost_run(self, runs: BackendRuns, run: Run) -> None:
        """Handles a run that ended without a listed completion.

        Saves its last checkpoint and, if the run is to be retried, requeues its
        task.
        """
        live = self._jobs.find(run.task.job_id)
        if live is not None and run.checkpoint:
            live.checkpoint_by_task[run.task] = run.checkpoint
        if run.wants_retry and live is not None:
            self._requeue(live, run)

    # Time and placement.

    def tick(self, now: float, confirmed_s: float) -> None:
        """Renews leases, checks timeouts and starts tasks.

        Args:
            now: Time in seconds.
            confirmed_s: Time in seconds at which the store last confirmed
                this owner.  Leases are renewed and tasks are started only
                for a limited time after that.
        """
        self._now = now
        self.drain.refresh(now)
        self.assignments.expire(now)
        may_renew = is_ownership_confirmed(confirmed_s, now)
        self.commander.tick(now, confirmed_s)
        self._completions.tick(now)
        if may_renew:
            self._release_deferred(now)
            self._starter.restart_stalled(now)
            self.place(now)
            self.assignments.return_overload(self.name, now)
            self._starter.preempt(now)

    def _release_deferred(self, now: float) -> None:
        earlier = self._deferred_tasks.pop_earlier(now)
        if earlier:
            self.commander.crashes.report_unobserved(self._predecessor.ended)
        for live, task in self._deferred_tasks.pop_new(now) + earlier:
            self._enqueue(live, task)
        for live, task in self._withheld.pop_due(now):
            self._enqueue(live, task)

    def place(self, now: float) -> None:
        """Starts waiting tasks on back ends with free capacity.

        In a drained cell, returns those of transient jobs.
        """
        self.assignments.expire(now)
        self.drain.return_waiting(self.waiting, self.assignments)
        self.drain.check_empty(now)
        self.assignments.return_unreachable(self._starter.shortest_run_s, now)
        if self.drain.may_start:
            self.assignments.return_late(self.name, now)
        self._starter.place(now)

    def _requeue(self, live: LiveJob, run: Run) -> None:
        """Queues a task again once no unlisted run of it can exist.

        If the run was adopted from an earlier owner, that owner may have
        started another run of the same task on a back end that has not answered
        yet.
        """
        live.has_begun = True
        if run.is_started_by_owner or self._predecessor.is_settled(self._now):
            self._enqueue(live, run.task)
        else:
            self._deferred_tasks.add(live, run.task)

    def _enqueue(self, live: LiveJob, task: TaskKey) -> None:
        if task in self.registry.backends_by_task:
            return
        is_open = self._jobs.find_by_task(task) is live
        if not is_open or self._completions.is_being_stored(task):
            return
        assessment = self._withheld.assess(live, task, self._now)
        if not assessment.may_run:
            return
        due_s = live.due_s
        if due_s is None or assessment.must_run_alone:
            # A lost run would be late, so that all tasks on time precede it.
            due_s = self._now + objective_s(live.job, self.speeds)
        if live.due_s is None:
            live.due_s = due_s
        step = live.job.steps[task.step]
        work_s = self.speeds.work_s(
            live.job.queue,
            step.estimate_ms / MS_PER_S,
        )
        self.waiting.add(
            task, live.job, due_s, work_s, assessment, live.has_begun
        )
        self.assignments.record_waiting(task, work_s)
