"""Decides which tasks crash their back ends, by the crashes under them.

It answers a task that crashes each back end that starts it, among innocent
neighbours on the same back ends, while racks or zones fail as well.  A task that
was there once runs again, but alone, so that its next crash tells it apart from
its neighbours and takes none of them along.
"""

import enum
from collections.abc import Collection
from typing import NamedTuple

#: Crashes after which a task is given up if it was alone at one of them.
MIN_CRASHES = 2
#: The same if the back ends had been silent before some of these crashes.
MIN_CRASHES_IN_SILENCE = 3
#: Crashes after which a task is given up in any case: the platform counts the
#: sixth start of a task as a fault, and a lost owner may not have recorded one.
MAX_CRASHES = 4


class Assessment(enum.IntEnum):
    """What is known of a task, in the order of increasing suspicion.

    ``CLEAR``: it may share a back end.  ``DOUBTED``: it runs alone.
    ``SUSPECTED``: it is the likeliest cause of a crash; it runs alone, and few
    such tasks run at once.  ``WITHHELD``: it would be given up if all crashes
    under it were certain.  ``GIVEN_UP``: it does not run again.
    """

    CLEAR = enum.auto()
    DOUBTED = enum.auto()
    SUSPECTED = enum.auto()
    WITHHELD = enum.auto()
    GIVEN_UP = enum.auto()

    @property
    def must_run_alone(self) -> bool:
        """Whether the task may not share a back end."""
        return self is not Assessment.CLEAR

    @property
    def may_run(self) -> bool:
        """Whether the task may start."""
        return self < Assessment.WITHHELD


class CrashKind(enum.Enum):
    """What is known of a crash.

    ``OBSERVED``: its runs are known.  ``SILENT``: the same, but the back end had
    been silent before, so that its runs may have ended unnoticed.  ``COMMON``: a
    whole rack or zone failed at once, so that none of its tasks is the cause.
    ``INFERRED``: the owner that knew its runs was lost as well, so that its tasks
    may never have started there; it accuses none of them.  Only earlier versions
    record it.
    """

    OBSERVED = 'observed'
    SILENT = 'silent'
    COMMON = 'common'
    INFERRED = 'inferred'


class Crash(NamedTuple):
    """A crash of a back end under a task.

    Attributes:
        kind: What is known of the crash.
        was_alone: Whether no other task can have been there.
        was_newest: Whether it was started there last.
        was_running: Whether the back end had confirmed its run; otherwise the
            task may never have started there.
        is_certain: Whether the incarnation has certainly ended; otherwise the
            crash may still be retracted.
    """

    kind: CrashKind
    was_alone: bool
    was_newest: bool
    was_running: bool = True
    is_certain: bool = True


_ACCUSING = frozenset((CrashKind.OBSERVED, CrashKind.SILENT))


def assess(crashes: Collection[Crash]) -> Assessment:
    """Assesses a task by all known crashes under it.

    Where the task may never have started, it is doubted at the most, however
    often that happens: its job would fail without a cause.  It is given up by
    certain crashes only, as the end of its job can't be taken back.
    """
    confirmed = [
        crash
        for crash in crashes
        if crash.was_running and crash.kind is not CrashKind.INFERRED
    ]
    if _suffice([crash for crash in confirmed if crash.is_certain]):
        return Assessment.GIVEN_UP
    if _suffice(confirmed):
        return Assessment.WITHHELD
    accusing = [crash for crash in crashes if crash.kind in _ACCUSING]
    if any(crash.was_newest for crash in accusing):
        return Assessment.SUSPECTED
    return Assessment.DOUBTED if accusing else Assessment.CLEAR


def _suffice(confirmed: list[Crash]) -> bool:
    """Returns whether crashes suffice to give a task up."""
    return len(confirmed) >= MAX_CRASHES or _is_told_apart(confirmed)


def _is_told_apart(confirmed: list[Crash]) -> bool:
    """Returns whether a task is the cause of crashes, and not a neighbour."""
    accusing = [crash for crash in confirmed if crash.kind in _ACCUSING]
    if not any(crash.was_alone for crash in accusing):
        return False
    certain = [crash for crash in accusing if crash.kind is CrashKind.OBSERVED]
    return (
        len(certain) >= MIN_CRASHES or len(accusing) >= MIN_CRASHES_IN_SILENCE
    )
