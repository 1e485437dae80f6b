"""An entry VM for durable and transient jobs: owns all its parts."""

import asyncio
import collections
import contextlib
import functools
from collections.abc import Sequence
from types import TracebackType
from typing import NamedTuple, Self

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    DropTasks,
    LoadTold,
    NodeMessage,
    RecordsAppended,
    RunTasks,
    TaskEnded,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell_ownership import PeerView
from camphorlink.internal.core.process.job_table import (
    Change,
    JobTable,
    OwnerChanged,
)
from camphorlink.internal.core.process.transient_work import TaskReport
from camphorlink.internal.core.request.cell_choice import CellLoad
from camphorlink.internal.core.request.transient_jobs import (
    DropJob,
    GiveTasks,
)
from camphorlink.internal.shell.ports import (
    BackendPort,
    DirectoryPort,
    LogPort,
)
from camphorlink.internal.shell.process.cell_keeper import (
    CellKeeper,
    CellTools,
)
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.job_log import JobLog
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.peers import NodeSettings, Peers
from camphorlink.internal.shell.process.published import Published
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms

#: Period of heartbeats to peers, in seconds: several fit into the time after
#: which a silent peer is taken as gone.
HEARTBEAT_S = 0.2
#: Period of telling the load of owned cells, in seconds: about the time
#: between two jobs of a busy installation.
LOAD_PERIOD_S = 0.02
#: Time in which the balancer notices that a VM is not ready, and callers'
#: channels get their last answer, in seconds: two questions, one a second.
BALANCER_S = 3.5
#: Part of the grace that is spent on that, at most.
GRACE_SHARE = 0.6
#: Time that ended jobs are remembered, in seconds: the platform's bound for
#: reading a job's state, and some.
REMEMBERED_S = 130.0


class Platform(NamedTuple):
    """The platform that a VM runs on."""

    log: LogPort
    backends: BackendPort
    directory: DirectoryPort


