"""Index of the first claim of each key in one claims stream."""

from typing import NamedTuple

from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    Claim,
    StoredClaim,
    decode_claim,
)
from camphorlink.internal.core.request.home_table import MAX_CLOCK_SKEW_S
from camphorlink.internal.core.request.identifiers import MS_PER_S

#: Minimum time for which the log service retains claims.
RETENTION_S = 3600.0


class _FirstClaim(NamedTuple):
    submission_id: str
    appended_ms: int
    horizon_ms: int


class ClaimIndex:
    """Maps each key to its first claim in the part of a stream read so far.

    Claims appended before the horizon are missing, because the log service
    trimmed them or this index evicted them.  A key that may be older than the
    horizon may have been claimed there, so it can no longer be claimed.
    """

    def __init__(self) -> None:
        """Creates an empty index before the first read."""
        self.next_offset: int | None = None
        self.horizon_ms = 0
        self._first_by_key: dict[CallerKey, _FirstClaim] = {}

    def __len__(self) -> int:
        return len(self._first_by_key)

    def winner(self, key: CallerKey) -> str | None:
        """Returns the identifier of the first claim of a key that was read.

        An earlier claim may lie below the horizon; see ``is_expired``.
        """
        first = self._first_by_key.get(key)
        return None if first is None else first.submission_id

    def is_expired(self, key: CallerKey, issued_ms: int) -> bool:
        """Returns whether the key may have a claim older than the horizon.

        A key with a known claim is compared with the horizon at the time when
        that claim was read, because an earlier claim may lie below it.

        Args:
            key: A caller's key.
            issued_ms: Time when the caller first used the key, epoch ms.
        """
        first = self._first_by_key.get(key)
        horizon_ms = self.horizon_ms if first is None else first.horizon_ms
        if not horizon_ms:
            return False
        return issued_ms < horizon_ms + MAX_CLOCK_SKEW_S * MS_PER_S

    def fold_page(
        self,
        records: tuple[StoredClaim, ...],
        earliest_offset: int,
        wall_s: float,
    ) -> None:
        """Adds records that were read from ``next_offset`` on.

        Args:
            records: The records, in the order of their offsets.
            earliest_offset: First offset that the log service retains.
            wall_s: Wall-clock time, in seconds since the epoch.
        """
        position = self.next_offset or 0
        if earliest_offset > position:
            # Records were trimmed unread and may have claimed older keys.
            self._raise_horizon_over_gap(records, wall_s)
            position = earliest_offset
        for stored in records:
            if stored.offset >= position:
                claim = decode_claim(stored.record)
                self._record_first(claim, stored.appended_ms)
                position = stored.offset + 1
        self.next_offset = position

    def fold_own(
        self,
        claims: list[Claim],
        first_offset: int,
        wall_s: float,
    ) -> None:
        """Adds claims appended by this process right after the last read.

        Args:
            claims: The appended claims, in order.
            first_offset: Offset of the first of them.
            wall_s: Wall-clock time, in seconds since the epoch.
        """
        for claim in claims:
            self._record_first(claim, int(wall_s * MS_PER_S))
        self.next_offset = first_offset + len(claims)

    def shrink(self, max_keys: int) -> None:
        """Evicts the oldest claims and raises the horizon to their time."""
        while len(self._first_by_key) > max_keys:
            key = next(iter(self._first_by_key))
            first = self._first_by_key.pop(key)
            self._raise_horizon(first.appended_ms)

    def _record_first(self, claim: Claim | None, appended_ms: int) -> None:
        if claim is not None and claim.key not in self._first_by_key:
            self._first_by_key[claim.key] = _FirstClaim(
                claim.submission_id,
                appended_ms,
                self.horizon_ms,
            )

    def _raise_horizon_over_gap(
        self,
        records: tuple[StoredClaim, ...],
        wall_s: float,
    ) -> None:
        if records:
            self._raise_horizon(records[0].appended_ms)
        else:
            self._raise_horizon(int((wall_s - RETENTION_S) * MS_PER_S))

    def _raise_horizon(self, horizon_ms: int) -> None:
        self.horizon_ms = max(self.horizon_ms, horizon_ms)
