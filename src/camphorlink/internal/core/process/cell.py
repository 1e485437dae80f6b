"""The decisions of a cell's owner: what starts where, and what has ended.

A cell is the back ends of one availability zone.  Its owner alone gives them
orders, under its term as fencing token.  Durable tasks come from the job
table, and their ends are stored before they are acknowledged; tasks of
transient jobs come from the VMs that coordinate these, and their ends are
reported back.
"""

from functools import singledispatchmethod

from camphorlink.internal.core.connection.backend_commands import (
    FinishedRun,
    ListedBackend,
)
from camphorlink.internal.core.connection.backend_monitor import (
    BackendMonitor,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell_effects import CellEffect, Store
from camphorlink.internal.core.process.commander import Commander, EndFate
from camphorlink.internal.core.process.end_desk import (
    EndDesk,
    EndTools,
)
from camphorlink.internal.core.process.job_table import (
    Change,
    EndsStored,
    JobEnded,
    JobTable,
    LiveJob,
    OwnerChanged,
    TasksDue,
)
from camphorlink.internal.core.process.open_jobs import OpenJobs
from camphorlink.internal.core.process.predecessor import (
    OldTasks,
    Predecessor,
    is_confirmed,
)
from camphorlink.internal.core.process.task_starter import TaskStarter
from camphorlink.internal.core.process.transient_work import TransientWork
from camphorlink.internal.core.request.durable_job import (
    Resources,
    TaskKey,
)
from camphorlink.internal.core.request.job_records import (
    Commanded,
)
from camphorlink.internal.core.request.task_placement import (
    MS_PER_S,
    objective_s,
)
from camphorlink.internal.core.request.transient_jobs import GiveTasks
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTasks,
)


