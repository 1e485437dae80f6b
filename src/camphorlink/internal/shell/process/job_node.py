"""Creates and connects all parts of an entry VM that runs jobs."""

import asyncio
import collections
from collections.abc import Sequence
from typing import NamedTuple, Self

from camphorlink.internal.core.connection.node_messages import (
    NodeMessage,
    RecordsAppended,
    Stamp,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell_ownership import PeerView
from camphorlink.internal.core.process.job_table import (
    Change,
    JobEnded,
    JobTable,
    JobWithdrawn,
    OwnerChanged,
    TasksGivenUp,
)
from camphorlink.internal.core.request.cell_selector import CellPlan
from camphorlink.internal.core.request.durable_job import DurableJob
from camphorlink.internal.shell.ports import (
    BackendPort,
    DirectoryPort,
    LogPort,
)
from camphorlink.internal.shell.process.background import repeat
from camphorlink.internal.shell.process.cell_manager import (
    CellDependencies,
    CellManager,
)
from camphorlink.internal.shell.process.cell_sender import CellSender
from camphorlink.internal.shell.process.completion_waiters import (
    CompletionWaiters,
)
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.job_log import (
    ENDED_JOB_RETENTION_S,
    JobLog,
    JobRetention,
)
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.node_message_handler import (
    NodeMessageHandler,
)
from camphorlink.internal.shell.process.peers import (
    PEER_TIMEOUT_S,
    NodeSettings,
    Peers,
)
from camphorlink.internal.shell.process.published_drains import (
    PublishedDrains,
)
from camphorlink.internal.shell.process.published_state import PublishedState
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.process.steady_clock import now_s

#: Period of heartbeats to peers, in seconds: a fraction of the time after which
#: a silent peer is considered lost.
HEARTBEAT_PERIOD_S = 0.2
#: Time for which a stopping VM still admits jobs, in seconds: the load balancer
#: checks readiness once a second and needs two checks to notice the stop.
LAST_ADMISSION_S = 3.0
#: Largest share of the grace period in which jobs are still admitted; the rest
#: is for sending answers.
MAX_ADMISSION_SHARE = 0.5
#: Part of the grace period reserved for closing connections, in seconds.
STOP_MARGIN_S = 0.7
#: Period of checking whether all answers are sent, in seconds.
ANSWERS_POLL_PERIOD_S = 0.02


class Platform(NamedTuple):
    """Interfaces of the platform that a VM runs on.

    Attributes:
        log: Stores records in topics.
        backends: Sends commands to back ends.
        directory: Decodes the configuration and the list of back ends.
    """

    log: LogPort
    backends: BackendPort
    directory: DirectoryPort


class JobNode(StackOwner):
    """Entry VM that stores jobs, follows the job log and owns cells.

    Attributes:
        is_leaving: Whether the VM is stopping.
        is_closed: Whether the VM admits no more jobs.
        counts: Number of events by family and reason.
        completion_waiters: Callers that wait for a durable job to end.
        peers: The other entry VMs.
        directory: Decodes the configuration and the list of back ends.
        published: The configuration, the zone drains and the list of back
            ends.
        coordinator: Runs transient jobs for the callers of this VM.
        job_log: Follows the job log.
        cells: Runs the cells that this VM owns.
    """

    def __init__(self, settings: NodeSettings, platform: Platform) -> None:
        """Creates all parts; they start when the context is entered."""
        super().__init__()
        self.is_leaving = False
        self.is_closed = False
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._zone = settings.zone
        self._log = PartLog('node')
        self._waiting_by_cell: dict[str, dict[str, int]] = {}
        self.completion_waiters = CompletionWaiters()
        speeds = RunSpeeds()
        self._speeds = speeds
        self.peers = Peers(
            settings,
            platform.log,
            self._handle_message,
            self._handle_linked_member,
            self._handle_lost_member,
        )
        self.directory = platform.directory
        self.published = PublishedState(
            platform.log,
            platform.directory,
            self._update_backends,
            PublishedDrains(platform.directory, settings.zones, self._count),
        )
        self._cell_sender = CellSender(self.peers)
        self.coordinator = Coordinator(
            settings.zone,
            self.peers.member,
            speeds,
            self._cell_sender.send_to_cell,
            self.published.drains.get,
        )
        self.job_log = JobLog(platform.log, self.peers.member, self)
        self._retention = JobRetention(self.table)
        self.cells = CellManager(
            self.peers,
            settings,
            CellDependencies(
                self.job_log,
                self.published,
                platform.backends,
                speeds,
                self._count,
                self._cell_sender.report,
                self._cell_sender.return_tasks,
                self.peers.restart_channel,
            ),
        )
        self._cell_sender.connect(self.cells, self.coordinator, self.job_log)
        self._message_handler = NodeMessageHandler(
            self.cells,
            self.job_log,
            self.coordinator,
            self._waiting_by_cell,
            self._count,
            self.peers,
        )

    @property
    def table(self) -> JobTable:
        """State of all durable jobs."""
        return self.job_log.table

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new callers to this VM."""
        return (
            self.published.config is not None
            and self.job_log.is_caught_up
            and self._build_own_view().is_eligible
        )

    async def __aenter__(self) -> Self:
        """Starts all parts, without waiting for other VMs."""
        for part in (self.peers, self.job_log, self.published):
            await self._stack.enter_async_context(part)
        self._stack.enter_context(self.cells)
        loop = asyncio.get_running_loop()
        claims = repeat(
            lambda: self.cells.claim_due_cells(self._build_own_view()),
            lambda: self.cells.claim_check_period_s(self._build_own_view()),
            self._log,
        )
        for coroutine in (
            repeat(self._run_periodic, _heartbeat_period_s, self._log),
            claims,
            repeat(
                self._cell_sender.send_loads,
                self._cell_sender.load_period_s,
                self._log,
            ),
        ):
            task = loop.create_task(coroutine)
            self._stack.callback(task.cancel)
        return self

    async def leave(self, grace_s: float) -> None:
        """Prepares the VM for a stop.

        Reports the VM as not ready, lets peers claim its cells, and waits
        until all open transient jobs are answered.

        Args:
            grace_s: Time until the process is killed, in seconds.
        """
        self.is_leaving = True
        self._log.info('leaving')
        self._send_heartbeat()
        started_s = now_s()
        await asyncio.sleep(
            min(LAST_ADMISSION_S, grace_s * MAX_ADMISSION_SHARE)
        )
        self.is_closed = True
        while self.coordinator.open_job_count:
            if now_s() - started_s > grace_s - STOP_MARGIN_S:
                self._log.warning('stopping with unanswered jobs')
                return
            await asyncio.sleep(ANSWERS_POLL_PERIOD_S)
        # Must be last: peers close their channels to a withdrawn member.
        await self.peers.withdraw()

    def choose_cells(
        self,
        job: DurableJob,
        first_plan: CellPlan,
    ) -> tuple[tuple[str, ...], ...] | None:
        """Chooses the cells of a durable job's tasks.

        Tasks that may start at once go to cells with free capacity.  Later
        tasks, and all tasks while no load is known, go to the cell of this
        zone if it can run them.

        Args:
            job: The job.
            first_plan: Cells for its first step.

        Returns:
            For each step, one cell for each task or one cell for all tasks;
            ``None`` if no back end can run one of the steps.
        """
        chosen = [first_plan.cells]
        for number, step in enumerate(job.steps[1:], 1):
            plan = None
            if not step.after:
                planner = self.coordinator.planner
                plan = planner.place(job, number, step.width)
            if plan is None:
                cells = self.coordinator.cells_for_step(job.service, step)
                if not cells:
                    return None
                fallback_cell = self._zone if self._zone in cells else cells[0]
                chosen.append((fallback_cell,))
            else:
                chosen.append(plan.cells)
        return tuple(chosen)

    def count_refusal(self, reason: str) -> None:
        """Counts a refused request."""
        self._count('refusals', reason)

    def count_pending_jobs(self, queue: str) -> int:
        """Returns the number of jobs of a queue without a started task."""
        return sum(
            waiting.get(queue, 0) for waiting in self._waiting_by_cell.values()
        )

    # Events of the job log.

    def handle_change(self, change: Change) -> None:
        """Processes a change of the job table."""
        self.cells.handle_change(change)
        if isinstance(change, TasksGivenUp):
            for task in change.tasks:
                self.coordinator.record_completion(task, is_done=False)
        elif isinstance(change, JobWithdrawn):
            self.coordinator.callers.cancel(change.job_id)
        elif isinstance(change, OwnerChanged):
            self.peers.link_owners(self.table.owners)
            self._handle_owner(change.cell)
        elif isinstance(change, JobEnded):
            self.completion_waiters.wake_waiters(change.live.job.job_id)

    def handle_reset(self) -> None:
        """Releases all cells, because the job table was replaced."""
        self.cells.release_all()
        for job_id in self.table.withdrawn_by_id:
            self.coordinator.callers.cancel(job_id)
        self.peers.link_owners(self.table.owners)
        for cell in self.table.owner_by_cell:
            self._handle_owner(cell)

    def announce(self, offset: int, records: Sequence[bytes]) -> None:
        """Sends peers the records that this VM has appended."""
        self.peers.broadcast(RecordsAppended(offset, tuple(records)))

    def _update_backends(self, is_changed: bool) -> None:
        if is_changed:
            self.coordinator.update_backends(
                self.published.listed_by_id.values()
            )
        self.cells.update_backends()

    def _count(self, family: str, reason: str) -> None:
        self.counts[family, reason] += 1

    def _handle_message(self, message: NodeMessage, stamp: Stamp) -> None:
        self._message_handler.handle(message, stamp)

    def _handle_owner(self, cell: str) -> None:
        """Assigns the open tasks of a cell to its owner, who may be new."""
        owner = self.table.owner_of(cell).member
        self.coordinator.contacts.record_owner(cell, owner, now_s())
        self.coordinator.assign_to_new_owner(cell)
        self._message_handler.request_refused(cell)

    # Heartbeats, loads and lost peers.

    def _build_own_view(self) -> PeerView:
        return PeerView(
            self.peers.member,
            self._zone,
            0,
            now_s() - self.job_log.answered_s,
            self.is_leaving,
        )

    def _handle_linked_member(self, member: str) -> None:
        self.coordinator.contacts.record_link(member)
        for cell in self.table.cells_of(member):
            self.coordinator.send_open_tasks(cell)

    def _handle_lost_member(self, member: str, silent_s: float) -> None:
        self.coordinator.contacts.record_loss(member, now_s() - silent_s)
        self.cells.handle_lost_member(member)
        is_silent = silent_s >= PEER_TIMEOUT_S
        for cell in self.table.cells_of(member):
            self.coordinator.handle_lost_owner(cell, is_silent)
        self.cells.claim_due_cells(self._build_own_view())

    def _send_heartbeat(self) -> None:
        waiting_by_cell = self.cells.count_waiting_jobs()
        self._waiting_by_cell.update(waiting_by_cell)
        store_age_s = min(
            self._build_own_view().store_age_s, ENDED_JOB_RETENTION_S
        )
        self.peers.send_heartbeats(
            store_age_s,
            self.is_leaving,
            waiting_by_cell,
            self.table.next_offset,
        )

    def _run_periodic(self) -> None:
        """Sends heartbeats and removes what has expired."""
        self._send_heartbeat()
        self.coordinator.move_lost_tasks()
        self.cells.write_snapshot_if_due()
        self._retention.forget_ended()
        self._speeds.relax()
        self.published.is_owner = bool(self.cells.host_by_cell)
        self.coordinator.selector.coordinators = len(self.peers.listed) + 1


def _heartbeat_period_s() -> float:
    return HEARTBEAT_PERIOD_S
