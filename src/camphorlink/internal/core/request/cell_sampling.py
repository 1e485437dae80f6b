"""Random choice of cells in large fleets, where load reports are stale.

It answers many coordinators that share the same cells.  Between two reports of
a cell, the others assign far more tasks than the cell has free places.  If all
of them choose the best back end of the same reports, they flood one cell and
leave the others idle.  Each therefore draws cells at random, in proportion to
the capacity that is expected to become free.
"""

import itertools
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

#: Weight of a cell per share of its capacity that is free in its last report.
#: A larger one makes the shares of the cells oscillate with the reports.
FREE_WEIGHT = 1.0
#: Weight of a cell that has neither free capacity nor a queue: most of its
#: places become free before the next report.
BASE_WEIGHT = 0.4
#: Reduction of the weight per second of queueing time.
WAIT_WEIGHT = 4.0
#: Lower bound of the weight, so that a cell with a long queue is used at all.
MIN_WEIGHT = 0.02


class CellCapacity(NamedTuple):
    """Capacity of a cell for the tasks of one step.

    Attributes:
        cell: Name of the cell.
        weighted_cpu_milli: Sum over its back ends of capacity times speed, in
            thousandths of a core.
        cpu_milli: Sum of capacities, in thousandths of a core.
        free_cpu_milli: Capacity of the back ends on which a task fits, in
            thousandths of a core.
        wait_s: Time to complete its waiting tasks, in seconds.
    """

    cell: str
    weighted_cpu_milli: int
    cpu_milli: int
    free_cpu_milli: int
    wait_s: float

    @property
    def weight(self) -> float:
        """Share of the tasks that the cell should get, without a unit."""
        free_share = self.free_cpu_milli / max(self.cpu_milli, 1)
        factor = (
            BASE_WEIGHT + FREE_WEIGHT * free_share - WAIT_WEIGHT * self.wait_s
        )
        return self.weighted_cpu_milli * max(factor, MIN_WEIGHT)

    def expected_end_s(self, work_s: float) -> float:
        """Returns the expected time until a task ends, in seconds."""
        speed = self.weighted_cpu_milli / max(self.cpu_milli, 1)
        wait_s = 0 if self.free_cpu_milli else self.wait_s
        return wait_s + work_s / speed


def draw_cells(
    capacities: Sequence[CellCapacity], width: int, generator: Random
) -> list[CellCapacity]:
    """Draws a cell for each of a number of tasks.

    The draw is systematic: cells get their shares as exactly as whole tasks
    allow, and only the remainders are random.
    """
    bounds = list(itertools.accumulate(entry.weight for entry in capacities))
    step = bounds[-1] / width
    point = generator.random() * step
    drawn: list[CellCapacity] = []
    index = 0
    for _ in range(width):
        while point > bounds[index] and index < len(bounds) - 1:
            index += 1
        drawn.append(capacities[index])
        point += step
    return drawn
