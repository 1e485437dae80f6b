"""An entry VM for durable jobs: owns all its parts, from start to stop."""

import asyncio
import collections
import contextlib
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Any, ClassVar, NamedTuple, Self

import cbor2

from camphorlink.errors import StoreError
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.process.cell_ownership import (
    CellClaims,
    PeerView,
)
from camphorlink.internal.core.process.job_table import (
    Change,
    JobTable,
    OwnerChanged,
)
from camphorlink.internal.core.process.transient_work import TaskReport
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    TaskKey,
)
from camphorlink.internal.core.request.job_records import (
    Claimed,
    decode_job,
    encode_job,
)
from camphorlink.internal.core.request.transient_jobs import (
    DropJob,
    GiveTasks,
)
from camphorlink.internal.shell.connection.mesh import Address, Mesh
from camphorlink.internal.shell.ports import (
    BackendPort,
    DirectoryPort,
    LogPort,
)
from camphorlink.internal.shell.process.cell_host import CellHost
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.job_log import SNAPSHOT_S, JobLog
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.published import Published
from camphorlink.internal.shell.process.steady_clock import now_s, wall_ms

MEMBERS_TOPIC = 'keyed.camphorlink-members'
#: Period of heartbeats to peers, in seconds: several fit into the time after
#: which a silent peer is taken as gone.
HEARTBEAT_S = 0.2
#: Period of telling the load of owned cells, in seconds: about the time
#: between two jobs of a busy installation.
LOAD_PERIOD_S = 0.02
#: Silence of a coordinator after which its tasks are stopped, in seconds:
#: its callers send a job again 1.3 s after they lost it.
COORDINATOR_SILENCE_S = 0.9
#: Longest wait of one read of the members, in seconds.
MEMBERS_WAIT_S = 5.0
STORE_TIMEOUT_S = 1.5
STORE_RETRY_S = 0.3
#: Time in which the balancer notices that a VM is not ready, and callers'
#: channels get their last answer, in seconds: two questions, one a second.
BALANCER_S = 3.5
#: Part of the grace that is spent on that, at most.
GRACE_SHARE = 0.6
#: Time that ended jobs are remembered, in seconds: the platform's bound for
#: reading a job's state, and some.
REMEMBERED_S = 130.0


