"""The tables that one process owns: its own, and those handed over to it."""

from camphorlink.internal.core.request.home_table import HomeTable, TableLimits
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job_run import JobRun


class HomeTables:
    """Finds the table that answers for an identifier."""

    def __init__(self, home: Home, limits: TableLimits) -> None:
        """Starts with the own table alone."""
        self.home = home
        self.limits = limits
        self.own = HomeTable(limits)
        self.table_by_home: dict[Home, HomeTable] = {home: self.own}
        self._sealed: set[Home] = set()
        self._expired: set[Home] = set()
        self._table_by_prefix = {str(home): self.own}

    @property
    def open_count(self) -> int:
        """Submissions of all tables whose answer is still to come."""
        return sum(table.open_count for table in self.table_by_home.values())

    def find(self, home: Home) -> HomeTable | None:
        """Returns the table of a home, sealed or not, if it is held here."""
        return self.table_by_home.get(home)

    def find_run(self, submission_id: str) -> JobRun | None:
        """Returns a run by the text form of its identifier."""
        prefix = submission_id.rpartition('.')[0]
        table = self._table_by_prefix.get(prefix)
        return None if table is None else table.find(submission_id)

    def is_sealed(self, home: Home) -> bool:
        """Whether the table of ``home`` takes nothing new any more."""
        return home in self._sealed

    def seal(self, home: Home) -> None:
        """Lets the table answer only for what it has seen, for good."""
        self._sealed.add(home)

    def adopt(self, home: Home, table: HomeTable) -> None:
        """Owns a table from now on that another process has sealed."""
        self.table_by_home[home] = table
        self._table_by_prefix[str(home)] = table

    def expire(self, home: Home) -> None:
        """Empties a table all of whose identifiers have expired."""
        self.table_by_home[home].expire()
        self._expired.add(home)

    def is_expired(self, home: Home) -> bool:
        """Whether all identifiers of a table have expired."""
        return home in self._expired
