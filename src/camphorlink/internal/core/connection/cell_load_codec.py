"""Encodes load reports as plain lists, and decodes them.

A report is sent to every VM up to 50 times a second and stays under 1 KB.
"""

from collections.abc import Sequence
from typing import Any

from camphorlink.internal.core.request.cell_selector import (
    CellLoad,
    FreeCapacity,
)
from camphorlink.internal.core.request.waiting_work import WaitingWork

MS_PER_S = 1000


def encode_load(load: CellLoad) -> list[Any]:
    """Encodes a load report as a plain list."""
    return [
        load.cell,
        load.service,
        load.term,
        [list(free_capacity) for free_capacity in load.free_capacities],
        [_encode_row(row) for row in load.waiting],
        *load[4:-1],
    ]


def _encode_row(row: WaitingWork) -> tuple[int, int, int]:
    """Encodes a row in whole ms, which take 2 to 5 bytes instead of 9."""
    return (
        row.priority,
        round(row.wait_s * MS_PER_S),
        round(row.latest_due_s * MS_PER_S),
    )


def decode_load(
    cell: str,
    service: str,
    term: int,
    free_capacities: Sequence[Sequence[Any]],
    rows: Sequence[Sequence[int]],
    *figures: Any,
) -> CellLoad:
    """Decodes the fields of a load report."""
    free = tuple(
        FreeCapacity(speed, free_cpu_milli, tuple(labels))
        for speed, free_cpu_milli, labels in free_capacities
    )
    waiting = tuple(
        WaitingWork(priority, wait_ms / MS_PER_S, due_ms / MS_PER_S)
        for priority, wait_ms, due_ms in rows
    )
    load = CellLoad(cell, service, term, free, *figures)
    return load._replace(waiting=waiting)
