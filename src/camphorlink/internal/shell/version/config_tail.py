"""Tails the configuration stream and reports each version that is accepted."""

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
    """Keeps the state of the configuration stream up to date."""

    def __init__(
        self,
        log_client: LogClient,
        on_accepted: OnAccepted,
        log: PartLog,
        on_folded: OnFolded | None = None,
    ) -> None:
        """Starts from an empty state; ``run`` does the work.

        Args:
            log_client: Reads the stream.
            on_accepted: Gets each state with a higher version.
            log: Log of this part.
            on_folded: Gets the verdict on each record.
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
        """What the stream amounts to, as far as it is known here."""
        return self.fold.state

    def describe(self) -> dict[str, Any]:
        """Tells operators how the state here stands to the stream."""
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
        """Tails the stream until cancelled."""
        while True:
            try:
                await self._read_page()
            except LogServiceError as exc:
                self._record_log_state(is_unavailable=True, why=str(exc))
                await asyncio.sleep(RETRY_DELAY_S)

    def adopt_peer_state(self, record: Any) -> None:
        """Takes a state that a peer gave, if it is ahead of this one."""
        version = self.state.version
        if self.fold.adopt_peer_state(record):
            self._log.info(
                'took the state of a peer',
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
        before = (self.state.version, self.fold.health, self.fold.read_from)
        folded = self.fold.fold_page(page)
        for entry in folded:
            self._log.info('folded a record', extra=entry._asdict())
            if self._on_folded is not None:
                self._on_folded(entry)
        if self.fold.health is not before[1]:
            self._log.warning(
                'standing to the stream changed',
                extra={'health': self.fold.health.value},
            )
        self._report(before[0])
        return self.fold.read_from != before[2]

    def _report(self, version_before: int) -> None:
        if self.state.version > version_before:
            self.in_force_since_s = time.time()
            self._on_accepted(self.state)

    def _record_log_state(self, *, is_unavailable: bool, why: str = '') -> None:
        if is_unavailable == self.is_log_unavailable:
            return
        self.is_log_unavailable = is_unavailable
        if is_unavailable:
            self._log.warning('the log service is away', extra={'why': why})
        else:
            self._log.info('the log service answers again')
