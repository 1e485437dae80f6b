"""First claims of one stream, from a known position on."""

from typing import NamedTuple

from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    Claim,
    StoredClaim,
    decode_claim,
)
from camphorlink.internal.core.request.home_table import MAX_CLOCK_SKEW_S
from camphorlink.internal.core.request.identifiers import MS_PER_S

#: The log service keeps claims for this long at the least, in seconds.
RETENTION_S = 3600.0


class _FirstClaim(NamedTuple):
    submission_id: str
    appended_ms: int
    horizon_ms: int


class ClaimIndex:
    """Who claimed each key first, as far as the stream was read.

    Records below the horizon are gone, from the log service or from this
    memory.  A key that may be older than the horizon may have been claimed
    there, so it can't be claimed any more.
    """

    def __init__(self) -> None:
        """Starts with nothing read."""
        self.next_offset: int | None = None
        self.horizon_ms = 0
        self._first_by_key: dict[CallerKey, _FirstClaim] = {}

    def __len__(self) -> int:
        return len(self._first_by_key)

    def winner(self, key: CallerKey) -> str | None:
        """Returns the first claim of a key that was read, right or not."""
        first = self._first_by_key.get(key)
        return None if first is None else first.submission_id

    def is_expired(self, key: CallerKey, issued_ms: int) -> bool:
        """Whether a claim of the key may be older than all that was read.

        What counts is the horizon at the time when the key's first known
        claim was read, for an earlier one may lie below it.

        Args:
            key: A caller's key.
            issued_ms: Time when the caller first used it, epoch ms.
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
        """Takes in records that were read from ``next_offset`` on.

        Args:
            records: In the order of their offsets.
            earliest_offset: First offset that the log service still keeps.
            wall_s: Wall-clock time, in seconds since the epoch.
        """
        position = self.next_offset or 0
        if earliest_offset > position:
            # Some were never read: they may have claimed older keys.
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
        """Takes in own records that follow what was read so far."""
        for claim in claims:
            self._record_first(claim, int(wall_s * MS_PER_S))
        self.next_offset = first_offset + len(claims)

    def shrink(self, max_keys: int) -> None:
        """Forgets the oldest claims; the horizon rises above them."""
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
