"""Client of the platform's log service: append records, read from offsets."""

from http import HTTPStatus
from typing import Any, NamedTuple

import aiohttp
import orjson

from camphorlink.errors import AppendUncertainError, LogServiceError
from camphorlink.internal.core.connection.log_records import Page, StoredRecord
from camphorlink.internal.shell.connection.http_owner import HttpOwner

REQUEST_TIMEOUT_S = 5.0
MS_PER_S = 1000

#: A service, or a gateway before it, may say so after the write took effect.
_UNCERTAIN_STATUSES = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)


class PlatformVm(NamedTuple):
    """An entry VM on the platform's list.

    Attributes:
        zone: Its availability zone.
        vm: Its name.
        peers: IP number and port for messages of other entry VMs.
        operators: IP number and port of its operators' interface.
        is_leaving: Whether the platform is about to take it away.
    """

    zone: str
    vm: str
    peers: str
    operators: str
    is_leaving: bool


class LogClient(HttpOwner):
    """Appends to streams and reads them, over HTTP."""

    timeout_s = REQUEST_TIMEOUT_S

    def __init__(self, base_url: str) -> None:
        """Names the service, such as ``http://127.0.0.1:9300``."""
        self._base_url = base_url

    async def append(self, stream: str, records: list[Any]) -> int:
        """Appends records next to each other.

        Returns:
            Offset of the first one.

        Raises:
            AppendUncertainError: They may or may not have been appended.
            LogServiceError: They were certainly not appended.
        """
        url = f'{self._base_url}/v1/streams/{stream}/records'
        body = orjson.dumps({'records': records})
        try:
            async with self._session.post(url, data=body) as response:
                status, answer = response.status, await response.read()
        except aiohttp.ClientConnectorError as exc:
            raise LogServiceError(f'log service out of reach: {exc}') from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise AppendUncertainError(f'append unanswered: {exc}') from exc
        if status in _UNCERTAIN_STATUSES:
            raise AppendUncertainError(f'append ended with status {status}')
        if status != HTTPStatus.OK:
            raise LogServiceError(f'append refused with status {status}')
        return int(orjson.loads(answer)['first_offset'])

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float = 0.0,
    ) -> Page:
        """Reads records from an offset on, waiting for the first one.

        Args:
            stream: Name of the stream.
            from_offset: First offset of interest.
            wait_s: Longest time to wait for a record, in seconds.

        Raises:
            LogServiceError: The service gave no usable answer.
        """
        url = f'{self._base_url}/v1/streams/{stream}/records'
        query = {
            'from': str(from_offset),
            'wait_ms': str(int(wait_s * MS_PER_S)),
        }
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S + wait_s)
        try:
            return await self._get_page(url, query, timeout)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise LogServiceError(f'log service out of reach: {exc}') from exc
        except (KeyError, TypeError, ValueError) as exc:
            raise LogServiceError(f'unreadable answer: {exc}') from exc

    async def list_vms(self) -> tuple[PlatformVm, ...]:
        """Reads the platform's list of entry VMs, which lags.

        Raises:
            LogServiceError: The platform gave no usable answer.
        """
        url = f'{self._base_url}/v1/vms'
        try:
            async with self._session.get(url) as response:
                response.raise_for_status()
                answer = orjson.loads(await response.read())
            return tuple(_parse_vm(entry) for entry in answer['vms'])
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise LogServiceError(f'platform out of reach: {exc}') from exc
        except (KeyError, TypeError, ValueError) as exc:
            raise LogServiceError(f'unreadable answer: {exc}') from exc

    async def _get_page(
        self,
        url: str,
        query: dict[str, str],
        timeout: aiohttp.ClientTimeout,
    ) -> Page:
        request = self._session.get(url, params=query, timeout=timeout)
        async with request as response:
            response.raise_for_status()
            answer = orjson.loads(await response.read())
        return Page(
            records=tuple(
                StoredRecord(
                    entry['offset'],
                    entry['appended_ms'],
                    entry['record'],
                )
                for entry in answer['records']
            ),
            earliest_offset=answer['earliest_offset'],
            next_offset=answer['next_offset'],
        )


def _parse_vm(entry: dict[str, Any]) -> PlatformVm:
    return PlatformVm(
        zone=str(entry['zone']),
        vm=str(entry['vm']),
        peers=str(entry['peers']),
        operators=str(entry.get('operators', '')),
        is_leaving=entry.get('state') == 'leaving',
    )
