"""States and mutation names of the planned-stop specification."""

from typing import NamedTuple

# Status of the submission in a table.
ABSENT = 'absent'
RUNNING = 'running'
ANSWERED = 'answered'
NOT_RUN = 'not-run'

# Phases of the home.
SERVING = 'serving'
SEALED = 'sealed'
COMMITTED = 'committed'
STOPPED = 'gone'

#: Positions of the parts; the first has the entry, the last is the commit.
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
    """Message with one part of the table.

    Attributes:
        vm: VM of the successor.
        incarnation: Incarnation of the successor that is to receive the part.
        number: Position of the part.
        entry: Status of the submission, in the first part.
    """

    vm: int
    incarnation: int
    number: int
    entry: str = ABSENT


class Reply(NamedTuple):
    """Reply of a successor to a part.

    Attributes:
        vm: VM of the successor.
        incarnation: Incarnation of the successor that sent the reply.
        number: Position of the part.
        is_accepted: Whether the successor accepted the part; if not, it
            refused the whole table.
    """

    vm: int
    incarnation: int
    number: int
    is_accepted: bool


class Successor(NamedTuple):
    """State of an entry VM to which the table may be handed over.

    Attributes:
        incarnation: Number of the VM's process start.
        has_capacity: Whether the VM currently accepts tables.
        has_refused_table: Whether this incarnation has refused the table.
        parts: Parts that the VM has received.
        is_owner: Whether the VM owns the table.
        entry: Status of the submission in the VM's table.
    """

    incarnation: int = 1
    has_capacity: bool = True
    has_refused_table: bool = False
    parts: frozenset[Part] = frozenset()
    is_owner: bool = False
    entry: str = ABSENT


class HandoverState(NamedTuple):
    """State of the home, its possible successors and the sent messages.

    Attributes:
        phase: Phase of the home.
        entry: Status of the submission in the home's table.
        target_vm: VM of the successor that the home has chosen, or -1.
        target_incarnation: Incarnation of that successor, as known to the
            home.
        chosen_vms: VMs that the home has chosen so far.
        sent_parts: All parts that were sent.
        replies: All replies that were sent.
        successors: The other entry VMs.
        restarts_left: Number of restarts that may still occur.
        capacity_changes_left: Number of times that the capacity of a
            successor may still change.
        starts: Number of times that the submission was started.
        has_reported_not_run: Whether a caller received the answer that the
            submission was not run.
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
