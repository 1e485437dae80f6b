"""Which cells have a back end on which a step's tasks fit.

Asked several times for each job; back ends change a few times a second at the
most, and few of a cell differ in capacity.
"""

from collections.abc import Iterable

from camphorlink.internal.core.connection.backend_commands import ListedBackend
from camphorlink.internal.core.request.durable_job import Resources, Step

#: Label of no back end: stands for any.
ANY = ''

#: Distinct capacities of the back ends of each cell.
Capacities = dict[str, set[Resources]]


class CellIndex:
    """Distinct capacities by service, label and cell."""

    def __init__(self, backends: Iterable[ListedBackend] = ()) -> None:
        """Reads a list of back ends once."""
        self._capacities: dict[tuple[str, str], Capacities] = {}
        for backend in backends:
            for label in (ANY, *backend.labels):
                cells = self._capacities.setdefault(
                    (backend.service, label),
                    {},
                )
                cells.setdefault(backend.zone, set()).add(backend.capacity)

    def cells_with(self, service: str, step: Step) -> list[str]:
        """Returns the cells that can run a step's tasks, in order."""
        cells = self._capacities.get((service, step.label or ANY), {})
        return sorted(
            cell
            for cell, capacities in cells.items()
            if any(step.needs.fits_in(capacity) for capacity in capacities)
        )
