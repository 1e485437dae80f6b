"""The cells that a VM owns: claims them, runs them, gives them up."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple, Self

from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.cell_ownership import (
    CellClaimPolicy,
    PeerView,
)
from camphorlink.internal.core.process.job_table import Change
from camphorlink.internal.core.process.transient_job_table import TaskReport
from camphorlink.internal.core.request.job_records import CellClaimed
from camphorlink.internal.shell.ports import BackendPort
from camphorlink.internal.shell.process.cell_host import CellHost
from camphorlink.internal.shell.process.job_log import SNAPSHOT_S, JobLog
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.published import Published
from camphorlink.internal.shell.process.steady_clock import now_s

#: Time after an answered claim in which it is not repeated, in seconds.
CLAIM_PAUSE_S = 0.3


class CellTools(NamedTuple):
    """What the cells of a VM work with."""

    job_log: JobLog
    published: Published
    backends: BackendPort
    speeds: RunSpeeds
    on_count: Callable[[str, str], None]
    on_report: Callable[[str, TaskReport], None]


class CellKeeper:
    """Owns the hosts of the cells that the log says are this VM's.

    Attributes:
        host_by_cell: The cells that it commands.
    """

    def __init__(
        self,
        member: str,
        cells: tuple[str, ...],
        tools: CellTools,
    ) -> None:
        """Takes this process's name and all cells that there are."""
        self.host_by_cell: dict[str, CellHost] = {}
        self._member = member
        self._tools = tools
        started_s = now_s()
        self._claims_by_cell = {
            cell: CellClaimPolicy(cell, started_s) for cell in cells
        }
        self._claim_by_cell: dict[str, asyncio.Future[int]] = {}
        self._snapshot_s = started_s
        self._snapshot: asyncio.Task[None] | None = None
        self._log = PartLog('cells')

    def __enter__(self) -> Self:
        """Starts with no cell."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Gives all cells up."""
        self.drop_all()

    def note_change(self, change: Change) -> None:
        """Takes a change of the job table."""
        table = self._tools.job_log.table
        for cell, host in list(self.host_by_cell.items()):
            if host.cell.owns(table):
                host.note_change(change)
            else:
                self._drop(cell)
        for cell, owner in table.owner_by_cell.items():
            if owner.member == self._member and cell in self._claim_by_cell:
                self._take(cell, owner.term)

    def note_listing(self) -> None:
        """Takes a new list of back ends."""
        for host in self.host_by_cell.values():
            host.note_listing(self._tools.published.listed_by_id)

    def note_lost(self, member: str) -> None:
        """Stops all that a member who is gone had given to our cells."""
        for host in self.host_by_cell.values():
            host.drop_coordinator(member)

    def drop_all(self) -> None:
        """Gives all cells up."""
        for cell in list(self.host_by_cell):
            self._drop(cell)

    def claim_due(self, me: PeerView, peers: list[PeerView]) -> None:
        """Claims the cells whose turn has come for this VM."""
        if not self._tools.job_log.is_caught_up:
            return
        for cell, claims in self._claims_by_cell.items():
            if cell in self._claim_by_cell:
                continue
            owner = self._tools.job_log.table.owner_of(cell)
            # After a reset of the table, a cell of ours has no host.
            is_lost = (
                owner.member == self._member and cell not in self.host_by_cell
            )
            if is_lost or claims.should_claim(me, peers, owner, now_s()):
                claims.reset_claim_delay()
                self._claim(cell, owner.term)

    def take_snapshot_if_due(self) -> None:
        """Writes a snapshot from time to time, if that falls to this VM."""
        if not self.host_by_cell or now_s() < self._snapshot_s + SNAPSHOT_S:
            return
        self._snapshot_s = now_s()
        writer = min(self.host_by_cell)
        job_log = self._tools.job_log
        if writer == min(job_log.table.owner_by_cell):
            self._snapshot = asyncio.get_running_loop().create_task(
                job_log.write_snapshot(writer),
            )

    def _claim(self, cell: str, replaces: int) -> None:
        self._log.info('claims', extra={'cell': cell, 'replaces': replaces})
        claim = CellClaimed(cell, replaces, self._member)
        done = self._tools.job_log.append(claim)
        self._claim_by_cell[cell] = done
        loop = asyncio.get_running_loop()
        done.add_done_callback(
            lambda _: loop.call_later(CLAIM_PAUSE_S, self._unclaim, cell, done),
        )

    def _unclaim(self, cell: str, done: asyncio.Future[int]) -> None:
        if self._claim_by_cell.get(cell) is done:
            self._claim_by_cell.pop(cell)

    def _take(self, cell: str, term: int) -> None:
        self._claim_by_cell.pop(cell)
        tools = self._tools
        host = CellHost(
            Cell(cell, term, tools.job_log.table, tools.speeds, now_s()),
            tools.job_log,
            tools.backends,
            tools.on_count,
            tools.on_report,
        )
        self.host_by_cell[cell] = host
        host.__enter__()
        host.note_listing(tools.published.listed_by_id)

    def _drop(self, cell: str) -> None:
        self.host_by_cell.pop(cell).__exit__(None, None, None)
