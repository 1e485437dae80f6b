"""Records which process owns the table of a home that was stopped."""

from collections.abc import Iterator
from typing import NamedTuple

from camphorlink.internal.core.request.identifiers import Home

#: Capacity; the oldest successions are evicted first.
MAX_SUCCESSIONS = 1000


class Succession(NamedTuple):
    """A hand-over of a sealed table to a new owner.

    Attributes:
        home: The home whose identifiers the table holds.
        owner: The process that received the table.
        generation: Number of the hand-over of this table, from 1.
    """

    home: Home
    owner: Home
    generation: int


class Successions:
    """The newest known owner of each table that was handed over.

    The owner is only a routing hint: a process that does not own the table
    replies so.
    """

    def __init__(self) -> None:
        """Creates an empty map: each home owns its own table."""
        self._succession_by_home: dict[Home, Succession] = {}

    def __iter__(self) -> Iterator[Succession]:
        return iter(tuple(self._succession_by_home.values()))

    def __len__(self) -> int:
        return len(self._succession_by_home)

    def owner(self, home: Home) -> Home:
        """Returns the process that owns the table of ``home``."""
        succession = self._succession_by_home.get(home)
        return home if succession is None else succession.owner

    def generation(self, home: Home) -> int:
        """Returns the number of known hand-overs of the table of ``home``."""
        succession = self._succession_by_home.get(home)
        return 0 if succession is None else succession.generation

    def record_succession(self, succession: Succession) -> bool:
        """Records a hand-over; returns whether it is newer than known ones."""
        if succession.generation <= self.generation(succession.home):
            return False
        self._succession_by_home[succession.home] = succession
        while len(self._succession_by_home) > MAX_SUCCESSIONS:
            self._succession_by_home.pop(next(iter(self._succession_by_home)))
        return True
