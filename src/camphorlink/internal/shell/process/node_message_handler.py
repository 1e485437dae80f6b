"""Dispatches the messages of peers to the parts of a VM."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Protocol

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    DropTasks,
    LoadTold,
    NodeMessage,
    OpenJobs,
    RecordsAppended,
    RunTasks,
    Stamp,
    TaskEnded,
    TasksReturned,
)
from camphorlink.internal.core.process.coordinator_leases import (
    CoordinatorLeases,
)
from camphorlink.internal.core.request.transient_jobs import (
    AssignTasks,
    DropJob,
    KeepJobs,
)
from camphorlink.internal.shell.process.cell_manager import CellManager
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.job_log import JobLog
from camphorlink.internal.shell.process.steady_clock import now_s

#: Age of the store's last answer to a peer, in seconds, from which on the peer
#: gets the records of the job log that it lacks: it reads the log once a second.
STORELESS_AGE_S = 1.6


class PeerChannels(Protocol):
    """Channels to the other VMs.

    Attributes:
        leases: Leases of the coordinators.
    """

    leases: CoordinatorLeases

    def send(self, member: str, message: NodeMessage) -> None:
        """Sends a message to a member."""

    def restart_channel(self, member: str) -> None:
        """Closes the channels to a member; a new one starts a new session."""


class NodeMessageHandler:
    """Calls the matching part of the VM for each message of a peer."""

    def __init__(
        self,
        cells: CellManager,
        job_log: JobLog,
        coordinator: Coordinator,
        waiting_by_cell: dict[str, dict[str, int]],
        on_count: Callable[[str, str], None],
        peers: PeerChannels,
    ) -> None:
        """Creates the handler.

        Args:
            cells: Runs the cells that this VM owns.
            job_log: Receives appended records.
            coordinator: Receives loads of cells and outcomes of tasks.
            waiting_by_cell: Waiting jobs by cell and queue; updated by
                heartbeats.
            on_count: Called with the family and the reason of an event to
                count.
            peers: Channels to the other VMs.
        """
        self._peers = peers
        self._cells = cells
        self._job_log = job_log
        self._coordinator = coordinator
        self._waiting_by_cell = waiting_by_cell
        self._on_count = on_count
        self._refused_by_cell: dict[str, set[str]] = {}
        # Cached: each access to a single-dispatch method builds a function.
        self.handle = self._handle

    @singledispatchmethod
    def _handle(self, message: NodeMessage, stamp: Stamp) -> None:
        raise TypeError(message)

    def request_refused(self, cell: str) -> None:
        """Makes coordinators assign again what came before this VM's claim."""
        if cell in self._cells.host_by_cell:
            for member in sorted(self._refused_by_cell.pop(cell, ())):
                self._peers.restart_channel(member)

    @_handle.register
    def _handle_beat(self, message: Beat, _stamp: Stamp) -> None:
        self._waiting_by_cell.update(message.waiting_by_cell)
        if message.store_age_s > STORELESS_AGE_S:
            self._send_missing_records(message)

    def _send_missing_records(self, beat: Beat) -> None:
        """Sends a peer that can't reach the store the records that it lacks."""
        records = self._job_log.recent_records(beat.next_offset)
        if records:
            message = RecordsAppended(beat.next_offset, records)
            self._peers.send(beat.member, message)

    @_handle.register
    def _handle_records(self, message: RecordsAppended, _stamp: Stamp) -> None:
        self._job_log.receive_records(message.offset, message.records)

    @_handle.register
    def _handle_load(self, message: LoadTold, _stamp: Stamp) -> None:
        self._coordinator.record_load(message.load)

    @_handle.register
    def _handle_run(self, message: RunTasks, stamp: Stamp) -> None:
        host = self._cells.host_by_cell.get(message.cell)
        if host is None:
            # The coordinator sends the tasks again to the next owner.  If that
            # is this VM, the coordinator has read the claim earlier than it.
            refused = self._refused_by_cell.setdefault(message.cell, set())
            refused.add(message.coordinator)
            self._on_count('lost_messages', 'cell-not-owned')
            return
        leases = self._peers.leases
        if not leases.accepts(message.coordinator, stamp.echo_s, now_s()):
            self._on_count('lost_messages', 'lease-expired')
            # The coordinator assigns its tasks again on the next channel.
            self._peers.restart_channel(message.coordinator)
            return
        if not leases.is_newest(message.coordinator, message.number):
            self._on_count('lost_messages', 'repeated-assignment')
            return
        assignment = AssignTasks(
            message.cell,
            message.job,
            message.tasks,
            message.objective_s,
            message.may_have_run,
            message.number,
            message.useful_s,
            message.may_return,
        )
        host.run_transient(assignment, message.coordinator)

    @_handle.register
    def _handle_drop(self, message: DropTasks, _stamp: Stamp) -> None:
        host = self._cells.host_by_cell.get(message.cell)
        if host is not None:
            command = DropJob(message.cell, message.job_id, message.must_return)
            host.stop_jobs(command, message.coordinator)

    @_handle.register
    def _handle_open(self, message: OpenJobs, _stamp: Stamp) -> None:
        host = self._cells.host_by_cell.get(message.cell)
        if host is not None:
            command = KeepJobs(message.cell, message.job_ids)
            host.stop_jobs(command, message.coordinator)

    @_handle.register
    def _handle_ended(self, message: TaskEnded, _stamp: Stamp) -> None:
        self._coordinator.record_completion(message.task, message.is_done)

    @_handle.register
    def _handle_returned(self, message: TasksReturned, _stamp: Stamp) -> None:
        self._coordinator.take_back(message.cell, message.tasks, message.reason)
