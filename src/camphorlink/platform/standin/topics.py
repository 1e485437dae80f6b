"""Partitions of the stand-in store, with idempotent appends.

Uses the platform's terms, like the whole folder.
"""

import asyncio
import struct
from typing import Any, NamedTuple

from camphorlink.errors import CamphorlinkError

_LENGTH = struct.Struct('>I')
#: Number of answers that are kept per producer, for retried appends.
KEPT_ANSWERS = 5
KEYED_PREFIX = 'keyed.'


class AppendRefusedError(CamphorlinkError):
    """The store refused an append.

    Attributes:
        status: HTTP status of the answer.
        answer: JSON body of the answer.
    """

    def __init__(self, status: int, answer: dict[str, Any]) -> None:
        """Initializes the error with status and body of the answer."""
        super().__init__(f'{status} {answer}')
        self.status = status
        self.answer = answer


class AppendId(NamedTuple):
    """Identifies an append, so that retries are executed only once.

    Attributes:
        producer: Name of the writer.
        epoch: Epoch of the writer; lower ones are fenced.
        sequence: Number of the append in the epoch.
    """

    producer: str
    epoch: int
    sequence: int


class _ProducerState:
    """State of a producer in a partition."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.sequence: int | None = None
        self.answer_by_sequence: dict[int, dict[str, int]] = {}


class Partition:
    """Records of one partition of a topic.

    Attributes:
        first_offset: Offset of the oldest record.
        records: All records that were not trimmed.
        appended: Event that is set by the next append.
    """

    def __init__(self) -> None:
        """Initializes an empty partition."""
        self.first_offset = 0
        self.records: list[bytes] = []
        self.appended = asyncio.Event()
        self._state_by_producer: dict[str, _ProducerState] = {}

    @property
    def end_offset(self) -> int:
        """Offset that the next appended record gets."""
        return self.first_offset + len(self.records)

    def append(
        self,
        records: list[bytes],
        expected_offset: int | None,
        append_id: AppendId | None,
    ) -> dict[str, int]:
        """Appends records atomically.

        Args:
            records: The records.
            expected_offset: Offset that the first record must get, or
                ``None`` for any.
            append_id: Identifier that makes retries idempotent, or ``None``.

        Returns:
            Body of the answer; a retried append returns the first answer.

        Raises:
            AppendRefusedError: The expected offset, the epoch or the sequence
                number does not match.
        """
        if expected_offset is not None and expected_offset != self.end_offset:
            raise AppendRefusedError(412, {'end_offset': self.end_offset})
        if append_id is None:
            return self._add_records(records)
        state = self._state_of(append_id)
        earlier_answer = state.answer_by_sequence.get(append_id.sequence)
        if earlier_answer is not None:
            return earlier_answer
        last_sequence = state.sequence
        if (
            last_sequence is not None
            and append_id.sequence != last_sequence + 1
        ):
            raise AppendRefusedError(
                409, {'reason': 'seq', 'sequence': last_sequence + 1}
            )
        answer = self._add_records(records)
        state.sequence = append_id.sequence
        state.answer_by_sequence[append_id.sequence] = answer
        state.answer_by_sequence.pop(append_id.sequence - KEPT_ANSWERS, None)
        return answer

    def trim(self, before_offset: int) -> None:
        """Deletes the records before an offset."""
        trimmed_count = max(before_offset - self.first_offset, 0)
        self.records = self.records[trimmed_count:]
        self.first_offset = max(
            self.first_offset,
            min(before_offset, self.first_offset + trimmed_count),
        )

    def _state_of(self, append_id: AppendId) -> _ProducerState:
        state = self._state_by_producer.get(append_id.producer)
        if state is None or state.epoch < append_id.epoch:
            state = _ProducerState(append_id.epoch)
            self._state_by_producer[append_id.producer] = state
        if state.epoch > append_id.epoch:
            raise AppendRefusedError(409, {'reason': 'fenced'})
        return state

    def _add_records(self, records: list[bytes]) -> dict[str, int]:
        offset = self.end_offset
        self.records.extend(records)
        appended = self.appended
        self.appended = asyncio.Event()
        appended.set()
        return {'offset': offset, 'end_offset': self.end_offset}

    def read_newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of the newest record of each key."""
        entry_by_key: dict[str, tuple[int, bytes]] = {}
        for position, record in enumerate(self.records):
            key_end = 1 + record[0]
            key = record[1:key_end].decode()
            entry_by_key[key] = (self.first_offset + position, record[key_end:])
        return {key: entry for key, entry in entry_by_key.items() if entry[1]}


def encode_records(records: list[bytes]) -> bytes:
    """Encodes records with a length prefix for each."""
    return b''.join(_LENGTH.pack(len(record)) + record for record in records)


def decode_records(body: bytes) -> list[bytes]:
    """Decodes records that have a length prefix each."""
    records = []
    position = 0
    while position < len(body):
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
