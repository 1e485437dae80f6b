"""Tails the configuration stream and reports each version that is accepted."""

import asyncio
from collections.abc import Callable

from camphorlink.errors import LogServiceError
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    Verdict,
    fold_record,
)
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.logs import PartLog

CONFIG_STREAM = 'config'
LONG_POLL_S = 10.0
RETRY_DELAY_S = 0.5


class ConfigTail:
    """Keeps the state of the configuration stream up to date."""

    def __init__(
        self,
        log_client: LogClient,
        on_accepted: Callable[[ConfigState], None],
        log: PartLog,
    ) -> None:
        """Starts from an empty state; ``run`` does the work."""
        self.state = ConfigState()
        self._log_client = log_client
        self._on_accepted = on_accepted
        self._log = log

    async def run(self) -> None:
        """Tails the stream until cancelled."""
        while True:
            try:
                await self._read_page()
            except LogServiceError as exc:
                self._log.warning('no read of the stream', extra={'why': exc})
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_page(self) -> None:
        page = await self._log_client.read(
            CONFIG_STREAM,
            self.state.next_offset,
            LONG_POLL_S,
        )
        for stored in page.records:
            step = fold_record(self.state, stored.offset, stored.record)
            self.state = step.state
            self._log.info(
                'folded a record',
                extra={'offset': stored.offset, 'verdict': step.verdict.value},
            )
            if step.verdict is Verdict.ACCEPTED:
                self._on_accepted(self.state)
