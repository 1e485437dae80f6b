"""Index of the cells that have a back end with enough capacity for a step.

The index is read several times for each job, while the list of back ends
changes at most a few times a second.  It stays small because few back ends of
a cell differ in capacity.
"""

from collections.abc import Iterable

from camphorlink.internal.core.connection.backend_commands import ListedBackend
from camphorlink.internal.core.request.durable_job import Resources, Step

#: Key of the capacities of all back ends; no back end has an empty label.
ANY_LABEL = ''

#: Distinct capacities of back ends by cell.
CapacitiesByCell = dict[str, set[Resources]]


class CellIndex:
    """Distinct capacities of back ends by service, label and cell."""

    def __init__(self, backends: Iterable[ListedBackend] = ()) -> None:
        """Builds the index from a list of back ends."""
        self._capacities_by_label: dict[tuple[str, str], CapacitiesByCell] = {}
        for backend in backends:
            for label in (ANY_LABEL, *backend.labels):
                cells = self._capacities_by_label.setdefault(
                    (backend.service, label),
                    {},
                )
                cells.setdefault(backend.zone, set()).add(backend.capacity)

    def count_cells(self, service: str, step: Step) -> int:
        """Returns the number of cells that can run a step.

        It is 1 as long as no back end is known.
        """
        if not self._capacities_by_label:
            return 1
        return len(self.cells_for_step(service, step))

    def cells_for_step(self, service: str, step: Step) -> list[str]:
        """Returns the names of the cells that can run a step, sorted."""
        cells = self._capacities_by_label.get(
            (service, step.label or ANY_LABEL), {}
        )
        return sorted(
            cell
            for cell, capacities in cells.items()
            if any(step.needs.fits_in(capacity) for capacity in capacities)
        )
