"""Delivers messages between coordinators and cell owners, local or remote."""

from camphorlink.internal.core.connection.node_messages import (
    DropTasks,
    LoadTold,
    NodeMessage,
    OpenJobs,
    RunTasks,
    TaskEnded,
    TasksReturned,
)
from camphorlink.internal.core.process.cell_effects import ReturnTasks
from camphorlink.internal.core.process.cell_load import (
    list_loads,
    load_report_period_s,
)
from camphorlink.internal.core.process.transient_job_table import TaskReport
from camphorlink.internal.core.request.cell_selector import CellLoad
from camphorlink.internal.core.request.transient_jobs import (
    AssignTasks,
    CellCommand,
    DropJob,
    KeepJobs,
)
from camphorlink.internal.shell.process.cell_manager import CellManager
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.job_log import JobLog
from camphorlink.internal.shell.process.peers import Peers
from camphorlink.internal.shell.process.steady_clock import now_s

#: Longest time between two messages about an unchanged load, in seconds: less
#: than the age at which coordinators ignore a load.
LOAD_REPEAT_PERIOD_S = 0.4
#: Period of the checks of a VM that owns no cell, in seconds: how soon its first
#: load report follows a takeover.
IDLE_LOAD_PERIOD_S = 0.2


class CellSender:
    """Sends commands to cells, and task reports and loads to coordinators.

    Recipients on this VM are called directly; others get a message.
    """

    def __init__(self, peers: Peers) -> None:
        """Creates the sender; call ``connect`` before any other method."""
        self._peers = peers
        self._sent_by_key: dict[tuple[str, str], tuple[CellLoad, float]] = {}

    def connect(
        self,
        cells: CellManager,
        coordinator: Coordinator,
        job_log: JobLog,
    ) -> None:
        """Sets the recipients on this VM."""
        self._cells = cells
        self._coordinator = coordinator
        self._job_log = job_log

    def send_to_cell(self, cell: str, command: CellCommand) -> None:
        """Sends a command of the local coordinator to the owner of a cell."""
        if isinstance(command, DropJob):
            self._send_to_former_owners(cell, command)
        host = self._cells.host_by_cell.get(cell)
        if host is None:
            owner = self._job_log.table.owner_of(cell).member
            self._peers.send(owner, self._build_message(command))
        elif isinstance(command, AssignTasks):
            host.run_transient(command, self._peers.member)
        else:
            host.stop_jobs(command, self._peers.member)

    def report(self, cell: str, report: TaskReport) -> None:
        """Reports a task that has ended in a cell to its coordinator."""
        if report.coordinator == self._peers.member:
            self._coordinator.record_completion(report.task, report.is_done)
        else:
            ended = TaskEnded(report.task, report.is_done)
            self._peers.send(report.coordinator, ended)

    def return_tasks(self, cell: str, effect: ReturnTasks) -> None:
        """Returns tasks that wait in a cell to their coordinator."""
        if effect.coordinator == self._peers.member:
            self._coordinator.take_back(cell, effect.tasks, effect.reason)
        else:
            message = TasksReturned(cell, effect.tasks, effect.reason)
            self._peers.send(effect.coordinator, message)

    def load_period_s(self) -> float:
        """Returns the time until the next reports of loads, in seconds."""
        if self._cells.host_by_cell:
            return load_report_period_s(self._peers.known_count)
        return IDLE_LOAD_PERIOD_S

    def send_loads(self) -> None:
        """Sends the loads of all cells of this VM to all coordinators."""
        for host in self._cells.host_by_cell.values():
            for load in list_loads(host.cell, now_s()):
                self.send_load(load)
        loads = self._coordinator.list_loads()
        for owned in self._cells.host_by_cell.values():
            owned.cell.assignments.record_loads(loads)

    def send_load(self, load: CellLoad) -> None:
        """Sends a cell's load to all coordinators.

        Peers get it only if it has changed or was sent more than
        ``LOAD_REPEAT_PERIOD_S`` ago.
        """
        self._coordinator.record_load(load)
        key = (load.cell, load.service)
        sent_load, sent_s = self._sent_by_key.get(key, (None, 0.0))
        if load != sent_load or now_s() - sent_s > LOAD_REPEAT_PERIOD_S:
            self._sent_by_key[key] = (load, now_s())
            self._peers.broadcast(LoadTold(load))

    def _send_to_former_owners(self, cell: str, command: DropJob) -> None:
        """Drops a job also at owners that may not know of their successor."""
        message = self._build_message(command._replace(must_return=False))
        for member in self._coordinator.contacts.former_in_contact(cell):
            self._peers.send(member, message)

    def _build_message(self, command: CellCommand) -> NodeMessage:
        if isinstance(command, DropJob):
            return DropTasks(
                self._peers.member,
                command.cell,
                command.job_id,
                command.must_return,
            )
        if isinstance(command, KeepJobs):
            return OpenJobs(self._peers.member, command.cell, command.job_ids)
        return RunTasks(
            self._peers.member,
            command.cell,
            command.job,
            command.tasks,
            command.objective_s,
            command.may_have_run,
            command.number,
            command.useful_s,
            command.may_return,
        )
