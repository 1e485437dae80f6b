"""An entry VM for durable and transient jobs: owns all its parts."""

import asyncio
import collections
import functools
from collections.abc import Sequence
from typing import NamedTuple, Self

from camphorlink.internal.core.connection.node_messages import (
    NodeMessage,
    RecordsAppended,
)
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell_load import (
    count_waiting_jobs,
    load_period_s,
    loads_of,
)
from camphorlink.internal.core.process.cell_ownership import PeerView
from camphorlink.internal.core.process.job_table import (
    Change,
    JobEnded,
    JobTable,
    OwnerChanged,
)
from camphorlink.internal.core.request.cell_selector import CellPlan
from camphorlink.internal.core.request.durable_job import DurableJob
from camphorlink.internal.shell.ports import (
    BackendPort,
    DirectoryPort,
    LogPort,
)
from camphorlink.internal.shell.process.cell_keeper import (
    CellKeeper,
    CellTools,
)
from camphorlink.internal.shell.process.cell_post import CellPost
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.end_waiters import EndWaiters
from camphorlink.internal.shell.process.job_log import JobLog
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.node_inbox import NodeInbox
from camphorlink.internal.shell.process.peers import NodeSettings, Peers
from camphorlink.internal.shell.process.published import Published
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms

#: Period of heartbeats to peers, in seconds: several fit into the time after
#: which a silent peer is taken as gone.
HEARTBEAT_S = 0.2
#: Every how many heartbeats go to peers that own no cell, from VMs that own
#: none either: only their turn to claim depends on it, after 1 s of silence.
DISTANT_BEATS = 3
#: Time for which a VM that stops still takes jobs, in seconds: the balancer
#: notices within two questions, one a second, that it is not ready.
LAST_ADMISSION_S = 3.0
#: Part of the grace that is spent on that, at most; the rest is for answers.
ADMISSION_SHARE = 0.5
#: Part of the grace that is left for closing connections, in seconds.
STOP_MARGIN_S = 0.7
#: Period of looking whether all answers are out, in seconds.
ANSWERS_POLL_S = 0.02
#: Time that ended jobs are remembered, in seconds: the platform's bound for
#: reading a job's state, and some.
REMEMBERED_S = 130.0


class Platform(NamedTuple):
    """The platform that a VM runs on."""

    log: LogPort
    backends: BackendPort
    directory: DirectoryPort


