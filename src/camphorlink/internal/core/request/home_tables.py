"""Submission tables of one process: its own and those handed over to it."""

from camphorlink.internal.core.request.home_table import HomeTable, TableLimits
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job_run import JobRun


class HomeTables:
    """Maps homes and identifiers to the tables that this process holds."""

    def __init__(self, home: Home, limits: TableLimits) -> None:
        """Creates the map with an empty table for ``home``."""
        self.home = home
        self.limits = limits
        self.own = HomeTable(limits)
        self.table_by_home: dict[Home, HomeTable] = {home: self.own}
        self._sealed: set[Home] = set()
        self._expired: set[Home] = set()
        self._table_by_prefix = {str(home): self.own}

    @property
    def open_count(self) -> int:
        """Number of submissions without an answer, over all tables."""
        return sum(table.open_count for table in self.table_by_home.values())

    def find(self, home: Home) -> HomeTable | None:
        """Returns the table of a home, even if sealed, if it is held here."""
        return self.table_by_home.get(home)

    def find_run(self, submission_id: str) -> JobRun | None:
        """Returns a run by the text form of its identifier."""
        prefix = submission_id.rpartition('.')[0]
        table = self._table_by_prefix.get(prefix)
        return None if table is None else table.find(submission_id)

    def is_sealed(self, home: Home) -> bool:
        """Returns whether the table of ``home`` accepts no new submissions."""
        return home in self._sealed

    def seal(self, home: Home) -> None:
        """Makes a table permanently reject submissions it does not contain."""
        self._sealed.add(home)

    def adopt(self, home: Home, table: HomeTable) -> None:
        """Adds a table that another process sealed and handed over."""
        self.table_by_home[home] = table
        self._table_by_prefix[str(home)] = table

    def expire(self, home: Home) -> None:
        """Clears a table after all of its identifiers have expired."""
        self.table_by_home[home].expire()
        self._expired.add(home)

    def is_expired(self, home: Home) -> bool:
        """Returns whether all identifiers of a table have expired."""
        return home in self._expired
