"""Records and pages that are read from the platform's log service."""

from typing import Any, NamedTuple


class StoredRecord(NamedTuple):
    """A record of a stream, with its offset.

    Attributes:
        offset: Position in the stream.
        appended_ms: Time of the append, in ms since the epoch.
        record: The decoded record, of any shape.
    """

    offset: int
    appended_ms: int
    record: Any


class Page(NamedTuple):
    """Consecutive records that one read of a stream returned.

    Attributes:
        records: The records, in the order of their offsets.
        earliest_offset: Offset of the first record that the log still has.
        next_offset: Offset of the next append.
    """

    records: tuple[StoredRecord, ...]
    earliest_offset: int
    next_offset: int
