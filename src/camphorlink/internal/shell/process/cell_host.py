"""Runs one cell on the event loop while this VM owns it."""

import asyncio
from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from types import TracebackType
from typing import NamedTuple, Self

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    RenewLeases,
    ReportedClock,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.cell_effects import (
    AppendRecord,
    CellEffect,
    CheckOwnership,
    CoordinatorExpired,
    CountEvent,
    LogEvent,
    ReadBackends,
    ReturnTasks,
)
from camphorlink.internal.core.process.job_table import Change
from camphorlink.internal.core.process.predecessor import is_ownership_confirmed
from camphorlink.internal.core.process.suspension import SuspensionDetector
from camphorlink.internal.core.process.transient_job_table import TaskReport
from camphorlink.internal.core.request.transient_jobs import (
    AssignTasks,
    DropJob,
    KeepJobs,
)
from camphorlink.internal.shell.ports import BackendPort
from camphorlink.internal.shell.process.backend_calls import BackendCalls
from camphorlink.internal.shell.process.background import repeat
from camphorlink.internal.shell.process.job_log import JobLog
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s

#: Period of the checks that depend on time only, in seconds: a fifteenth of
#: the longest wait of a lease renewal.
TICK_PERIOD_S = 0.02

OnCount = Callable[[str, str], None]


class CellCallbacks(NamedTuple):
    """Callbacks of a cell's host to the other parts of its VM.

    Attributes:
        on_count: Called with the family and the reason of each event to count.
        on_report: Called with the name of the cell and the report of each
            transient task that has ended.
        on_returned: Called with the name of the cell and the waiting tasks that
            it returns to a coordinator.
        on_expired: Called with each coordinator whose lease has expired.
        on_suspended: Called with the name of the cell when this process was
            suspended; must leave the context of the host.
        on_list_outdated: Called when the list of back ends must be read.
    """

    on_count: OnCount
    on_report: Callable[[str, TaskReport], None]
    on_returned: Callable[[str, ReturnTasks], None]
    on_expired: Callable[[str], None]
    on_suspended: Callable[[str], None]
    on_list_outdated: Callable[[], None]


class CellHost:
    """Carries out the effects of a cell and passes results back to it.

    Attributes:
        cell: The state machine of the cell.
    """

    def __init__(
        self,
        cell: Cell,
        job_log: JobLog,
        backends: BackendPort,
        callbacks: CellCallbacks,
    ) -> None:
        """Creates the host; it runs nothing before the context is entered.

        Args:
            cell: The state machine of the cell.
            job_log: Stores the records of the cell.
            backends: Sends commands to back ends.
            callbacks: Receives what the cell has to tell others.
        """
        self.cell = cell
        self._callbacks = callbacks
        self._suspension = SuspensionDetector(now_s())
        self._job_log = job_log
        self._log = PartLog('cell', cell=cell.name)
        self._calls = BackendCalls(backends, cell.commander, self._place_tasks)
        self._ticker: asyncio.Task[None] | None = None
        self._is_open = False
        # Cached: each access to a single-dispatch method builds a function.
        self._dispatch = self._carry_out

    def __enter__(self) -> Self:
        """Starts the periodic checks."""
        self._is_open = True
        self._suspension = SuspensionDetector(now_s())
        self._ticker = asyncio.get_running_loop().create_task(
            repeat(self._tick, lambda: TICK_PERIOD_S, self._log)
        )
        self._log.info('cell taken over', extra={'term': self.cell.term})
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the periodic checks and cancels all calls to back ends.

        Runs on back ends continue until their leases expire.
        """
        self._is_open = False
        if self._ticker is not None:
            self._ticker.cancel()
        self._calls.close()
        self._log.info('cell released', extra={'term': self.cell.term})

    def handle_change(self, change: Change) -> None:
        """Processes a change of the job table, then places waiting tasks."""
        self.cell.handle_change(change, now_s())
        self._place_tasks()

    def update_backends(
        self,
        listed_by_id: Mapping[str, ListedBackend],
        clock_by_id: Mapping[str, ReportedClock],
    ) -> None:
        """Updates the cell's back ends.

        Args:
            listed_by_id: All back ends that the platform lists, of all zones.
            clock_by_id: The clock that each back end has last reported.
        """
        own_backend_by_id = {
            backend_id: backend
            for backend_id, backend in listed_by_id.items()
            if backend.zone == self.cell.name
        }
        self.cell.update_backends(own_backend_by_id, now_s(), clock_by_id)
        self._carry_out_effects()

    def run_transient(self, assignment: AssignTasks, coordinator: str) -> None:
        """Accepts tasks of a transient job.

        Args:
            assignment: The tasks.
            coordinator: Member that coordinates the job.
        """
        self.cell.assignments.accept(assignment, coordinator, now_s())
        self._place_tasks()

    def stop_jobs(self, command: DropJob | KeepJobs, coordinator: str) -> None:
        """Stops transient jobs as their coordinator commands."""
        self.cell.assignments.stop(command, coordinator, now_s())
        self._place_tasks()

    def drop_coordinator(self, member: str) -> None:
        """Stops the transient jobs of a coordinator that was lost."""
        self.cell.assignments.drop_coordinator(member, now_s())
        self._place_tasks()

    def _tick(self) -> None:
        if self._may_act():
            self.cell.tick(now_s(), self._job_log.confirmed_s)
            self._carry_out_effects()

    def _may_act(self) -> bool:
        """Returns whether commands may be sent; gives the cell up if not.

        A process that was suspended must not send what it decided before: its
        coordinators may have given the tasks to other cells meanwhile.
        """
        if self._is_open and self._suspension.has_been_suspended(now_s()):
            self._log.warning('process was suspended; giving up the cell')
            self._callbacks.on_count('released_cells', 'process-suspended')
            self._callbacks.on_suspended(self.cell.name)
        return self._is_open

    def _place_tasks(self) -> None:
        if not self._may_act():
            return
        self.cell.drain.refresh(now_s())
        if is_ownership_confirmed(self._job_log.confirmed_s, now_s()):
            self.cell.place(now_s())
        self._carry_out_effects()

    def _carry_out_effects(self) -> None:
        if not self._may_act():
            return
        for effect in self.cell.take_effects():
            self._dispatch(effect)

    @singledispatchmethod
    def _carry_out(self, effect: CellEffect) -> None:
        raise TypeError(effect)

    @_carry_out.register
    def _send_command(self, effect: StartRun | StopRun | RenewLeases) -> None:
        self._calls.send(effect)

    @_carry_out.register
    def _store_record(self, effect: AppendRecord) -> None:
        self._job_log.append(effect.record)

    @_carry_out.register
    def _notify_coordinator(self, effect: TaskReport | ReturnTasks) -> None:
        if isinstance(effect, ReturnTasks):
            self._callbacks.on_returned(self.cell.name, effect)
        else:
            self._callbacks.on_report(self.cell.name, effect)

    @_carry_out.register
    def _read_store(self, effect: CheckOwnership | ReadBackends) -> None:
        if isinstance(effect, ReadBackends):
            self._callbacks.on_list_outdated()
        else:
            self._calls.run(self._job_log.catch_up())

    @_carry_out.register
    def _notify_expired(self, effect: CoordinatorExpired) -> None:
        self._callbacks.on_expired(effect.member)

    @_carry_out.register
    def _count_event(self, effect: CountEvent) -> None:
        self._callbacks.on_count(effect.family, effect.reason)

    @_carry_out.register
    def _log_event(self, effect: LogEvent) -> None:
        self._log.info(effect.event, extra=effect.facts)
