"""Proposes and approves manifests, and reads the verdict on each record.

A publisher appends a record and reads the stream back to compute the same
verdict as every VM.  Each record has a unique nonce, so that reading back also
resolves an append whose answer was lost.
"""

import asyncio
import contextlib
import secrets
from typing import Any, NamedTuple

from camphorlink.errors import (
    AppendUncertainError,
    LogServiceError,
    PublishUncertainError,
)
from camphorlink.internal.core.connection.log_records import Page, StoredRecord
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    Verdict,
    approval_record,
    patch_record,
    proposal_record,
)
from camphorlink.internal.core.version.config_fold import ConfigFold, Folded
from camphorlink.internal.core.version.manifest import check_manifest
from camphorlink.internal.core.version.snapshots import snapshot_record
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.version.config_tail import CONFIG_STREAM

NONCE_BYTES = 12
READ_BACK_TIMEOUT_S = 15.0
READ_BACK_DELAY_S = 0.25


class HistoryEntry(NamedTuple):
    """One record of the configuration stream and the verdict on it.

    Attributes:
        offset: Offset of the record in the stream.
        at_ms: Time of its append, in ms since the epoch.
        kind: Kind of the record.
        verdict: Verdict that every VM computes for it.
        version: Version in force after the record.
        base_version: Version that the record is based on, or ``None``.
        digest: Digest of the manifest that it refers to, or empty.
        author: Author of the record, or empty.
        nonce: Random text that identifies the record, or empty.
    """

    offset: int
    at_ms: int
    kind: str
    verdict: str
    version: int
    base_version: int | None
    digest: str
    author: str
    nonce: str


class History(NamedTuple):
    """The configuration stream, read to its end.

    Attributes:
        state: Configuration state after the last record.
        health: Health of the fold, a value of ``Health``.
        entries: Records of the stream, oldest first.
        documents: Manifests as written, by version.
    """

    state: ConfigState
    health: str
    entries: tuple[HistoryEntry, ...]
    documents: dict[int, Any]

    def find(self, nonce: str) -> HistoryEntry | None:
        """Returns the record with a nonce, or ``None``."""
        for entry in self.entries:
            if entry.nonce == nonce:
                return entry
        return None

    def find_acceptance(self, base_version: int) -> HistoryEntry | None:
        """Returns the accepted record that replaced a base version."""
        for entry in self.entries:
            is_accepted = entry.verdict == Verdict.ACCEPTED.value
            if is_accepted and entry.base_version == base_version:
                return entry
        return None


class Publisher:
    """Appends an operator's records to the configuration stream."""

    def __init__(self, log_client: LogClient, author: str) -> None:
        """Creates a publisher whose records name an author."""
        self._log_client = log_client
        self._author = author

    async def read_history(self) -> History:
        """Reads the stream to its end.

        Raises:
            LogServiceError: The log service returned no valid answer.
        """
        fold = ConfigFold()
        reader = _HistoryReader(fold)
        start_offset, end_offset = -1, -1
        while fold.read_from not in {start_offset, end_offset}:
            start_offset = fold.read_from
            page = await self._log_client.read(CONFIG_STREAM, start_offset)
            reader.add_page(page)
            end_offset = page.next_offset
        return reader.history()

    async def propose(self, base_version: int, document: Any) -> History:
        """Appends a proposal and reads the stream back.

        Raises:
            ManifestError: The document is not a valid manifest.
            LogServiceError: Nothing was appended.
            PublishUncertainError: The record may have been appended.
        """
        history = await self.read_history()
        if history.state.version == base_version and base_version > 0:
            record = patch_record(history.state, document)
        else:
            record = proposal_record(base_version, document)
        return await self._append(record)

    async def approve(self, base_version: int, digest: str) -> History:
        """Appends an approval and reads the stream back.

        Raises:
            LogServiceError: Nothing was appended.
            PublishUncertainError: The record may have been appended.
        """
        return await self._append(approval_record(base_version, digest))

    async def restore(self, version: int, document: Any) -> History:
        """Appends a state as a snapshot, to repair a stream with a gap.

        Raises:
            ManifestError: The document is not a valid manifest.
            LogServiceError: Nothing was appended.
            PublishUncertainError: The record may have been appended.
        """
        page = await self._log_client.read(CONFIG_STREAM, 0)
        state = ConfigState(
            version=version,
            manifest=check_manifest(document),
            document=document,
            next_offset=page.next_offset,
        )
        return await self._append(snapshot_record(state))

    async def _append(self, record: dict[str, Any]) -> History:
        nonce = secrets.token_hex(NONCE_BYTES)
        record = {**record, 'author': self._author, 'nonce': nonce}
        with contextlib.suppress(AppendUncertainError):
            await self._log_client.append(CONFIG_STREAM, [record])
        return await self._await_record(nonce)

    async def _await_record(self, nonce: str) -> History:
        """Reads the stream until it contains the record or a timeout ends.

        An append without an answer may take effect late, or never.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READ_BACK_TIMEOUT_S
        while loop.time() < end_s:
            with contextlib.suppress(LogServiceError):
                history = await self.read_history()
                if history.find(nonce) is not None:
                    return history
            await asyncio.sleep(READ_BACK_DELAY_S)
        raise PublishUncertainError(nonce)


class _HistoryReader:
    """Folds pages and collects the entry and manifest of each record."""

    def __init__(self, fold: ConfigFold) -> None:
        self._fold = fold
        self._entries: dict[int, HistoryEntry] = {}
        self._documents: dict[int, Any] = {}

    def add_page(self, page: Page) -> None:
        if not page.records:
            self._fold.fold_page(page)
        for stored in page.records:
            single_record_page = page._replace(records=(stored,))
            for folded in self._fold.fold_page(single_record_page):
                self._entries[folded.offset] = _build_entry(stored, folded)
            state = self._fold.state
            self._documents[state.version] = state.document
            if self._fold.read_from != stored.offset + 1:
                # A gap or a snapshot moves the offset of the next read.
                break

    def history(self) -> History:
        entries = (self._entries[offset] for offset in sorted(self._entries))
        return History(
            self._fold.state,
            self._fold.health.value,
            tuple(entries),
            self._documents,
        )


def _build_entry(stored: StoredRecord, folded: Folded) -> HistoryEntry:
    record = stored.record if isinstance(stored.record, dict) else {}
    base_version = record.get('base_version')
    return HistoryEntry(
        offset=stored.offset,
        at_ms=stored.appended_ms,
        kind=str(record.get('kind', 'unreadable')),
        verdict=folded.verdict,
        version=folded.version,
        base_version=base_version if isinstance(base_version, int) else None,
        digest=str(record.get('digest', '')),
        author=str(record.get('author', '')),
        nonce=str(record.get('nonce', '')),
    )
