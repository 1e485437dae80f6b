"""Zones in which no further task may start, as operators request.

This addresses the maintenance of the back ends of a zone under full load: the
zone gets no new runs, its running tasks end, and its waiting tasks go to other
zones.  Each VM decides from its own copy of the published requests.
"""

import enum
import math
from collections.abc import Collection, Mapping
from typing import NamedTuple


class DrainRecord(enum.Enum):
    """What the newest record about the drain of a zone says.

    ``UNREADABLE``: there is a record, but its content has a wrong form.
    """

    REQUESTED = enum.auto()
    CANCELLED = enum.auto()
    UNREADABLE = enum.auto()


class ZoneDrains(NamedTuple):
    """The zones that are drained, as read at one time.

    Attributes:
        requested_s_by_zone: Time in seconds at which this VM first read the
            request, for each drained zone.
        read_s: Time in seconds from which on requests may be missing;
            ``-inf`` if the drains are unknown.
    """

    requested_s_by_zone: Mapping[str, float]
    read_s: float

    @property
    def is_known(self) -> bool:
        """Whether the drains were read."""
        return self.read_s > -math.inf


#: The drains before the first read.
UNKNOWN_DRAINS = ZoneDrains({}, -math.inf)


def may_start(zone: str, drains: ZoneDrains) -> bool:
    """Returns whether a task may start on the back ends of a zone."""
    return drains.is_known and zone not in drains.requested_s_by_zone


class DrainChange(enum.Enum):
    """Kinds of changes; each value is the reason that they are counted under.

    ``UNKNOWN_ZONE``: a record names no zone of the site, and is ignored.
    ``UNREADABLE``: the content of a record has a wrong form; it counts as a
    request, as its key states one.
    """

    REQUESTED = 'requested'
    CANCELLED = 'cancelled'
    UNKNOWN_ZONE = 'unknown-zone'
    UNREADABLE = 'unreadable-content'


class ZoneChange(NamedTuple):
    """A change that is to be logged and counted once.

    Attributes:
        zone: Name in the record.
        change: What has changed.
    """

    zone: str
    change: DrainChange


class DrainRegister:
    """Keeps the drains up to date with the published records.

    Attributes:
        drains: The drains as last read.
    """

    def __init__(self, zones: Collection[str]) -> None:
        """Creates a register whose drains are unknown.

        Args:
            zones: Names of all zones of the site.
        """
        self.drains = UNKNOWN_DRAINS
        self._zones = frozenset(zones)
        self._faults: set[ZoneChange] = set()

    def replace(
        self,
        record_by_zone: Mapping[str, DrainRecord],
        read_s: float,
        now: float,
    ) -> list[ZoneChange]:
        """Replaces all drains by those of a full read.

        Args:
            record_by_zone: Newest record about each zone.
            read_s: Time in seconds at which the read began.
            now: Time in seconds.

        Returns:
            The changes.
        """
        former = {fault.zone for fault in self._faults}
        absent = (former | self.drains.requested_s_by_zone.keys()).difference(
            record_by_zone
        )
        cancelled = dict.fromkeys(sorted(absent), DrainRecord.CANCELLED)
        return self.update({**cancelled, **record_by_zone}, read_s, now)

    def update(
        self,
        record_by_zone: Mapping[str, DrainRecord],
        read_s: float,
        now: float,
    ) -> list[ZoneChange]:
        """Applies the records that were added since the last read.

        Takes the same arguments as ``replace``.

        Returns:
            The changes.
        """
        requested_s_by_zone = dict(self.drains.requested_s_by_zone)
        changes: list[ZoneChange] = []
        for zone, record in record_by_zone.items():
            changes.extend(self._new_faults(zone, record))
            if zone not in self._zones:
                continue
            is_known = zone in requested_s_by_zone
            if record is DrainRecord.CANCELLED:
                if is_known:
                    requested_s_by_zone.pop(zone)
                    changes.append(ZoneChange(zone, DrainChange.CANCELLED))
            elif not is_known:
                requested_s_by_zone[zone] = now
                changes.append(ZoneChange(zone, DrainChange.REQUESTED))
        self.drains = ZoneDrains(requested_s_by_zone, read_s)
        return changes

    def _new_faults(self, zone: str, record: DrainRecord) -> list[ZoneChange]:
        """Returns the fault of a record unless it was returned before."""
        fault = None
        if record is DrainRecord.CANCELLED:
            pass
        elif zone not in self._zones:
            fault = ZoneChange(zone, DrainChange.UNKNOWN_ZONE)
        elif record is DrainRecord.UNREADABLE:
            fault = ZoneChange(zone, DrainChange.UNREADABLE)
        known = {entry for entry in self._faults if entry.zone == zone}
        self._faults -= known
        if fault is None:
            return []
        self._faults.add(fault)
        return [] if fault in known else [fault]
