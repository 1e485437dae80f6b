"""Back ends that the owner of a cell knows from earlier owners only."""

from typing import NamedTuple


class InheritedBackend(NamedTuple):
    """A back end that only earlier owners of a cell have reached.

    Attributes:
        started_ms: Start time of its incarnation, in ms.
        left_ms: Time in ms, counted from any later moment, after which no run
            of these owners is left there.
    """

    started_ms: int
    left_ms: int
