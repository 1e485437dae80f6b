"""Records of the platform's log service, as they are read."""

from typing import Any, NamedTuple


class StoredRecord(NamedTuple):
    """A record as the log service keeps it.

    Attributes:
        offset: Position in its stream.
        appended_ms: Time of the append, ms since the epoch.
        record: The record itself, of any shape.
    """

    offset: int
    appended_ms: int
    record: Any


class Page(NamedTuple):
    """Consecutive records of a stream.

    Attributes:
        records: In the order of their offsets.
        earliest_offset: First offset that is still kept.
        next_offset: Offset that the next append will get.
    """

    records: tuple[StoredRecord, ...]
    earliest_offset: int
    next_offset: int
