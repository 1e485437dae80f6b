"""Buffers audit records and groups them into batches for the log service.

Recording never blocks and never fails.  If the log service is unavailable
until the buffer is full, the oldest records are dropped.  The next batch
contains the number of dropped records, so that readers of the stream can
detect the gap.
"""

import collections
from collections.abc import Mapping
from typing import Any

#: Plain JSON values by name.
Record = dict[str, Any]

DROPPED = 'dropped'
MAX_BUFFERED_RECORDS = 5000
MAX_BATCH_RECORDS = 250
#: Maximum number of submissions whose records are kept for ``find``, whether
#: or not the records were sent.
MAX_RECENT_SUBMISSIONS = 5000
MAX_RECENT_PER_SUBMISSION = 20


class AuditBuffer:
    """Bounded buffer of the audit records of one process.

    Attributes:
        recorded: Number of records that were assigned a sequence number,
            including notices of dropped records.
        dropped: Number of records that were dropped from a full buffer.
    """

    def __init__(self, home: str) -> None:
        """Creates an empty buffer.

        Args:
            home: Identifier of this process, as text.  Together with
                ``sequence``, it identifies a record.
        """
        self.recorded = 0
        self.dropped = 0
        self._home = home
        self._unreported_drops = 0
        self._waiting: collections.deque[Record] = collections.deque()
        self._recent_by_id: dict[str, list[Record]] = {}

    def record(
        self,
        kind: str,
        wall_ms: int,
        facts: Mapping[str, Any],
    ) -> None:
        """Adds a record to the buffer.

        Args:
            kind: Type of the record, such as ``outcome``.
            wall_ms: Time in ms since the epoch.
            facts: Plain JSON values by name.
        """
        entry = self._assign_sequence({**facts, 'kind': kind, 'at_ms': wall_ms})
        self._remember(entry)
        self._waiting.append(entry)
        self._drop_surplus()

    def record_routine(
        self, kind: str, wall_ms: int, facts: Mapping[str, Any]
    ) -> None:
        """Stores a routine record that is sent only if its submission fails.

        Args:
            kind: Type of the record, such as ``queued``.
            wall_ms: Time in ms since the epoch.
            facts: Plain JSON values by name.
        """
        entry = {**facts, 'kind': kind, 'at_ms': wall_ms}
        self._remember({**entry, 'home': self._home})

    def queue_routine(self, submission_id: str) -> None:
        """Queues the unsent routine records of a failed submission."""
        for entry in self._recent_by_id.get(submission_id, []):
            if 'sequence' not in entry:
                self._waiting.append(self._assign_sequence(entry))
        self._drop_surplus()

    def take_batch(self, wall_ms: int) -> list[Record]:
        """Removes and returns the oldest records, up to the batch limit.

        The batch starts with a notice if records were dropped since the last
        notice.

        Args:
            wall_ms: Time in ms since the epoch.
        """
        batch = []
        if self._unreported_drops:
            notice = {'kind': DROPPED, 'at_ms': wall_ms}
            notice['count'] = self._unreported_drops
            batch.append(self._assign_sequence(notice))
            self._unreported_drops = 0
        while self._waiting and len(batch) < MAX_BATCH_RECORDS:
            batch.append(self._waiting.popleft())
        return batch

    def put_back(self, batch: list[Record]) -> None:
        """Returns a batch to the front of the buffer after a failed append.

        If the log service stored the batch despite the error, readers detect
        the duplicates by ``home`` and ``sequence``.
        """
        self._waiting.extendleft(reversed(batch))
        self._drop_surplus()

    def find(self, submission_id: str) -> list[Record]:
        """Returns the recent records of a submission."""
        return list(self._recent_by_id.get(submission_id, []))

    def _remember(self, entry: Record) -> None:
        submission_id = entry.get('submission_id')
        if not isinstance(submission_id, str):
            return
        recent = self._recent_by_id.setdefault(submission_id, [])
        if len(recent) < MAX_RECENT_PER_SUBMISSION:
            recent.append(entry)
        if len(self._recent_by_id) > MAX_RECENT_SUBMISSIONS:
            self._recent_by_id.pop(next(iter(self._recent_by_id)))

    def _assign_sequence(self, entry: Record) -> Record:
        self.recorded += 1
        entry['home'] = self._home
        entry['sequence'] = self.recorded
        return entry

    def _drop_surplus(self) -> None:
        while len(self._waiting) > MAX_BUFFERED_RECORDS:
            entry = self._waiting.popleft()
            if entry['kind'] == DROPPED:
                # This notice reported earlier drops: count them again for the
                # next notice.
                self._unreported_drops += entry['count']
            else:
                self.dropped += 1
                self._unreported_drops += 1
