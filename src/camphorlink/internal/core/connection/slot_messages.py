"""Messages about the slots that the entry VMs of a zone share."""

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


SlotMessage = SlotWant | SlotLoan | SlotReturn

SLOT_MESSAGE_BY_KIND: dict[str, type[SlotMessage]] = {
    'slot-want': SlotWant,
    'slot-loan': SlotLoan,
    'slot-return': SlotReturn,
}
