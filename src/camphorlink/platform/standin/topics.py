"""Topics of the stand-in store: records, producers, groups.

Speaks the platform's words, as the whole folder does.
"""

import asyncio
import struct
from typing import Any, NamedTuple

from camphorlink.errors import CamphorlinkError

_LENGTH = struct.Struct('>I')
#: Appends of a producer whose answers are kept for repetitions.
KEPT_ANSWERS = 5
KEYED_PREFIX = 'keyed.'


class RefusedError(CamphorlinkError):
    """An append that the store does not take.

    Attributes:
        status: HTTP status of the answer.
        answer: Body of the answer.
    """

    def __init__(self, status: int, answer: dict[str, Any]) -> None:
        """Keep what is answered."""
        super().__init__(f'{status} {answer}')
        self.status = status
        self.answer = answer


class Stamp(NamedTuple):
    """What makes an append happen once."""

    producer: str
    epoch: int
    sequence: int


class _Writer:
    """What is known of a producer in a partition."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.sequence: int | None = None
        self.answer_by_sequence: dict[int, dict[str, int]] = {}


class Partition:
    """One partition of a topic."""

    def __init__(self) -> None:
        """Starts empty."""
        self.first = 0
        self.records: list[bytes] = []
        self.changed = asyncio.Event()
        self._writer_by_producer: dict[str, _Writer] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(
        self,
        records: list[bytes],
        at: int | None,
        stamp: Stamp | None,
    ) -> dict[str, int]:
        """Appends records, all or none.

        Raises:
            RefusedError: For an unmet condition, or a wrong epoch or sequence.
        """
        if at is not None and at != self.end:
            raise RefusedError(412, {'end_offset': self.end})
        if stamp is None:
            return self._add(records)
        writer = self._writer_of(stamp)
        known = writer.answer_by_sequence.get(stamp.sequence)
        if known is not None:
            return known
        last = writer.sequence
        if last is not None and stamp.sequence != last + 1:
            raise RefusedError(409, {'reason': 'seq', 'sequence': last + 1})
        answer = self._add(records)
        writer.sequence = stamp.sequence
        writer.answer_by_sequence[stamp.sequence] = answer
        writer.answer_by_sequence.pop(stamp.sequence - KEPT_ANSWERS, None)
        return answer

    def trim(self, before: int) -> None:
        """Forgets the records before an offset."""
        gone = max(before - self.first, 0)
        self.records = self.records[gone:]
        self.first = max(self.first, min(before, self.first + gone))

    def _writer_of(self, stamp: Stamp) -> _Writer:
        writer = self._writer_by_producer.get(stamp.producer)
        if writer is None or writer.epoch < stamp.epoch:
            writer = _Writer(stamp.epoch)
            self._writer_by_producer[stamp.producer] = writer
        if writer.epoch > stamp.epoch:
            raise RefusedError(409, {'reason': 'fenced'})
        return writer

    def _add(self, records: list[bytes]) -> dict[str, int]:
        offset = self.end
        self.records.extend(records)
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()
        return {'offset': offset, 'end_offset': self.end}

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for place, record in enumerate(self.records):
            end = 1 + record[0]
            key = record[1:end].decode()
            found[key] = (self.first + place, record[end:])
        return {key: entry for key, entry in found.items() if entry[1]}


def join_records(records: list[bytes]) -> bytes:
    """Writes records as they travel."""
    return b''.join(_LENGTH.pack(len(record)) + record for record in records)


def split_records(body: bytes) -> list[bytes]:
    """Reads records as they travel."""
    records = []
    place = 0
    while place < len(body):
        length = _LENGTH.unpack_from(body, place)[0]
        place += _LENGTH.size
        records.append(body[place : place + length])
        place += length
    return records
