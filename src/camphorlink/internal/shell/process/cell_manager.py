"""Claims, runs and releases the cells that a VM owns."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple, Self

from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.cell_effects import ReturnTasks
from camphorlink.internal.core.process.cell_load import count_waiting_jobs
from camphorlink.internal.core.process.cell_ownership import (
    CellClaimPolicy,
    PeerView,
)
from camphorlink.internal.core.process.job_table import Change
from camphorlink.internal.core.process.transient_job_table import TaskReport
from camphorlink.internal.core.request.job_records import CellClaimed
from camphorlink.internal.shell.ports import BackendPort
from camphorlink.internal.shell.process.background import start_logged
from camphorlink.internal.shell.process.cell_host import CellCallbacks, CellHost
from camphorlink.internal.shell.process.job_log import SNAPSHOT_PERIOD_S, JobLog
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.peers import NodeSettings, Peers
from camphorlink.internal.shell.process.published_state import PublishedState
from camphorlink.internal.shell.process.steady_clock import now_s

#: Time after an answered claim before the cell may be claimed again, in
#: seconds.
CLAIM_RETRY_DELAY_S = 0.3
#: Period of the checks whether a cell must be claimed, in seconds, and the same
#: while this VM may have to claim one: less than the delay between two ranks.
CLAIM_CHECK_S = 0.2
URGENT_CLAIM_CHECK_S = 0.04


class CellDependencies(NamedTuple):
    """Dependencies that all cells of a VM share."""

    job_log: JobLog
    published: PublishedState
    backends: BackendPort
    speeds: RunSpeeds
    on_count: Callable[[str, str], None]
    on_report: Callable[[str, TaskReport], None]
    on_returned: Callable[[str, ReturnTasks], None]
    on_expired: Callable[[str], None]


class CellManager:
    """Runs a host for each cell that this VM owns according to the job log.

    Attributes:
        host_by_cell: Hosts of the owned cells.
    """

    def __init__(
        self,
        peers: Peers,
        settings: NodeSettings,
        shared: CellDependencies,
    ) -> None:
        """Creates a manager that owns no cell.

        Args:
            peers: The other VMs.
            settings: Settings of this VM; each zone is a cell.
            shared: Dependencies of all cells.
        """
        self.host_by_cell: dict[str, CellHost] = {}
        self._peers = peers
        self._member = peers.member
        self._cores = settings.cores
        self._shared = shared
        started_s = now_s()
        self._claims_by_cell = {
            cell: CellClaimPolicy(cell, started_s) for cell in settings.zones
        }
        self._append_by_cell: dict[str, asyncio.Future[int]] = {}
        self._last_snapshot_s = started_s
        self._snapshot_task: asyncio.Task[None] | None = None
        self._log = PartLog('cells')

    def __enter__(self) -> Self:
        """Returns the manager; cells are claimed later."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Releases all cells."""
        self.release_all()

    def handle_change(self, change: Change) -> None:
        """Passes on a change of the job table; starts and stops hosts."""
        table = self._shared.job_log.table
        for cell, host in list(self.host_by_cell.items()):
            if host.cell.owns(table):
                host.handle_change(change)
            else:
                self._release(cell)
        for cell, owner in table.owner_by_cell.items():
            if owner.member == self._member and cell in self._append_by_cell:
                self._start_host(cell, owner.term)

    def count_waiting_jobs(self) -> dict[str, dict[str, int]]:
        """Returns the number of waiting jobs by queue, for each owned cell."""
        return {
            cell: count_waiting_jobs(host.cell)
            for cell, host in self.host_by_cell.items()
        }

    def update_backends(self) -> None:
        """Passes a new list of back ends to all hosts."""
        for host in self.host_by_cell.values():
            self._update_host(host)

    def _update_host(self, host: CellHost) -> None:
        published = self._shared.published
        host.cell.waiting.apply_shares(published.share_by_queue)
        host.update_backends(published.listed_by_id, published.clock_by_id)

    def handle_lost_member(self, member: str) -> None:
        """Stops the transient jobs that a lost member coordinated."""
        for host in self.host_by_cell.values():
            host.drop_coordinator(member)

    def release_all(self) -> None:
        """Stops the hosts of all owned cells."""
        for cell in list(self.host_by_cell):
            self._release(cell)

    def claim_due_cells(self, own_view: PeerView) -> None:
        """Claims the cells that this VM should own, given the other VMs.

        Args:
            own_view: State of this VM.
        """
        if not self._shared.job_log.is_caught_up:
            return
        views = self._peers.views
        listed = self._peers.listed
        for cell, claims in self._claims_by_cell.items():
            if cell in self._append_by_cell:
                continue
            owner = self._shared.job_log.table.owner_of(cell)
            # After a reset of the job table, an owned cell has no host.
            has_lost_host = (
                owner.member == self._member and cell not in self.host_by_cell
            )
            if has_lost_host or claims.should_claim(
                own_view, views, owner, now_s(), listed, self._cores
            ):
                claims.reset_claim_delay()
                self._claim(cell, owner.term)

    def claim_check_period_s(self, own_view: PeerView) -> float:
        """Returns the time until the next check of claims, in seconds."""
        now = now_s()
        is_due_soon = any(
            claims.is_due_soon(own_view, now)
            for claims in self._claims_by_cell.values()
        )
        return URGENT_CLAIM_CHECK_S if is_due_soon else CLAIM_CHECK_S

    def write_snapshot_if_due(self) -> None:
        """Starts to write a snapshot if one is due and this VM writes it.

        The owner of the first cell by name writes the snapshots.
        """
        if (
            not self.host_by_cell
            or now_s() < self._last_snapshot_s + SNAPSHOT_PERIOD_S
        ):
            return
        self._last_snapshot_s = now_s()
        writer = min(self.host_by_cell)
        job_log = self._shared.job_log
        if writer == min(job_log.table.owner_by_cell):
            self._snapshot_task = start_logged(
                job_log.write_snapshot(writer), self._log
            )

    def _claim(self, cell: str, replaced_term: int) -> None:
        self._log.info(
            'claims', extra={'cell': cell, 'replaces': replaced_term}
        )
        claim = CellClaimed(cell, replaced_term, self._member)
        done = self._shared.job_log.append(claim)
        self._append_by_cell[cell] = done
        loop = asyncio.get_running_loop()
        done.add_done_callback(
            lambda _: loop.call_later(
                CLAIM_RETRY_DELAY_S, self._remove_append, cell, done
            ),
        )

    def _remove_append(self, cell: str, done: asyncio.Future[int]) -> None:
        if self._append_by_cell.get(cell) is done:
            self._append_by_cell.pop(cell)

    def _start_host(self, cell: str, term: int) -> None:
        self._append_by_cell.pop(cell)
        shared = self._shared
        host = CellHost(
            Cell(
                cell,
                term,
                shared.job_log.table,
                shared.speeds,
                self._peers.leases,
                now_s(),
                shared.published.drains.get,
            ),
            shared.job_log,
            shared.backends,
            CellCallbacks(
                shared.on_count,
                shared.on_report,
                shared.on_returned,
                shared.on_expired,
                self._release,
                shared.published.read_soon,
            ),
        )
        self.host_by_cell[cell] = host
        host.__enter__()
        self._update_host(host)

    def _release(self, cell: str) -> None:
        self.host_by_cell.pop(cell).__exit__(None, None, None)
