"""Finds how far the job log had been applied some time ago.

It uses the steady clock of this VM only: the wall clocks of the VMs that write
records may jump.
"""

import collections
from typing import NamedTuple

#: Number of marks within the age that is looked for.
MARKS_KEPT = 20


class _Mark(NamedTuple):
    """The next offset of the log at a time in seconds."""

    now: float
    offset: int


class OffsetMarks:
    """Remembers offsets of the log for a fixed age."""

    def __init__(self, age_s: float) -> None:
        """Creates marks without any offset.

        Args:
            age_s: Age that is looked for, in seconds.
        """
        self._age_s = age_s
        self._marks: collections.deque[_Mark] = collections.deque()

    def advance(self, now: float, offset: int) -> int:
        """Records the next offset, and returns one that is old enough.

        Args:
            now: Time in seconds.
            offset: The next offset of the log.

        Returns:
            An offset before which all records were applied at least ``age_s``
            ago; 0 if none is known.
        """
        period_s = self._age_s / MARKS_KEPT
        if not self._marks or now - self._marks[-1].now >= period_s:
            self._marks.append(_Mark(now, offset))
        old = 0
        while self._marks and now - self._marks[0].now >= self._age_s:
            old = self._marks.popleft().offset
        return old
