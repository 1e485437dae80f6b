"""What a cell's owner tells of its load."""

import heapq

from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    FreeCapacity,
)
from camphorlink.internal.core.request.task_placement import expected_speed

#: Back ends with room that are told, those with the most first: three cells'
#: take a job of 150 tasks, and a message stays under 1 KB.
MAX_ROOMS = 24
#: Shortest period of telling the load of owned cells, in seconds: about the
#: time between two jobs of a busy installation.
LOAD_PERIOD_S = 0.02
#: Period for each peer, in seconds: with 28 peers, loads told to all of them
#: every 0.02 s took a sixth of the processor time of those without a cell.
LOAD_PERIOD_A_PEER_S = 0.003


def load_period_s(peers: int) -> float:
    """Returns how often an owner tells its loads, by the number of peers."""
    return max(LOAD_PERIOD_S, LOAD_PERIOD_A_PEER_S * peers)


def loads_of(cell: Cell, now: float) -> list[CellLoad]:
    """Tells for each service how much room there is and how long tasks wait."""
    backends = cell.ledger.runs_by_backend.values()
    services = {runs.listed.service for runs in backends}
    return [_load_of(cell, service, now) for service in sorted(services)]


def _load_of(cell: Cell, service: str, now: float) -> CellLoad:
    free_capacities = []
    weighted_cpu_milli = 0.0
    cpu = 0
    for runs in cell.ledger.runs_by_backend.values():
        if runs.listed.service != service or not runs.is_usable(now):
            continue
        speed = round(expected_speed(runs, cell.speeds, now), 2)
        cpu += runs.listed.capacity.cpu_milli
        weighted_cpu_milli += runs.listed.capacity.cpu_milli * speed
        if runs.free.cpu_milli > 0:
            free_capacities.append(
                FreeCapacity(speed, runs.free.cpu_milli, runs.listed.labels)
            )
    on_time, late = _waiting_work(cell, service, now)
    return CellLoad(
        cell.name,
        service,
        cell.term,
        tuple(heapq.nlargest(MAX_ROOMS, free_capacities, key=_free_power)),
        round(on_time / weighted_cpu_milli, 3) if weighted_cpu_milli else 0.0,
        round(late / weighted_cpu_milli, 3) if weighted_cpu_milli else 0.0,
        round(weighted_cpu_milli),
        cpu,
    )


def _free_power(room: FreeCapacity) -> float:
    return room.speed * room.free_cpu_milli


def _waiting_work(cell: Cell, service: str, now: float) -> tuple[float, float]:
    """Returns the waiting work that can end in time, and the other."""
    on_time = 0.0
    late = 0.0
    for entry in cell.waiting:
        if entry.job.service != service:
            continue
        work = entry.needs.cpu_milli * entry.work_s
        if entry.can_be_on_time(now):
            on_time += work
        else:
            late += work
    return on_time, late


def count_waiting_jobs(cell: Cell) -> dict[str, int]:
    """Counts by queue the jobs of which no task was started here."""
    ids_by_queue: dict[str, set[str]] = {}
    for entry in cell.waiting:
        job = entry.job
        ids_by_queue.setdefault(job.queue, set()).add(job.job_id)
    return {queue: len(ids) for queue, ids in ids_by_queue.items()}
