"""Which cells may get tasks, by the age of their last load report.

This addresses partitions: an owner counts as lost only after 0.9 s of silence, and
the tasks that a coordinator sends it until then run for nobody.  It reports its load
at least every 0.4 s.
"""

from collections.abc import Mapping

#: Age of a cell's load after which the cell gets no more tasks, in seconds: an
#: owner that is silent for longer is considered lost.
MAX_LOAD_AGE_S = 0.9
#: Age of a cell's load after which another cell is preferred, in seconds: its
#: owner has missed a report.
FRESH_LOAD_AGE_S = 0.5


def prefer_fresh(age_s_by_cell: Mapping[str, float]) -> list[str]:
    """Returns the cells that may get tasks.

    Args:
        age_s_by_cell: Age of the last load report of each cell that can run the
            tasks, in seconds.
    """
    fresh = [
        cell
        for cell, age_s in age_s_by_cell.items()
        if age_s < FRESH_LOAD_AGE_S
    ]
    return fresh or [
        cell for cell, age_s in age_s_by_cell.items() if age_s < MAX_LOAD_AGE_S
    ]
