"""States of the planned-stop specification, and its mutations' names."""

from typing import NamedTuple

# What a table holds of the submission.
ABSENT = 'absent'
RUNNING = 'running'
ANSWERED = 'answered'
NOT_RUN = 'not-run'

# What the home does.
SERVING = 'serving'
SEALED = 'sealed'
COMMITTED = 'committed'
GONE = 'gone'

#: Parts of the table; the entry is in the first, the last is the commit.
FIRST_PART = 0
LAST_PART = 1

NO_SEAL = 'successor-without-a-seal'
EARLY_COMMIT = 'commit-before-all-parts'
SECOND_COMMIT = 'second-successor-after-an-unanswered-commit'
REOPENED = 'home-opens-again-after-the-commit'
ROOM_AGAIN = 'refusal-of-a-table-not-final'
BY_ADDRESS = 'parts-addressed-without-incarnation'
NO_TOMBSTONE = 'refusals-not-handed-over'


class Part(NamedTuple):
    """A part of the table on its way.

    Attributes:
        vm: VM of the successor.
        incarnation: Process that it is meant for.
        number: Position of the part.
        entry: The entry, in the first part.
    """

    vm: int
    incarnation: int
    number: int
    entry: str = ABSENT


class Reply(NamedTuple):
    """What a successor says of a part.

    Attributes:
        vm: Its VM.
        incarnation: The process that speaks.
        number: Position of the part.
        is_taken: Whether it was taken, or the table refused.
    """

    vm: int
    incarnation: int
    number: int
    is_taken: bool


class Successor(NamedTuple):
    """An entry VM that may take the table over.

    Attributes:
        incarnation: Number of its process start.
        has_room: Whether it takes tables at this time.
        has_refused: Whether it remembers to have refused this table.
        parts: Parts that it holds.
        is_owner: Whether it owns the table.
        entry: What its table holds of the submission.
    """

    incarnation: int = 1
    has_room: bool = True
    has_refused: bool = False
    parts: frozenset[Part] = frozenset()
    is_owner: bool = False
    entry: str = ABSENT


class HandoverState(NamedTuple):
    """The home, its successors and what is on its way.

    Attributes:
        phase: What the home does.
        entry: What its table holds of the submission.
        target: VM of the successor that it has named, or -1.
        meant_for: Incarnation of it that the home knows.
        tried: VMs that were named.
        sent: Parts that were ever sent.
        replies: Replies that were ever sent.
        successors: The other entry VMs.
        restarts_left: Process starts that may still happen.
        turns_left: Times that a successor's room may still change.
        starts: How often the submission was started.
        was_refused: Whether some caller was told that it was not run.
    """

    phase: str = SERVING
    entry: str = ABSENT
    target: int = -1
    meant_for: int = 0
    tried: frozenset[int] = frozenset()
    sent: frozenset[Part] = frozenset()
    replies: frozenset[Reply] = frozenset()
    successors: tuple[Successor, ...] = (Successor(), Successor())
    restarts_left: int = 1
    turns_left: int = 2
    starts: int = 0
    was_refused: bool = False
