"""Client that appends records to the log service and reads them by offset."""

from http import HTTPStatus
from typing import Any, NamedTuple

import aiohttp
import orjson

from camphorlink.errors import AppendUncertainError, LogServiceError
from camphorlink.internal.core.connection.log_records import Page, StoredRecord
from camphorlink.internal.shell.connection.http_owner import HttpOwner

REQUEST_TIMEOUT_S = 5.0
MS_PER_S = 1000

#: Statuses that the service, or a gateway in front of it, may return after the
#: write took effect.
_UNCERTAIN_STATUSES = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)


class PlatformVm(NamedTuple):
    """Entry VM in the platform's list of VMs.

    Attributes:
        zone: Its availability zone.
        vm: Its name.
        peers: IP number and port at which it listens for peers.
        operators: IP number and port of its operators' interface.
        is_leaving: Whether the platform is about to remove it.
    """

    zone: str
    vm: str
    peers: str
    operators: str
    is_leaving: bool


class LogClient(HttpOwner):
    """Appends records to streams and reads them over HTTP."""

    timeout_s = REQUEST_TIMEOUT_S

    def __init__(self, base_url: str) -> None:
        """Creates a client for a URL such as ``http://127.0.0.1:9300``."""
        self._base_url = base_url

    async def append(self, stream: str, records: list[Any]) -> int:
        """Appends records at consecutive offsets.

        Returns:
            Offset of the first record.

        Raises:
            AppendUncertainError: The records may have been appended.
            LogServiceError: The records were not appended.
        """
        url = f'{self._base_url}/v1/streams/{stream}/records'
        body = orjson.dumps({'records': records})
        try:
            async with self._session.post(url, data=body) as response:
                status, answer = response.status, await response.read()
        except aiohttp.ClientConnectorError as exc:
            raise LogServiceError(f'log service is unreachable: {exc}') from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise AppendUncertainError(
                f'no answer to the append: {exc}'
            ) from exc
        if status in _UNCERTAIN_STATUSES:
            raise AppendUncertainError(f'append failed with status {status}')
        if status != HTTPStatus.OK:
            raise LogServiceError(
                f'log service refused the append with status {status}'
            )
        return int(orjson.loads(answer)['first_offset'])

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float = 0.0,
    ) -> Page:
        """Reads records from an offset on; waits if there are none yet.

        Args:
            stream: Name of the stream.
            from_offset: First offset to read.
            wait_s: Longest time to wait for a record, in seconds.

        Raises:
            LogServiceError: The service returned no valid answer.
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
            raise LogServiceError(f'log service is unreachable: {exc}') from exc
        except (KeyError, TypeError, ValueError) as exc:
            raise LogServiceError(f'invalid answer: {exc}') from exc

    async def list_vms(self) -> tuple[PlatformVm, ...]:
        """Reads the platform's list of entry VMs, which may be out of date.

        Raises:
            LogServiceError: The platform returned no valid answer.
        """
        url = f'{self._base_url}/v1/vms'
        try:
            async with self._session.get(url) as response:
                response.raise_for_status()
                answer = orjson.loads(await response.read())
            return tuple(_parse_vm(entry) for entry in answer['vms'])
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise LogServiceError(f'platform is unreachable: {exc}') from exc
        except (KeyError, TypeError, ValueError) as exc:
            raise LogServiceError(f'invalid answer: {exc}') from exc

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
