"""Folds the configuration stream page by page, across gaps and outages.

No record is skipped silently: records that expired before they were read form
a gap, which only a snapshot in the stream or a peer's state can close.
"""

import collections
import enum
from collections.abc import Iterable
from typing import Any, NamedTuple

from camphorlink.errors import ManifestError
from camphorlink.internal.core.connection.log_records import Page, StoredRecord
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    Verdict,
    fold_record,
)
from camphorlink.internal.core.version.snapshots import read_snapshot

STALE_SNAPSHOT = 'stale-snapshot'
BAD_SNAPSHOT = 'bad-snapshot'
PEER_STATE = 'peer-state'
BAD_PEER_STATE = 'bad-peer-state'


class Health(enum.Enum):
    """Relation of the folded state to the stream.

    ``CURRENT``: all records that were read are folded.  ``GAP``: records
    expired before they were read.  ``LOG_BEHIND``: the stream ends before
    the folded offset, so the platform has lost records.  ``NEEDS_UPGRADE``:
    the stream requires a rule set that this release lacks.
    """

    CURRENT = 'current'
    GAP = 'gap'
    LOG_BEHIND = 'log-behind'
    NEEDS_UPGRADE = 'needs-upgrade'


class Folded(NamedTuple):
    """Result of folding one record.

    Attributes:
        offset: Offset of the record.
        verdict: A value of ``Verdict``, or ``STALE_SNAPSHOT`` or
            ``BAD_SNAPSHOT``.
        version: Version in force after the record.
    """

    offset: int
    verdict: str
    version: int


class ConfigFold:
    """One VM's configuration state, folded from the configuration stream.

    Attributes:
        state: State after the folded prefix of the stream.
        health: Relation of the state to the stream.
        counts: Number of events by verdict, health or reason.
        last_snapshot_ms: Time of the newest snapshot, or of the first folded
            record if there was none, in ms since the epoch.
        records_since_snapshot: Records folded after the newest snapshot.
    """

    def __init__(self) -> None:
        """Creates a fold with the empty state."""
        self.state = ConfigState()
        self.health = Health.CURRENT
        self.counts: collections.Counter[str] = collections.Counter()
        self.last_snapshot_ms: int | None = None
        self.records_since_snapshot = 0
        self._scan_offset = 0
        self._missing_end = 0

    @property
    def read_from(self) -> int:
        """Offset from which the stream has to be read next."""
        if self.health is Health.GAP:
            return self._scan_offset
        return self.state.next_offset

    def fold_page(self, page: Page) -> list[Folded]:
        """Folds a page that was read from ``read_from``.

        Returns:
            Result for each folded record; in a gap, for each snapshot that
            was tried.
        """
        if page.next_offset < self.state.next_offset:
            self._set_health(Health.LOG_BEHIND)
            return []
        self._missing_end = max(self._missing_end, page.earliest_offset)
        if self._missing_end > self.state.next_offset:
            return self._scan(page)
        if self.health is Health.GAP:
            # A peer's state closed the gap; this page may begin after the
            # offset from which to fold on.
            self._set_health(Health.CURRENT)
            return []
        if self.health is Health.LOG_BEHIND:
            self._set_health(Health.CURRENT)
        return self._fold(page.records)

    def adopt_peer_state(self, record: Any) -> bool:
        """Adopts a peer's state if it covers more of the stream.

        Returns:
            Whether the state was adopted.
        """
        try:
            snapshot = read_snapshot(record)
        except ManifestError:
            self.counts[BAD_PEER_STATE] += 1
            return False
        if snapshot.is_unsupported:
            self._set_health(Health.NEEDS_UPGRADE)
            return False
        if not self._is_ahead(snapshot.state):
            return False
        self.counts[PEER_STATE] += 1
        self.state = snapshot.state
        return True

    def is_snapshot_due(
        self,
        wall_ms: int,
        max_age_ms: float,
        max_records: int,
    ) -> bool:
        """Returns whether a new snapshot has to be written now.

        Args:
            wall_ms: Current time in ms since the epoch.
            max_age_ms: Age of the newest snapshot above which one is due.
            max_records: Records after the newest snapshot above which one is
                due.
        """
        if self.state.version == 0 or self.health is not Health.CURRENT:
            return False
        if self.records_since_snapshot > max_records:
            return True
        since_ms = self.last_snapshot_ms
        return since_ms is not None and wall_ms - since_ms > max_age_ms

    def _is_ahead(self, other: ConfigState) -> bool:
        # Both states are folds of prefixes of the same stream, so the longer
        # prefix has an equal or higher version.  A state with a lower version
        # is faulty and is rejected.
        return (
            other.next_offset > self.state.next_offset
            and other.version >= self.state.version
        )

    def _fold(self, records: Iterable[StoredRecord]) -> list[Folded]:
        folded = []
        for entry in records:
            if entry.offset > self.state.next_offset:
                self._missing_end = entry.offset
                self._begin_scan(entry.offset)
                break
            step = fold_record(self.state, entry.offset, entry.record)
            self.state = step.state
            self._count_record(entry, step.verdict)
            folded.append(
                Folded(entry.offset, step.verdict.value, step.state.version),
            )
            if step.verdict is Verdict.NEWER_RULES:
                self._set_health(Health.NEEDS_UPGRADE)
                break
        return folded

    def _set_health(self, health: Health) -> None:
        if health is not self.health:
            self.health = health
            self.counts[health.value] += 1

    def _begin_scan(self, offset: int) -> None:
        self._set_health(Health.GAP)
        self._scan_offset = offset

    def _count_record(self, entry: StoredRecord, verdict: Verdict) -> None:
        self.counts[verdict.value] += 1
        self.records_since_snapshot += 1
        if self.last_snapshot_ms is None or verdict is Verdict.SNAPSHOT:
            self.last_snapshot_ms = entry.appended_ms
        if verdict is Verdict.SNAPSHOT:
            self.records_since_snapshot = 0

    def _scan(self, page: Page) -> list[Folded]:
        """Looks for a snapshot that closes the gap.

        All records after those that it covers must still be in the stream.
        """
        if self.health is not Health.GAP:
            self._begin_scan(page.earliest_offset)
        scanned = []
        for entry in page.records:
            verdict = self._try_snapshot(entry)
            self._scan_offset = entry.offset + 1
            if verdict is not None:
                self.counts[verdict] += 1
                scanned.append(
                    Folded(entry.offset, verdict, self.state.version),
                )
            if self.health is not Health.GAP:
                break
        return scanned

    def _try_snapshot(self, entry: StoredRecord) -> str | None:
        record = entry.record
        if not isinstance(record, dict) or record.get('kind') != 'snapshot':
            return None
        try:
            snapshot = read_snapshot(record)
        except ManifestError:
            return BAD_SNAPSHOT
        if snapshot.is_unsupported:
            self._set_health(Health.NEEDS_UPGRADE)
            return Verdict.NEWER_RULES.value
        covered_end = snapshot.state.next_offset
        is_closing = self._missing_end <= covered_end <= entry.offset
        if not is_closing or not self._is_ahead(snapshot.state):
            return STALE_SNAPSHOT
        self.state = snapshot.state
        self._set_health(Health.CURRENT)
        return Verdict.SNAPSHOT.value