class JobNode:
    """Stores jobs, follows the log, and owns cells when it is its turn.

    Attributes:
        is_leaving: Whether it is about to stop.
        counts: Events by family and reason.
    """

    def __init__(self, settings: NodeSettings, platform: Platform) -> None:
        """Takes settings and platform; nothing starts before the context."""
        self.is_leaving = False
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._zone = settings.zone
        self._log = PartLog('node', settings.name)
        self._stack = contextlib.AsyncExitStack()
        self._waiting_by_cell: dict[str, dict[str, int]] = {}
        self._told_by_cell: dict[str, tuple[CellLoad, float]] = {}
        speeds = RunSpeeds()
        self._speeds = speeds
        self.peers = Peers(
            settings,
            platform.log,
            self._hear,
            self._note_lost,
        )
        self.coordinator = Coordinator(
            settings.zone,
            speeds,
            self._send_to_cell,
        )
        self.job_log = JobLog(platform.log, self.peers.member, self)
        self.published = Published(
            platform.log,
            platform.directory,
            self._note_listing,
        )
        self.cells = CellKeeper(
            self.peers.member,
            settings.zones,
            CellTools(
                self.job_log,
                self.published,
                platform.backends,
                speeds,
                self._count,
                self._report,
            ),
        )
        # Looking a single-dispatch method up builds a function every time.
        self._take_message = self._take

    @property
    def table(self) -> JobTable:
        """The state of all durable jobs."""
        return self.job_log.table

    @property
    def is_ready(self) -> bool:
        """Whether new callers are welcome."""
        return (
            self.published.config is not None
            and self.job_log.is_caught_up
            and self._view().is_fit
        )

    async def __aenter__(self) -> Self:
        """Starts all parts; none of them waits for another VM."""
        for part in (self.peers, self.job_log, self.published):
            await self._stack.enter_async_context(part)
        self._stack.enter_context(self.cells)
        loop = asyncio.get_running_loop()
        for work in (self._beat_forever(), self._tell_loads()):
            task = loop.create_task(work)
            self._stack.callback(task.cancel)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Gives up all cells and stops all parts."""
        await self._stack.aclose()

    async def leave(self, grace_s: float) -> None:
        """Leaves the balancer, lets peers take the cells, answers the rest.

        Args:
            grace_s: Time until the process is killed.
        """
        self.is_leaving = True
        self._log.info('leaving')
        self._beat()
        await asyncio.sleep(min(BALANCER_S, grace_s * GRACE_SHARE))

    def choose_cell(self) -> str:
        """Chooses the cell of a durable job: this zone's, if it has one."""
        owned = self.table.owner_by_cell
        if self._zone in owned or not owned:
            return self._zone
        return min(owned)

    def pending_jobs(self, queue: str) -> int:
        """Returns how many accepted jobs of a queue no task of has started."""
        return sum(
            waiting.get(queue, 0) for waiting in self._waiting_by_cell.values()
        )

    # News of the job log.

    def note_change(self, change: Change) -> None:
        """Takes a change of the job table."""
        self.cells.note_change(change)
        if isinstance(change, OwnerChanged):
            self.coordinator.note_owner(change.cell)

    def note_reset(self) -> None:
        """Takes that the table was replaced: our cells start anew."""
        self.cells.drop_all()

    def announce(self, offset: int, records: Sequence[bytes]) -> None:
        """Tells peers of records that were appended here."""
        self.peers.tell_all(RecordsAppended(offset, tuple(records)))

    def _note_listing(self) -> None:
        self.cells.note_listing()

    def _count(self, family: str, reason: str) -> None:
        self.counts[family, reason] += 1

    # Messages of peers.

    def _hear(self, message: NodeMessage) -> None:
        self._take_message(message)

    @functools.singledispatchmethod
    def _take(self, message: NodeMessage) -> None:
        raise TypeError(message)

    @_take.register
    def _take_beat(self, message: Beat) -> None:
        self._waiting_by_cell.update(message.waiting_by_cell)

    @_take.register
    def _take_records(self, message: RecordsAppended) -> None:
        self.job_log.hear(message.offset, message.records)

    @_take.register
    def _take_load(self, message: LoadTold) -> None:
        self.coordinator.note_load(message.load)

    @_take.register
    def _take_run(self, message: RunTasks) -> None:
        host = self.cells.host_by_cell.get(message.cell)
        if host is None:
            self._count('lost_messages', 'cell-not-owned')
            return
        given = GiveTasks(
            message.cell,
            message.job,
            message.tasks,
            message.may_have_run,
        )
        host.run_transient(given, message.coordinator)

    @_take.register
    def _take_drop(self, message: DropTasks) -> None:
        host = self.cells.host_by_cell.get(message.cell)
        if host is not None:
            host.drop_transient(message.job_id)

    @_take.register
    def _take_ended(self, message: TaskEnded) -> None:
        self.coordinator.note_report(message.task, message.is_done)

    # Transient jobs.

    def _send_to_cell(self, cell: str, order: GiveTasks | DropJob) -> None:
        host = self.cells.host_by_cell.get(cell)
        if host is None:
            owner = self.table.owner_of(cell).member
            self.peers.tell(owner, self._message_of(order))
        elif isinstance(order, DropJob):
            host.drop_transient(order.job_id)
        else:
            host.run_transient(order, self.peers.member)

    def _message_of(self, order: GiveTasks | DropJob) -> NodeMessage:
        if isinstance(order, DropJob):
            return DropTasks(order.cell, order.job_id)
        return RunTasks(
            self.peers.member,
            order.cell,
            order.job,
            order.tasks,
            order.may_have_run,
        )

    def _report(self, cell: str, report: TaskReport) -> None:
        if report.coordinator == self.peers.member:
            self.coordinator.note_report(report.task, report.is_done)
        else:
            ended = TaskEnded(report.task, report.is_done)
            self.peers.tell(report.coordinator, ended)

    # Time.

    def _view(self) -> PeerView:
        return PeerView(
            self.peers.member,
            self._zone,
            0,
            now_s() - self.job_log.answered_s,
            self.is_leaving,
        )

    def _note_lost(self, member: str) -> None:
        self.cells.note_lost(member)
        for cell, owner in self.table.owner_by_cell.items():
            if owner.member == member:
                self.coordinator.note_lost_owner(
                    cell,
                    functools.partial(self._is_lost, cell, member),
                )
        self.cells.claim_due(self._view(), self.peers.views)

    def _is_lost(self, cell: str, member: str) -> bool:
        return self.table.owner_of(
            cell,
        ).member == member and not self.peers.is_known(member)

    def _beat(self) -> None:
        waiting_by_cell = {
            cell: host.cell.count_waiting_jobs()
            for cell, host in self.cells.host_by_cell.items()
        }
        self._waiting_by_cell.update(waiting_by_cell)
        store_age_s = min(self._view().store_age_s, REMEMBERED_S)
        self.peers.beat(store_age_s, self.is_leaving, waiting_by_cell)

    async def _beat_forever(self) -> None:
        while True:
            self._beat()
            self.cells.claim_due(self._view(), self.peers.views)
            self.cells.take_snapshot_if_due()
            self.table.forget_before(wall_ms() - int(REMEMBERED_S * 1000))
            self._speeds.relax()
            await asyncio.sleep(HEARTBEAT_S)

    async def _tell_loads(self) -> None:
        while True:
            for host in self.cells.host_by_cell.values():
                load = host.cell.load(now_s())
                self.coordinator.note_load(load)
                self._tell_load(load)
            await asyncio.sleep(LOAD_PERIOD_S)

    def _tell_load(self, load: CellLoad) -> None:
        """Tells peers a load that has changed, or was told long ago."""
        told, told_s = self._told_by_cell.get(load.cell, (None, 0.0))
        if load != told or now_s() - told_s > HEARTBEAT_S:
            self._told_by_cell[load.cell] = (load, now_s())
            self.peers.tell_all(LoadTold(load))
