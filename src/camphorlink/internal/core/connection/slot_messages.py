"""Messages about what entry VMs share: slots, suspicions, limits."""

from typing import NamedTuple


class SlotWant(NamedTuple):
    """Tasks wait at the sender; it could use slots of the receiver.

    Attributes:
        slots: How many; a new want replaces the one before.
        slack_s: Seconds until the first of the waiting jobs is due, below
            zero when that has passed.
        min_speed: Speed that a back end must exceed to be of use.
    """

    slots: int
    slack_s: float
    min_speed: float


class SlotLoan(NamedTuple):
    """The sender lends free slots of its share.

    Attributes:
        slots_by_backend: How many of each backend server.
        term_s: Seconds in which tasks may be started on them.
    """

    slots_by_backend: dict[str, int]
    term_s: float


class SlotReturn(NamedTuple):
    """The sender gives back slots that the receiver had lent.

    Attributes:
        slots_by_backend: How many of each backend server.
    """

    slots_by_backend: dict[str, int]


class BackendSuspect(NamedTuple):
    """The sender has ejected a back end of the zone.

    Attributes:
        backend: Name of the backend server.
        period_s: Seconds for which the sender gives it nothing.
    """

    backend: str
    period_s: float


class LimitDemand(NamedTuple):
    """What the sender could use of one limit.

    Attributes:
        kind: ``team`` or ``service``.
        name: Its name in the manifest.
        tasks: Tasks that run or wait.
    """

    kind: str
    name: str
    tasks: int


class DemandReport(NamedTuple):
    """What the sender could use of each limit; none is left out.

    Attributes:
        demands: Only limits that it could use something of.
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