class Cell:
    """Runs tasks on the back ends of one cell in one term.

    Attributes:
        name: The availability zone.
        term: Fencing token.
        waiting: Tasks that wait for room.
        transient: Transient jobs with open tasks here.
        commander: The back ends.
    """

    def __init__(
        self,
        name: str,
        term: int,
        table: JobTable,
        speeds: RunSpeeds,
        now: float,
    ) -> None:
        """Takes over: what ran before is unknown until back ends list it."""
        self.name = name
        self.term = term
        self.waiting = WaitingTasks()
        self.transient = TransientWork(name)
        self._jobs = OpenJobs(table, self.transient)
        self.speeds = speeds
        self._now = now
        self._table = table
        self._effects: list[CellEffect] = []
        self._predecessor = Predecessor(
            table.commanded_by_cell.get(name, {}),
            now,
        )
        self.commander = Commander(
            term,
            self,
            self._predecessor,
            self._effects,
        )
        self.ledger = self.commander.ledger
        backend_monitor = BackendMonitor()
        self._starter = TaskStarter(
            name,
            table,
            self.ledger,
            speeds,
            self.waiting,
            self._jobs.find_with,
        )
        self._ends = EndDesk(
            EndTools(
                name,
                table,
                self.transient,
                self.waiting,
                self.ledger,
                speeds,
                backend_monitor,
                self._requeue,
                self._effects,
            ),
            now,
        )
        #: What the commander asks of the runs' owner.
        self.is_handed_over = self._ends.is_handed_over
        self._commanded: dict[str, int] | None = None
        self._old_tasks = OldTasks(self._predecessor, now)
        for live in table.live_by_id.values():
            for task in live.due_tasks():
                if live.cell_of(task) == name:
                    self._old_tasks.add(live, task)

    def take_effects(self) -> list[CellEffect]:
        """Returns what is to be done, once."""
        effects = self._effects.copy()
        self._effects.clear()
        return effects

    def owns(self, table: JobTable) -> bool:
        """Tells whether the log still names this term as the owner's."""
        return table.owner_of(self.name).term == self.term

    # Transient jobs.

    def run_transient(
        self,
        given: GiveTasks,
        coordinator: str,
        now: float,
    ) -> None:
        """Takes tasks of a transient job.

        Args:
            given: The tasks.
            coordinator: Member to report to.
            now: Time in seconds.
        """
        self._now = now
        fresh = []
        for task in given.tasks:
            report = self.transient.report_again(task, coordinator)
            if report is None:
                fresh.append(task)
            else:
                self._effects.append(report)
        if not fresh:
            return
        live = self.transient.accept(given.job, fresh, coordinator).live
        if live.due_s is None:
            live.due_s = now + given.objective_s
        for task in fresh:
            is_old = given.may_have_run or task in self.ledger.stray_tasks
            if self._ends.claim(live, task, now):
                continue
            if not self._old_tasks.keeps(live, task, now, is_old):
                self._enqueue(live, task)

    def drop_transient(self, job_id: str, now: float) -> None:
        """Stops what a coordinator does not want any more."""
        for task in self.transient.drop(job_id):
            self.waiting.discard(task)
            self.ledger.stop_task(task, now)

    def drop_coordinator(self, member: str, now: float) -> None:
        """Stops all that a coordinator who is gone had given to this cell."""
        for job_id in self.transient.of_coordinator(member):
            self.drop_transient(job_id, now)

    # Changes of the job table.

    @singledispatchmethod
    def note_change(self, change: Change, now: float) -> None:
        """Takes a change of the job table; a new owner is the shell's matter.

        Raises:
            TypeError: If the change is of an unknown type.
        """
        if not isinstance(change, OwnerChanged):
            raise TypeError(change)

    @note_change.register
    def _note_due(self, change: TasksDue, now: float) -> None:
        for task in change.tasks:
            if change.live.cell_of(task) == self.name:
                self._ends.being_stored.discard(task)
                if change.is_fresh or self._predecessor.is_over(now):
                    self._enqueue(change.live, task)
                else:
                    self._old_tasks.add(change.live, task)

    @note_change.register
    def _note_stored(self, change: EndsStored, now: float) -> None:
        if change.cell == self.name:
            self._ends.record_stored(change, now)

    @note_change.register
    def _note_ended(self, change: JobEnded, now: float) -> None:
        job = change.live.job
        for step, entry in enumerate(job.steps):
            for number in range(entry.width):
                task = TaskKey(job.job_id, step, number)
                self.waiting.discard(task)
                self.ledger.stop_task(task, now)

    # Back ends.

    def note_listing(
        self,
        listed_by_id: dict[str, ListedBackend],
        now: float,
    ) -> None:
        """Takes the back ends of this cell as the platform lists them now."""
        self.commander.note_listing(listed_by_id, now)
        self._store_commanded()

    def _store_commanded(self) -> None:
        lifetimes = self._predecessor.unheard_by_id | {
            backend_id: runs.listed.started_ms
            for backend_id, runs in self.ledger.runs_by_backend.items()
        }
        if lifetimes != self._commanded:
            self._commanded = lifetimes
            rows = tuple(sorted(lifetimes.items()))
            self._effects.append(
                Store(Commanded(self.name, self.term, rows)),
            )

    def needs_of(self, task: TaskKey) -> Resources | None:
        """Returns what a task takes, or ``None`` when it should not run."""
        live = self._jobs.find_with(task)
        if live is None:
            return None
        self.waiting.discard(task)
        return live.job.steps[task.step].needs

    def take_end(
        self,
        runs: BackendRuns,
        end: FinishedRun,
        run: Run | None,
        now: float,
    ) -> EndFate:
        """Takes a listed end, of a known run or of another term's."""
        return self._ends.take_end(runs, end, run, now)

    def take_lost(self, runs: BackendRuns, run: Run) -> None:
        """Takes a run that is over without a listed end."""
        live = self._jobs.find(run.task.job_id)
        if live is not None and run.checkpoint:
            live.checkpoint_by_task[run.task] = run.checkpoint
        if run.wants_retry and live is not None:
            self._requeue(live, run)

    # Time and placement.

    def tick(self, now: float, confirmed_s: float) -> None:
        """Does what is due.

        Args:
            now: Time in seconds.
            confirmed_s: When the store last confirmed this owner: leases are
                renewed and tasks are started for a while after that.
        """
        self._now = now
        may_renew = is_confirmed(confirmed_s, now)
        self.commander.tick(now, confirmed_s)
        self._ends.tick(now)
        if may_renew:
            for live, task in self._old_tasks.take_due(now):
                self._enqueue(live, task)
            self._starter.restart_stalled(now)
            self.place(now)

    def place(self, now: float) -> None:
        """Starts waiting tasks where there is room."""
        self._starter.place(now)

    def _requeue(self, live: LiveJob, run: Run) -> None:
        """Lets a task run again, once nothing unseen can run it.

        Of a run that was found, an earlier owner may have ordered another
        since, at a back end that has not answered yet.
        """
        if run.is_started_by_owner or self._predecessor.is_over(self._now):
            self._enqueue(live, run.task)
        else:
            self._old_tasks.add(live, run.task)

    def _enqueue(self, live: LiveJob, task: TaskKey) -> None:
        if task in self.ledger.backends_by_task:
            return
        is_open = self._jobs.find_with(task) is live
        if not is_open or task in self._ends.being_stored:
            return
        if live.due_s is None:
            live.due_s = self._now + objective_s(live.job, self.speeds)
        step = live.job.steps[task.step]
        work_s = self.speeds.work_s(
            live.job.queue,
            step.estimate_ms / MS_PER_S,
        )
        self.waiting.add(task, live.job, live.due_s, work_s)
