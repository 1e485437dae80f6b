"""Hands the messages of peers to the parts of a VM that they are for."""

from collections.abc import Callable
from functools import singledispatchmethod

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    DropTasks,
    LoadTold,
    NodeMessage,
    RecordsAppended,
    RunTasks,
    TaskEnded,
)
from camphorlink.internal.core.request.transient_jobs import GiveTasks
from camphorlink.internal.shell.process.cell_keeper import CellKeeper
from camphorlink.internal.shell.process.coordinator import Coordinator
from camphorlink.internal.shell.process.job_log import JobLog


class NodeInbox:
    """Where messages of peers arrive."""

    def __init__(
        self,
        cells: CellKeeper,
        job_log: JobLog,
        coordinator: Coordinator,
        waiting_by_cell: dict[str, dict[str, int]],
        on_count: Callable[[str, str], None],
    ) -> None:
        """Takes the parts of this VM."""
        self._cells = cells
        self._job_log = job_log
        self._coordinator = coordinator
        self._waiting_by_cell = waiting_by_cell
        self._on_count = on_count
        # Looking a single-dispatch method up builds a function every time.
        self.take = self._take

    @singledispatchmethod
    def _take(self, message: NodeMessage) -> None:
        raise TypeError(message)

    @_take.register
    def _take_beat(self, message: Beat) -> None:
        self._waiting_by_cell.update(message.waiting_by_cell)

    @_take.register
    def _take_records(self, message: RecordsAppended) -> None:
        self._job_log.hear(message.offset, message.records)

    @_take.register
    def _take_load(self, message: LoadTold) -> None:
        self._coordinator.note_load(message.load)

    @_take.register
    def _take_run(self, message: RunTasks) -> None:
        host = self._cells.host_by_cell.get(message.cell)
        if host is None:
            # Its coordinator gives the tasks to the next owner.
            self._on_count('lost_messages', 'cell-not-owned')
            return
        given = GiveTasks(
            message.cell,
            message.job,
            message.tasks,
            message.objective_s,
            message.may_have_run,
        )
        host.run_transient(given, message.coordinator)

    @_take.register
    def _take_drop(self, message: DropTasks) -> None:
        host = self._cells.host_by_cell.get(message.cell)
        if host is not None:
            host.drop_transient(message.job_id)

    @_take.register
    def _take_ended(self, message: TaskEnded) -> None:
        self._coordinator.note_report(message.task, message.is_done)
