"""Collects audit records into batches that fit the log service's budget.

Recording never waits and never fails.  When the log is away for longer than
the buffer lasts, the oldest records give way and are counted; the count goes
out with the next batch, so the stream itself says that something is missing.
"""

import collections
from collections.abc import Mapping
from typing import Any

#: An audit record: plain JSON values by name.
Record = dict[str, Any]

DROPPED = 'dropped'
MAX_BUFFERED = 5000
MAX_BATCH = 250
#: Submissions whose newest records ``find`` can show, sent or not.
MAX_RECENT = 5000
MAX_RECENT_EACH = 20


class AuditBuffer:
    """Audit records of one process that wait to be appended."""

    def __init__(self, home: str) -> None:
        """Names the process that writes; ``sequence`` tells its records."""
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
        """Adds a record.

        Args:
            kind: What it is about, such as ``outcome``.
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
        """Keeps a routine record here, in case its submission goes wrong.

        Args:
            kind: What it is about, such as ``queued``.
            wall_ms: Time in ms since the epoch.
            facts: Plain JSON values by name.
        """
        entry = {**facts, 'kind': kind, 'at_ms': wall_ms}
        self._remember({**entry, 'home': self._home})

    def queue_routine(self, submission_id: str) -> None:
        """Adds what was kept about a submission, since it went wrong."""
        for entry in self._recent_by_id.get(submission_id, []):
            if 'sequence' not in entry:
                self._waiting.append(self._assign_sequence(entry))
        self._drop_surplus()

    def take_batch(self, wall_ms: int) -> list[Record]:
        """Takes the oldest records out, at most one batch of them."""
        batch = []
        if self._unreported_drops:
            notice = {'kind': DROPPED, 'at_ms': wall_ms}
            notice['count'] = self._unreported_drops
            batch.append(self._assign_sequence(notice))
            self._unreported_drops = 0
        while self._waiting and len(batch) < MAX_BATCH:
            batch.append(self._waiting.popleft())
        return batch

    def put_back(self, batch: list[Record]) -> None:
        """Puts back a batch that was not appended for certain.

        If it was after all, readers know its records by home and sequence.
        """
        self._waiting.extendleft(reversed(batch))
        self._drop_surplus()

    def find(self, submission_id: str) -> list[Record]:
        """Lists the recent records about a submission."""
        return list(self._recent_by_id.get(submission_id, []))

    def _remember(self, entry: Record) -> None:
        submission_id = entry.get('submission_id')
        if not isinstance(submission_id, str):
            return
        recent = self._recent_by_id.setdefault(submission_id, [])
        if len(recent) < MAX_RECENT_EACH:
            recent.append(entry)
        if len(self._recent_by_id) > MAX_RECENT:
            self._recent_by_id.pop(next(iter(self._recent_by_id)))

    def _assign_sequence(self, entry: Record) -> Record:
        self.recorded += 1
        entry['home'] = self._home
        entry['sequence'] = self.recorded
        return entry

    def _drop_surplus(self) -> None:
        while len(self._waiting) > MAX_BUFFERED:
            entry = self._waiting.popleft()
            if entry['kind'] == DROPPED:
                # Its count must not get lost with it.
                self._unreported_drops += entry['count']
            else:
                self.dropped += 1
                self._unreported_drops += 1
