"""HTTP client for the operators' interface of entry VMs."""

import asyncio
from typing import Any, NamedTuple

import aiohttp
import orjson

from camphorlink.errors import CamphorlinkError
from camphorlink.internal.shell.connection.http_owner import HttpOwner

ANSWER_TIMEOUT_S = 5.0


class VmUnreachableError(CamphorlinkError):
    """An entry VM gave no usable answer on its operators' interface."""


class VmAddress(NamedTuple):
    """Name and operators' address of an entry VM.

    Attributes:
        name: Zone and VM, or the address if only that is known.
        operators: IP address and port of the operators' interface.
    """

    name: str
    operators: str


class VmAnswer(NamedTuple):
    """Answer of one VM, or the reason why there is none.

    Attributes:
        vm: The VM that the request was sent to.
        document: The decoded answer, or ``None`` if there is none.
        fault: Why there is no answer, or empty.
    """

    vm: VmAddress
    document: Any
    fault: str = ''


class VmClient(HttpOwner):
    """Sends requests to one entry VM, or to several concurrently."""

    timeout_s = ANSWER_TIMEOUT_S

    async def send_request(
        self, vm: VmAddress, path: str, method: str = 'GET'
    ) -> Any:
        """Sends a request to one VM and returns the decoded answer.

        Raises:
            VmUnreachableError: The VM gave no usable answer.
        """
        url = f'http://{vm.operators}{path}'
        try:
            async with self._session.request(method, url) as response:
                return orjson.loads(await response.read())
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            reason = f'{vm.name} at {vm.operators}: {exc!r}'
            raise VmUnreachableError(reason) from exc

    async def send_request_to_all(
        self, vms: list[VmAddress], path: str
    ) -> list[VmAnswer]:
        """Sends a GET request to all VMs concurrently.

        Returns:
            One answer per VM; a VM without an answer has its fault set.
        """
        return list(
            await asyncio.gather(*(self._try_request(vm, path) for vm in vms)),
        )

    async def _try_request(self, vm: VmAddress, path: str) -> VmAnswer:
        try:
            return VmAnswer(vm, await self.send_request(vm, path))
        except VmUnreachableError as exc:
            return VmAnswer(vm, None, str(exc))
