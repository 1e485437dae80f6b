"""Follows the configuration stream and reports each accepted version."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from camphorlink.errors import LogServiceError
from camphorlink.internal.core.connection.log_records import Page
from camphorlink.internal.core.version.acceptance import (
    KNOWN_RULESET,
    ConfigState,
)
from camphorlink.internal.core.version.config_fold import (
    ConfigFold,
    Folded,
    Health,
)
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.logs import PartLog

CONFIG_STREAM = 'config'
LONG_POLL_S = 10.0
RETRY_DELAY_S = 0.5

OnAccepted = Callable[[ConfigState], None]
OnFolded = Callable[[Folded], None]


class ConfigTail:
    """Follows the configuration stream and folds it into the current state.

    Attributes:
        fold: Fold of the records read so far.
        is_log_unavailable: Whether the last read of the log failed.
        in_force_since_s: Wall-clock time when the current version came into
            force here, in seconds since the epoch.
    """

    def __init__(
        self,
        log_client: LogClient,
        on_accepted: OnAccepted,
        log: PartLog,
        on_folded: OnFolded | None = None,
    ) -> None:
        """Creates a tail with an empty state; ``run`` follows the stream.

        Args:
            log_client: Client of the log service.
            on_accepted: Called with each state that has a higher version.
            log: Log of this part.
            on_folded: Called with the verdict on each record.
        """
        self.fold = ConfigFold()
        self.is_log_unavailable = False
        self.in_force_since_s = time.time()
        self._log_client = log_client
        self._on_accepted = on_accepted
        self._on_folded = on_folded
        self._log = log

    @property
    def state(self) -> ConfigState:
        """Configuration state after the records read so far."""
        return self.fold.state

    def describe(self) -> dict[str, Any]:
        """Returns the progress and health of the tail, for operators."""
        return {
            'next_offset': self.state.next_offset,
            'health': self.fold.health.value,
            'log_away': self.is_log_unavailable,
            'in_force_since': self.in_force_since_s,
            'ruleset': self.state.ruleset,
            'known_ruleset': KNOWN_RULESET,
            'records': dict(self.fold.counts),
        }

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        while True:
            try:
                await self._read_page()
            except LogServiceError as exc:
                self._record_log_state(is_unavailable=True, why=str(exc))
                await asyncio.sleep(RETRY_DELAY_S)

    def adopt_peer_state(self, record: Any) -> None:
        """Adopts the state of a peer if it is newer than the current one."""
        version = self.state.version
        if self.fold.adopt_peer_state(record):
            self._log.info(
                'adopted the state of a peer',
                extra={'version': self.state.version},
            )
        self._report(version)

    async def _read_page(self) -> None:
        page = await self._log_client.read(
            CONFIG_STREAM,
            self.fold.read_from,
            LONG_POLL_S,
        )
        self._record_log_state(is_unavailable=False)
        is_progress = self._fold_page(page)
        if self.fold.health is not Health.CURRENT and not is_progress:
            await asyncio.sleep(RETRY_DELAY_S)

    def _fold_page(self, page: Page) -> bool:
        previous = (self.state.version, self.fold.health, self.fold.read_from)
        folded = self.fold.fold_page(page)
        for entry in folded:
            self._log.info('folded a record', extra=entry._asdict())
            if self._on_folded is not None:
                self._on_folded(entry)
        if self.fold.health is not previous[1]:
            self._log.warning(
                'health of the configuration stream changed',
                extra={'health': self.fold.health.value},
            )
        self._report(previous[0])
        return self.fold.read_from != previous[2]

    def _report(self, version_before: int) -> None:
        if self.state.version > version_before:
            self.in_force_since_s = time.time()
            self._on_accepted(self.state)

    def _record_log_state(self, *, is_unavailable: bool, why: str = '') -> None:
        if is_unavailable == self.is_log_unavailable:
            return
        self.is_log_unavailable = is_unavailable
        if is_unavailable:
            self._log.warning(
                'the log service is unavailable', extra={'why': why}
            )
        else:
            self._log.info('the log service is available again')
