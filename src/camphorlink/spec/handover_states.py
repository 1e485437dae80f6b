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
STOPPED = 'gone'

#: Parts of the table; the entry is in the first, the last is the commit.
FIRST_PART = 0
LAST_PART = 1

NO_SEAL = 'successor-without-a-seal'
EARLY_COMMIT = 'commit-before-all-parts'
SECOND_SUCCESSOR = 'second-successor-after-an-unanswered-commit'
REOPENED = 'home-opens-again-after-the-commit'
REVERSED_REFUSAL = 'refusal-of-a-table-not-final'
NO_INCARNATION = 'parts-addressed-without-incarnation'
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
        is_accepted: Whether it was taken, or the table refused.
    """

    vm: int
    incarnation: int
    number: int
    is_accepted: bool


class Successor(NamedTuple):
    """An entry VM that may take the table over.

    Attributes:
        incarnation: Number of its process start.
        has_capacity: Whether it takes tables at this time.
        has_refused_table: Whether it remembers to have refused this table.
        parts: Parts that it holds.
        is_owner: Whether it owns the table.
        entry: What its table holds of the submission.
    """

    incarnation: int = 1
    has_capacity: bool = True
    has_refused_table: bool = False
    parts: frozenset[Part] = frozenset()
    is_owner: bool = False
    entry: str = ABSENT


class HandoverState(NamedTuple):
    """The home, its successors and what is on its way.

    Attributes:
        phase: What the home does.
        entry: What its table holds of the submission.
        target: VM of the successor that it has named, or -1.
        target_incarnation: Incarnation of it that the home knows.
        tried: VMs that were named.
        sent: Parts that were ever sent.
        replies: Replies that were ever sent.
        successors: The other entry VMs.
        restarts_left: Process starts that may still happen.
        capacity_changes_left: Times that a successor's room may still change.
        starts: How often the submission was started.
        has_reported_not_run: Whether some caller was told that it was not run.
    """

    phase: str = SERVING
    entry: str = ABSENT
    target_vm: int = -1
    target_incarnation: int = 0
    chosen_vms: frozenset[int] = frozenset()
    sent_parts: frozenset[Part] = frozenset()
    replies: frozenset[Reply] = frozenset()
    successors: tuple[Successor, ...] = (Successor(), Successor())
    restarts_left: int = 1
    capacity_changes_left: int = 2
    starts: int = 0
    has_reported_not_run: bool = False
