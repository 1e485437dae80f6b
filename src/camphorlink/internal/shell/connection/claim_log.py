"""Reads and appends claims of callers' keys on request of the core."""

from camphorlink.errors import AppendUncertainError, LogServiceError
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.claim_records import StoredClaim
from camphorlink.internal.shell.connection.log_client import LogClient


class ClaimLog:
    """Executes the reads and appends that the core requests, each once."""

    def __init__(self, log_client: LogClient) -> None:
        """Creates a claim log on a client of the log service."""
        self._log_client = log_client

    async def execute(
        self,
        effect: messages.AppendClaims | messages.ReadClaims,
    ) -> messages.ClaimEvent:
        """Executes one append or one read and returns its outcome."""
        if isinstance(effect, messages.ReadClaims):
            return await self._read(effect)
        return await self._append(effect)

    async def _append(
        self,
        effect: messages.AppendClaims,
    ) -> messages.ClaimsAppended | messages.ClaimsNotAppended:
        stream = effect.stream
        try:
            first_offset = await self._log_client.append(
                stream,
                list(effect.records),
            )
        except AppendUncertainError:
            return messages.ClaimsNotAppended(stream, is_uncertain=True)
        except LogServiceError:
            return messages.ClaimsNotAppended(stream, is_uncertain=False)
        return messages.ClaimsAppended(stream, effect.batch, first_offset)

    async def _read(
        self,
        effect: messages.ReadClaims,
    ) -> messages.ClaimsRead | messages.ClaimsNotRead:
        try:
            page = await self._log_client.read(
                effect.stream,
                effect.from_offset,
            )
        except LogServiceError:
            return messages.ClaimsNotRead(effect.stream)
        return messages.ClaimsRead(
            effect.stream,
            tuple(StoredClaim(*stored) for stored in page.records),
            page.earliest_offset,
            page.next_offset,
        )
