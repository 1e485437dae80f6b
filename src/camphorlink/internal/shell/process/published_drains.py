"""Applies the published zone drains to this VM."""

import logging
from collections.abc import Callable, Collection, Sequence

from camphorlink.internal.core.version.zone_drains import (
    DrainChange,
    DrainRegister,
    ZoneDrains,
)
from camphorlink.internal.shell.ports import DirectoryPort
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s

COUNTER = 'zone_drains'
_EVENT_BY_CHANGE = {
    DrainChange.REQUESTED: 'zone drain requested',
    DrainChange.CANCELLED: 'zone drain cancelled',
    DrainChange.UNKNOWN_ZONE: 'zone drain ignored: no zone of this site',
    DrainChange.UNREADABLE: 'zone drain has unreadable content',
}
_FAULTS = frozenset((DrainChange.UNKNOWN_ZONE, DrainChange.UNREADABLE))


class PublishedDrains:
    """Holds the zone drains, and logs and counts their changes."""

    def __init__(
        self,
        directory: DirectoryPort,
        zones: Collection[str],
        on_count: Callable[[str, str], None],
    ) -> None:
        """Creates drains that are unknown until the first read.

        Args:
            directory: Decodes the records.
            zones: Names of all zones of the site.
            on_count: Called with the family and the reason of each event to
                count.
        """
        self._directory = directory
        self._register = DrainRegister(zones)
        self._on_count = on_count
        self._log = PartLog('drains')

    def get(self) -> ZoneDrains:
        """Returns the drains as last read."""
        return self._register.drains

    def apply(
        self, records: Sequence[bytes], read_s: float, *, is_full: bool
    ) -> None:
        """Applies the records of a read.

        Args:
            records: The records.
            read_s: Time in seconds at which the read began.
            is_full: Whether these are the newest records of all keys.
        """
        record_by_zone = self._directory.decode_drains(records)
        register = self._register
        update = register.replace if is_full else register.update
        for zone, change in update(record_by_zone, read_s, now_s()):
            self._on_count(COUNTER, change.value)
            level = logging.WARNING if change in _FAULTS else logging.INFO
            self._log.log(level, _EVENT_BY_CHANGE[change], extra={'zone': zone})
