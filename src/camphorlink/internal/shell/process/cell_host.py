"""Runs one cell on the event loop while this VM owns it."""

import asyncio
from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from types import TracebackType
from typing import Self

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    RenewLeases,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.cell_effects import (
    CellEffect,
    CheckOwnership,
    Count,
    Note,
    Store,
)
from camphorlink.internal.core.process.job_table import Change
from camphorlink.internal.core.process.predecessor import is_confirmed
from camphorlink.internal.core.process.transient_work import TaskReport
from camphorlink.internal.core.request.transient_jobs import GiveTasks
from camphorlink.internal.shell.ports import BackendPort
from camphorlink.internal.shell.process.backend_calls import BackendCalls
from camphorlink.internal.shell.process.job_log import JobLog
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s

#: Period of what is due by time alone, in seconds: a fifteenth of a hold.
TICK_S = 0.02

OnCount = Callable[[str, str], None]


class CellHost:
    """Carries out what a cell decides, and tells it what came of it."""

    def __init__(
        self,
        cell: Cell,
        job_log: JobLog,
        backends: BackendPort,
        on_count: OnCount,
        on_report: Callable[[str, TaskReport], None],
    ) -> None:
        """Takes the cell and what it works with."""
        self.cell = cell
        self._job_log = job_log
        self._on_count = on_count
        self._on_report = on_report
        self._log = PartLog('cell', cell=cell.name)
        self._calls = BackendCalls(backends, cell.commander, self._place)
        self._ticker: asyncio.Task[None] | None = None
        self._is_open = False
        # Looking a single-dispatch method up builds a function every time.
        self._dispatch = self._carry_out

    def __enter__(self) -> Self:
        """Starts the ticks."""
        self._is_open = True
        self._ticker = asyncio.get_running_loop().create_task(self._tick())
        self._log.info('cell taken over', extra={'term': self.cell.term})
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops all calls; back ends keep what runs until it lapses."""
        self._is_open = False
        if self._ticker is not None:
            self._ticker.cancel()
        self._calls.close()
        self._log.info('cell given up', extra={'term': self.cell.term})

    def note_change(self, change: Change) -> None:
        """Takes a change of the job table."""
        self.cell.note_change(change, now_s())
        self._place()

    def note_listing(self, listed_by_id: Mapping[str, ListedBackend]) -> None:
        """Takes the platform's list of back ends, of all zones."""
        ours = {
            backend_id: backend
            for backend_id, backend in listed_by_id.items()
            if backend.zone == self.cell.name
        }
        self.cell.note_listing(ours, now_s())
        self._flush()

    def run_transient(self, given: GiveTasks, coordinator: str) -> None:
        """Takes tasks of a transient job."""
        self.cell.run_transient(given, coordinator, now_s())
        self._place()

    def drop_transient(self, job_id: str) -> None:
        """Stops what a coordinator does not want any more."""
        self.cell.drop_transient(job_id, now_s())
        self._place()

    def drop_coordinator(self, member: str) -> None:
        """Stops all that a coordinator who is gone had given."""
        self.cell.drop_coordinator(member, now_s())
        self._place()

    async def _tick(self) -> None:
        while True:
            self.cell.tick(now_s(), self._job_log.confirmed_s)
            self._flush()
            await asyncio.sleep(TICK_S)

    def _place(self) -> None:
        if is_confirmed(self._job_log.confirmed_s, now_s()):
            self.cell.place(now_s())
        self._flush()

    def _flush(self) -> None:
        for effect in self.cell.take_effects():
            self._dispatch(effect)

    @singledispatchmethod
    def _carry_out(self, effect: CellEffect) -> None:
        raise TypeError(effect)

    @_carry_out.register
    def _order(self, effect: StartRun | StopRun | RenewLeases) -> None:
        self._calls.send(effect)

    @_carry_out.register
    def _store(self, effect: Store) -> None:
        self._job_log.append(effect.record)

    @_carry_out.register
    def _report(self, effect: TaskReport) -> None:
        self._on_report(self.cell.name, effect)

    @_carry_out.register
    def _check(self, effect: CheckOwnership) -> None:
        self._calls.run(self._job_log.catch_up())

    @_carry_out.register
    def _count(self, effect: Count) -> None:
        self._on_count(effect.family, effect.reason)

    @_carry_out.register
    def _note(self, effect: Note) -> None:
        self._log.info(effect.event, extra=effect.facts)
