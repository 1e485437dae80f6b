"""What passes between coordinators and owners of cells, here or on peers."""

from camphorlink.internal.core.connection.node_messages import (
    DropTasks,
    LoadTold,
    NodeMessage,
    RunTasks,
    TaskEnded,
)
from camphorlink.internal.core.process.transient_work import TaskReport
from camphorlink.internal.core.request.cell_choice import CellLoad
from camphorlink.internal.core.request.transient_jobs import (
    DropJob,
    GiveTasks,
)
from camphorlink.internal.shell.process.cell_keeper import CellKeeper
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.job_log import JobLog
from camphorlink.internal.shell.process.peers import Peers
from camphorlink.internal.shell.process.steady_clock import now_s

#: Longest time between two tellings of a load that stays the same, in
#: seconds: under the age at which a load counts as old.
LOAD_REPEAT_S = 0.2


class CellPost:
    """Delivers to a cell of this VM at once, to others by message."""

    def __init__(self, peers: Peers) -> None:
        """Takes the way to peers; the parts of this VM come later."""
        self._peers = peers
        self._told: dict[tuple[str, str], tuple[CellLoad, float]] = {}

    def connect(
        self,
        cells: CellKeeper,
        coordinator: Coordinator,
        job_log: JobLog,
    ) -> None:
        """Takes the parts that it delivers to."""
        self._cells = cells
        self._coordinator = coordinator
        self._job_log = job_log

    def send_to_cell(self, cell: str, order: GiveTasks | DropJob) -> None:
        """Gives an order of our coordinator to the owner of a cell."""
        host = self._cells.host_by_cell.get(cell)
        if host is None:
            owner = self._job_log.table.owner_of(cell).member
            self._peers.tell(owner, self._message_of(order))
        elif isinstance(order, DropJob):
            host.drop_transient(order.job_id)
        else:
            host.run_transient(order, self._peers.member)

    def report(self, cell: str, report: TaskReport) -> None:
        """Tells the coordinator of a task that it has ended in our cell."""
        if report.coordinator == self._peers.member:
            self._coordinator.note_report(report.task, report.is_done)
        else:
            ended = TaskEnded(report.task, report.is_done)
            self._peers.tell(report.coordinator, ended)

    def tell_load(self, load: CellLoad) -> None:
        """Tells peers a load that has changed, or was told long ago."""
        self._coordinator.note_load(load)
        key = (load.cell, load.service)
        told, told_s = self._told.get(key, (None, 0.0))
        if load != told or now_s() - told_s > LOAD_REPEAT_S:
            self._told[key] = (load, now_s())
            self._peers.tell_all(LoadTold(load))

    def _message_of(self, order: GiveTasks | DropJob) -> NodeMessage:
        if isinstance(order, DropJob):
            return DropTasks(order.cell, order.job_id)
        return RunTasks(
            self._peers.member,
            order.cell,
            order.job,
            order.tasks,
            order.objective_s,
            order.may_have_run,
        )