class JobNode(StackOwner):
    """Stores jobs, follows the log, and owns cells when it is its turn.

    Attributes:
        is_leaving: Whether it is about to stop.
        is_closed: Whether it takes no more jobs.
        counts: Events by family and reason.
        end_waiters: Callers who wait for a durable job to end.
    """

    def __init__(self, settings: NodeSettings, platform: Platform) -> None:
        """Takes settings and platform; nothing starts before the context."""
        super().__init__()
        self.is_leaving = False
        self.is_closed = False
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._zone = settings.zone
        self._log = PartLog('node')
        self._waiting_by_cell: dict[str, dict[str, int]] = {}
        self._beats = 0
        self.end_waiters = EndWaiters()
        speeds = RunSpeeds()
        self._speeds = speeds
        self.peers = Peers(
            settings,
            platform.log,
            self._hear,
            self._note_lost,
        )
        self.published = Published(
            platform.log,
            platform.directory,
            self._note_listing,
        )
        self._post = CellPost(self.peers)
        self.coordinator = Coordinator(
            settings.zone,
            speeds,
            self._post.send_to_cell,
        )
        self.job_log = JobLog(platform.log, self.peers.member, self)
        self.cells = CellKeeper(
            self.peers.member,
            settings.zones,
            CellTools(
                self.job_log,
                self.published,
                platform.backends,
                speeds,
                self._count,
                self._post.report,
            ),
        )
        self._post.connect(self.cells, self.coordinator, self.job_log)
        self._inbox = NodeInbox(
            self.cells,
            self.job_log,
            self.coordinator,
            self._waiting_by_cell,
            self._count,
        )

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
            and self._view().is_eligible
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

    async def leave(self, grace_s: float) -> None:
        """Leaves the balancer, lets peers take the cells, answers the rest.

        Args:
            grace_s: Time until the process is killed.
        """
        self.is_leaving = True
        self._log.info('leaving')
        self._beat()
        started_s = now_s()
        await asyncio.sleep(min(LAST_ADMISSION_S, grace_s * ADMISSION_SHARE))
        self.is_closed = True
        while self.coordinator.open_jobs:
            if now_s() - started_s > grace_s - STOP_MARGIN_S:
                self._log.warning('leaves jobs unanswered')
                return
            await asyncio.sleep(ANSWERS_POLL_S)
        # Not before: peers close their channels to who is off the list.
        await self.peers.withdraw()

    def choose_cells(
        self,
        job: DurableJob,
        first: CellPlan,
    ) -> tuple[tuple[str, ...], ...] | None:
        """Chooses the cells of a durable job's tasks.

        Tasks that may start at once go where there is room; later ones, and
        all while no cell tells its load, to this zone if it can run them.

        Args:
            job: The job.
            first: Cells for its first step.

        Returns:
            For each step a cell for each task or one for all, or ``None``
            when no back end can run one of the steps.
        """
        chosen = [first.cells]
        for number, step in enumerate(job.steps[1:], 1):
            plan = None
            if not step.after:
                planner = self.coordinator.planner
                plan = planner.place(job, number, step.width)
            if plan is None:
                cells = self.coordinator.cells_for_step(job.service, step)
                if not cells:
                    return None
                home = self._zone if self._zone in cells else cells[0]
                chosen.append((home,))
            else:
                chosen.append(plan.cells)
        return tuple(chosen)

    def count_refusal(self, reason: str) -> None:
        """Counts a request that is refused."""
        self._count('refusals', reason)

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
            self.coordinator.assign_to_new_owner(change.cell)
        elif isinstance(change, JobEnded):
            self.end_waiters.note_ended(change.live.job.job_id)

    def note_reset(self) -> None:
        """Takes that the table was replaced: our cells start anew."""
        self.cells.drop_all()

    def announce(self, offset: int, records: Sequence[bytes]) -> None:
        """Tells peers of records that were appended here."""
        self.peers.tell_all(RecordsAppended(offset, tuple(records)))

    def _note_listing(self) -> None:
        self.coordinator.note_listing(self.published.listed_by_id.values())
        self.cells.note_listing()

    def _count(self, family: str, reason: str) -> None:
        self.counts[family, reason] += 1

    def _hear(self, message: NodeMessage) -> None:
        self._inbox.take(message)

    # Time.

    def _view(self) -> PeerView:
        return PeerView(
            self.peers.member,
            self._zone,
            0,
            now_s() - self.job_log.answered_s,
            self.is_leaving,
        )

    def _note_lost(self, member: str, silent_s: float) -> None:
        self.cells.note_lost(member)
        for cell, owner in self.table.owner_by_cell.items():
            if owner.member == member:
                self.coordinator.note_lost_owner(
                    cell,
                    silent_s,
                    functools.partial(self._is_lost, cell, member),
                )
        self.cells.claim_due(self._view(), self.peers.views)

    def _is_lost(self, cell: str, member: str) -> bool:
        return self.table.owner_of(
            cell,
        ).member == member and not self.peers.is_known(member)

    def _beat(self) -> None:
        waiting_by_cell = {
            cell: count_waiting_jobs(host.cell)
            for cell, host in self.cells.host_by_cell.items()
        }
        self._waiting_by_cell.update(waiting_by_cell)
        store_age_s = min(self._view().store_age_s, REMEMBERED_S)
        self._beats += 1
        owners = {owner.member for owner in self.table.owner_by_cell.values()}
        self.peers.beat(
            store_age_s,
            self.is_leaving,
            waiting_by_cell,
            None if self.cells.host_by_cell else owners,
            to_all=self.is_leaving or not self._beats % DISTANT_BEATS,
        )

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
                for load in loads_of(host.cell, now_s()):
                    self._post.tell_load(load)
            await asyncio.sleep(load_period_s(self.peers.known))
