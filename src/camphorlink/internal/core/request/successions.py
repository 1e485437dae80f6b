"""Which process owns the table of a home that has made a planned stop."""

from collections.abc import Iterator
from typing import NamedTuple

from camphorlink.internal.core.request.identifiers import Home

#: Successions that are remembered; the oldest are forgotten first.
MAX_SUCCESSIONS = 1000


class Succession(NamedTuple):
    """One hand-over of a sealed table.

    Attributes:
        home: The home whose identifiers the table holds.
        owner: The process that owns the table now.
        generation: Rises by one with each hand-over of this table.
    """

    home: Home
    owner: Home
    generation: int


class Successions:
    """The newest known owner of each table that was handed over.

    This steers messages only: a process that owns no table says so.
    """

    def __init__(self) -> None:
        """Starts with each home owning its own table."""
        self._by_home: dict[Home, Succession] = {}

    def __iter__(self) -> Iterator[Succession]:
        return iter(tuple(self._by_home.values()))

    def __len__(self) -> int:
        return len(self._by_home)

    def owner(self, home: Home) -> Home:
        """Returns the process that owns the table of ``home``."""
        succession = self._by_home.get(home)
        return home if succession is None else succession.owner

    def generation(self, home: Home) -> int:
        """Returns how often the table of ``home`` was handed over."""
        succession = self._by_home.get(home)
        return 0 if succession is None else succession.generation

    def record_succession(self, succession: Succession) -> bool:
        """Takes in a hand-over; says whether it was news."""
        if succession.generation <= self.generation(succession.home):
            return False
        self._by_home[succession.home] = succession
        while len(self._by_home) > MAX_SUCCESSIONS:
            self._by_home.pop(next(iter(self._by_home)))
        return True
