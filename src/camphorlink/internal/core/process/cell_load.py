"""What a cell's owner tells of its load."""

from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.request.cell_choice import CellLoad, Room
from camphorlink.internal.core.request.task_placement import speed_now
from camphorlink.internal.core.request.waiting_tasks import work_s_of


def load_of(cell: Cell, now: float) -> CellLoad:
    """Tells how much room there is and how long tasks wait."""
    rooms = []
    cpu = 0
    for runs in cell.ledger.runs_by_backend.values():
        if not runs.is_usable(now):
            continue
        cpu += runs.listed.capacity.cpu_milli
        if runs.free.cpu_milli > 0:
            speed = speed_now(runs, cell.speeds, now)
            rooms.append(Room(round(speed, 2), runs.free.cpu_milli))
    work = sum(
        entry.needs.cpu_milli * work_s_of(entry, cell.speeds)
        for entry in cell.waiting
    )
    wait_s = work / cpu if cpu else 0.0
    return CellLoad(cell.name, cell.term, tuple(rooms), wait_s, cpu)


def count_waiting_jobs(cell: Cell) -> dict[str, int]:
    """Counts by queue the jobs of which no task was started here."""
    ids_by_queue: dict[str, set[str]] = {}
    for entry in cell.waiting:
        job = entry.job
        ids_by_queue.setdefault(job.queue, set()).add(job.job_id)
    return {queue: len(ids) for queue, ids in ids_by_queue.items()}
