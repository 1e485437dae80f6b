"""Messages about shared slots, ejected back ends and shared limits."""

from typing import NamedTuple


class SlotWant(NamedTuple):
    """Requests slots of the receiver for tasks that wait at the sender.

    Attributes:
        slots: Number of slots.  A new want replaces the sender's earlier one.
        slack_s: Time until the most urgent waiting job is due, in seconds;
            negative if it is overdue.
        min_speed: Speed that a back end must exceed to be useful.
    """

    slots: int
    slack_s: float
    min_speed: float


class SlotLoan(NamedTuple):
    """Lends the receiver free slots of the sender's share.

    Attributes:
        slots_by_backend: Number of slots by name of the backend server.
        term_s: Time in which tasks may be started on them, in seconds.
    """

    slots_by_backend: dict[str, int]
    term_s: float


class SlotReturn(NamedTuple):
    """Returns slots that the receiver had lent to the sender.

    Attributes:
        slots_by_backend: Number of slots by name of the backend server.
    """

    slots_by_backend: dict[str, int]


class BackendSuspect(NamedTuple):
    """Reports that the sender has ejected a back end of the zone.

    Attributes:
        backend: Name of the backend server.
        period_s: Time for which the sender assigns it no tasks, in seconds.
    """

    backend: str
    period_s: float


class LimitDemand(NamedTuple):
    """Number of tasks of the sender to which one limit applies.

    Attributes:
        kind: ``team`` or ``service``.
        name: Name of the team or service in the manifest.
        tasks: Number of its running and waiting tasks.
    """

    kind: str
    name: str
    tasks: int


class DemandReport(NamedTuple):
    """Demand of the sender under all limits.

    Attributes:
        demands: Demand under each limit; a limit that is not listed has none.
    """

    demands: tuple[LimitDemand, ...]


SlotMessage = SlotWant | SlotLoan | SlotReturn | BackendSuspect | DemandReport

SLOT_MESSAGE_BY_KIND: dict[str, type[SlotMessage]] = {
    'slot-want': SlotWant,
    'slot-loan': SlotLoan,
    'slot-return': SlotReturn,
    'backend-suspect': BackendSuspect,
    'demand-report': DemandReport,
}