class NodeSettings(NamedTuple):
    """What an entry VM needs to know of itself.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        zones: All availability zones.
        mesh: Where it listens for its peers.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    mesh: Address


class Platform(NamedTuple):
    """The platform that a VM runs on."""

    log: LogPort
    backends: BackendPort
    directory: DirectoryPort


class JobNode:
    """Stores jobs, follows the log, and owns cells when it is its turn."""

    def __init__(self, settings: NodeSettings, platform: Platform) -> None:
        """Takes settings and platform; nothing starts before the context."""
        self.settings = settings
        self.member = f'{settings.name}#{wall_ms():x}'
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.is_leaving = False
        self.host_by_cell: dict[str, CellHost] = {}
        self._platform = platform
        self._log = PartLog('node', settings.name)
        self._stack = contextlib.AsyncExitStack()
        self._peer_by_member: dict[str, PeerView] = {}
        self._heard_s_by_member: dict[str, float] = {}
        self._speeds = RunSpeeds()
        self._claim_by_cell: dict[str, asyncio.Future[int]] = {}
        self._waiting_by_cell: dict[str, dict[str, int]] = {}
        self._snapshot_s = now_s()
        self._member_by_channel: dict[int, str] = {}
        self._address_by_member: dict[str, Address] = {}
        self._load_s = now_s()
        self.coordinator = Coordinator(
            settings.zone,
            self._speeds,
            self._send_to_cell,
        )
        self.mesh = Mesh(
            settings.mesh,
            self._hear,
            self._note_closed,
            PartLog('mesh'),
        )
        self.job_log = JobLog(
            platform.log,
            self.member,
            self._note_change,
            self._drop_cells,
            self._announce,
        )
        self.published = Published(
            platform.log,
            platform.directory,
            self._note_listing,
        )

    @property
    def table(self) -> JobTable:
        """The state of all jobs."""
        return self.job_log.table

    async def __aenter__(self) -> Self:
        """Starts all parts; none of them waits for another VM."""
        started_s = now_s()
        self._claims_by_cell = {
            zone: CellClaims(zone, started_s) for zone in self.settings.zones
        }
        for part in (self.mesh, self.job_log, self.published):
            await self._stack.enter_async_context(part)
        loop = asyncio.get_running_loop()
        for work in (
            self._follow_members(),
            self._beat(),
            self._tell_loads(),
        ):
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
        self._drop_cells()
        await self._stack.aclose()

    @property
    def is_ready(self) -> bool:
        """Whether new callers are welcome."""
        return (
            not self.is_leaving
            and self.published.config is not None
            and self.job_log.is_caught_up
            and self._me().is_fit
        )

    def choose_cell(self, job: DurableJob) -> str:
        """Chooses the cell that runs a new job: this zone's, if it has one."""
        owned = self.table.owner_by_cell
        if self.settings.zone in owned or not owned:
            return self.settings.zone
        return min(owned)

    async def leave(self, grace_s: float) -> None:
        """Leaves the balancer, lets peers take the cells, answers the rest.

        Args:
            grace_s: Time until the process is killed.
        """
        self.is_leaving = True
        self._log.info('leaving')
        self._tell()
        await asyncio.sleep(min(BALANCER_S, grace_s * GRACE_SHARE))

    # News.

    def _note_change(self, change: Change) -> None:
        for cell, host in list(self.host_by_cell.items()):
            if host.cell.owns(self.table):
                host.note_change(change)
            else:
                self._drop_cell(cell)
        self._take_cells()
        if isinstance(change, OwnerChanged):
            self.coordinator.note_owner(change.cell)

    def _take_cells(self) -> None:
        """Begins to command the cells that the log says are ours."""
        for cell, owner in self.table.owner_by_cell.items():
            if owner.member != self.member or cell in self.host_by_cell:
                continue
            if cell not in self._claim_by_cell:
                continue
            self._claim_by_cell.pop(cell)
            host = CellHost(
                Cell(cell, owner.term, self.table, self._speeds, now_s()),
                self.job_log,
                self._platform.backends,
                self._count,
                self._report,
            )
            self.host_by_cell[cell] = host
            host.__enter__()
            host.note_listing(self.published.listed_by_id)

    def _drop_cell(self, cell: str) -> None:
        self.host_by_cell.pop(cell).__exit__(None, None, None)

    def _drop_cells(self) -> None:
        for cell in list(self.host_by_cell):
            self._drop_cell(cell)

    def _note_listing(self) -> None:
        for host in self.host_by_cell.values():
            host.note_listing(self.published.listed_by_id)

    def _announce(self, offset: int, records: Sequence[bytes]) -> None:
        self.mesh.broadcast(['records', offset, list(records)])

    def _count(self, family: str, reason: str) -> None:
        self.counts[family, reason] += 1

    # Peers.

    def _hear(self, message: list[Any], channel: int) -> None:
        try:
            kind, *fields = message
            self._hear_by_kind[kind](self, channel, *fields)
        except (LookupError, TypeError, ValueError) as exc:
            self._log.warning('message skipped', extra={'error': repr(exc)})

    def _hear_records(
        self,
        channel: int,
        offset: int,
        records: list[bytes],
    ) -> None:
        self.job_log.hear(offset, records)

    def _hear_beat(
        self,
        channel: int,
        member: str,
        address: list[Any],
        zone: str,
        store_age_s: float,
        is_leaving: bool,
        waiting_by_cell: dict[str, dict[str, int]],
    ) -> None:
        self._member_by_channel[channel] = member
        self._address_by_member[member] = Address(*address)
        self._heard_s_by_member[member] = now_s()
        self._peer_by_member[member] = PeerView(
            member,
            zone,
            0,
            store_age_s,
            is_leaving,
        )
        self._waiting_by_cell.update(waiting_by_cell)

    def _hear_load(self, channel: int, *plain: Any) -> None:
        self.coordinator.note_load(list(plain))

    def _hear_run(
        self,
        channel: int,
        coordinator: str,
        cell: str,
        job: list[Any],
        tasks: list[list[Any]],
        may_have_run: bool,
    ) -> None:
        host = self.host_by_cell.get(cell)
        if host is None:
            self._log.info('tasks for a cell not owned', extra={'cell': cell})
            return
        keys = tuple(TaskKey(*task) for task in tasks)
        given = GiveTasks(cell, decode_job(job), keys, may_have_run)
        host.run_transient(given, coordinator)

    def _hear_drop(self, channel: int, cell: str, job_id: str) -> None:
        host = self.host_by_cell.get(cell)
        if host is not None:
            host.drop_transient(job_id)

    def _hear_ended(
        self,
        channel: int,
        task: list[Any],
        is_done: bool,
    ) -> None:
        self.coordinator.note_report(TaskKey(*task), is_done)

    _hear_by_kind: ClassVar[dict[str, Callable[..., None]]] = {
        'records': _hear_records,
        'beat': _hear_beat,
        'load': _hear_load,
        'run': _hear_run,
        'drop': _hear_drop,
        'ended': _hear_ended,
    }

    def _note_closed(self, channel: int) -> None:
        """Takes a peer as gone at once when its channel is closed."""
        member = self._member_by_channel.pop(channel, None)
        if member is None or member in self._member_by_channel.values():
            return
        self._heard_s_by_member[member] = float('-inf')
        self._drop_silent()
        self._claim_cells()

    def _drop_silent(self) -> None:
        now = now_s()
        for member, heard_s in list(self._heard_s_by_member.items()):
            if now - heard_s > COORDINATOR_SILENCE_S:
                self._log.info('peer is silent', extra={'peer': member})
                self._heard_s_by_member.pop(member)
                self._peer_by_member.pop(member)
                self._address_by_member.pop(member)
                for host in self.host_by_cell.values():
                    host.drop_coordinator(member)

    def _send_to_cell(self, cell: str, order: GiveTasks | DropJob) -> None:
        host = self.host_by_cell.get(cell)
        if isinstance(order, DropJob):
            if host is not None:
                host.drop_transient(order.job_id)
                return
            message = ['drop', cell, order.job_id]
        else:
            if host is not None:
                host.run_transient(order, self.member)
                return
            message = [
                'run',
                self.member,
                cell,
                encode_job(order.job),
                [list(task) for task in order.tasks],
                order.may_have_run,
            ]
        self._send(self.table.owner_of(cell).member, message)

    def _report(self, cell: str, report: TaskReport) -> None:
        if report.coordinator == self.member:
            self.coordinator.note_report(report.task, report.is_done)
            return
        message = ['ended', list(report.task), report.is_done]
        self._send(report.coordinator, message)

    def _send(self, member: str, message: list[Any]) -> None:
        address = self._address_by_member.get(member)
        if address is None or not self.mesh.send(address, message):
            self.counts['lost_messages', message[0]] += 1
            self._log.info(
                'message not sent',
                extra={'peer': member, 'kind': message[0]},
            )

    async def _tell_loads(self) -> None:
        while True:
            now = now_s()
            for host in self.host_by_cell.values():
                load = host.cell.load(now)
                plain = [
                    load.cell,
                    load.term,
                    [list(room) for room in load.rooms],
                    load.wait_s,
                    load.cpu,
                ]
                self.coordinator.note_load(plain)
                self.mesh.broadcast(['load', *plain])
            await asyncio.sleep(LOAD_PERIOD_S)

    def _me(self) -> PeerView:
        return PeerView(
            self.member,
            self.settings.zone,
            0,
            now_s() - self.job_log.answered_s,
            self.is_leaving,
        )

    def _peers(self) -> list[PeerView]:
        now = now_s()
        return [
            peer._replace(heard_s=now - self._heard_s_by_member[member])
            for member, peer in self._peer_by_member.items()
        ]

    async def _beat(self) -> None:
        while True:
            self._tell()
            self._drop_silent()
            self._claim_cells()
            self._tidy()
            await asyncio.sleep(HEARTBEAT_S)

    def _tell(self) -> None:
        me = self._me()
        self.mesh.broadcast(
            [
                'beat',
                me.member,
                [self.settings.mesh.ip, self.mesh.port],
                me.zone,
                min(me.store_age_s, REMEMBERED_S),
                me.is_leaving,
                self._own_waiting(),
            ],
        )

    def _own_waiting(self) -> dict[str, dict[str, int]]:
        waiting_by_cell = {
            cell: host.cell.count_waiting_jobs()
            for cell, host in self.host_by_cell.items()
        }
        self._waiting_by_cell.update(waiting_by_cell)
        return waiting_by_cell

    def pending_jobs(self, queue: str) -> int:
        """Returns how many accepted jobs of a queue no task of has started."""
        return sum(
            waiting.get(queue, 0) for waiting in self._waiting_by_cell.values()
        )

    def _claim_cells(self) -> None:
        if not self.job_log.is_caught_up:
            return
        for cell, claims in self._claims_by_cell.items():
            owner = self.table.owner_of(cell)
            is_lost = (
                owner.member == self.member
                and cell not in self.host_by_cell
                and cell not in self._claim_by_cell
            )
            if cell in self._claim_by_cell:
                continue
            if is_lost or claims.should_claim(
                self._me(),
                self._peers(),
                owner,
                now_s(),
            ):
                claims.note_claimed()
                self._claim(cell, owner.term)

    def _claim(self, cell: str, replaces: int) -> None:
        self._log.info(
            'claims a cell',
            extra={'cell': cell, 'replaces': replaces},
        )
        done = self.job_log.append(Claimed(cell, replaces, self.member))
        self._claim_by_cell[cell] = done
        done.add_done_callback(lambda _: self._note_claimed(cell))

    def _note_claimed(self, cell: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(STORE_RETRY_S, self._claim_by_cell.pop, cell, None)

    def _tidy(self) -> None:
        self.table.forget_before(wall_ms() - int(REMEMBERED_S * 1000))
        due_s = self._snapshot_s + SNAPSHOT_S
        if self.host_by_cell and now_s() >= due_s:
            self._snapshot_s = now_s()
            writer = min(self.host_by_cell)
            if writer == min(self.table.owner_by_cell):
                loop = asyncio.get_running_loop()
                task = loop.create_task(self.job_log.write_snapshot(writer))
                self._snapshot_task = task

    # Members.

    async def _follow_members(self) -> None:
        while True:
            try:
                await self._register()
                await self._read_members()
            except StoreError as exc:
                self._log.info('no members read', extra={'error': str(exc)})
                await asyncio.sleep(STORE_RETRY_S)

    async def _register(self) -> None:
        entry = cbor2.dumps(
            [self.member, self.settings.mesh.ip, self.mesh.port]
        )
        await self._platform.log.append(
            MEMBERS_TOPIC,
            [self._platform.log.keyed(self.settings.name, entry)],
            STORE_TIMEOUT_S,
        )

    async def _read_members(self) -> None:
        log = self._platform.log
        items, offset = await log.newest(MEMBERS_TOPIC, STORE_TIMEOUT_S)
        while True:
            addresses = set()
            for entry in items:
                with contextlib.suppress(cbor2.CBORError, ValueError):
                    _, ip, port = cbor2.loads(entry.content)
                    if entry.key != self.settings.name:
                        addresses.add(Address(ip, port))
            self.mesh.set_peers(addresses)
            page = await log.read(
                MEMBERS_TOPIC,
                offset,
                STORE_TIMEOUT_S + MEMBERS_WAIT_S,
                MEMBERS_WAIT_S,
            )
            if page.records:
                items, offset = await log.newest(
                    MEMBERS_TOPIC,
                    STORE_TIMEOUT_S,
                )
