"""Client of the operators' interface of entry VMs."""

import asyncio
from typing import Any, NamedTuple

import aiohttp
import orjson

from camphorlink.errors import CamphorlinkError
from camphorlink.internal.shell.connection.http_owner import HttpOwner

ANSWER_TIMEOUT_S = 5.0


class VmUnreachableError(CamphorlinkError):
    """An entry VM did not answer its operators."""


class VmAddress(NamedTuple):
    """Where an entry VM answers its operators.

    Attributes:
        name: Zone and VM, or the address when no more is known.
        operators: IP number and port.
    """

    name: str
    operators: str


class VmAnswer(NamedTuple):
    """What one VM answered.

    Attributes:
        vm: The VM that was asked.
        document: The decoded answer, or ``None``.
        fault: Why there is none, or empty.
    """

    vm: VmAddress
    document: Any
    fault: str = ''


class VmClient(HttpOwner):
    """Asks entry VMs, one or all at once."""

    timeout_s = ANSWER_TIMEOUT_S

    async def send_request(
        self, vm: VmAddress, path: str, method: str = 'GET'
    ) -> Any:
        """Asks one VM.

        Raises:
            VmUnreachableError: It gave no usable answer.
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
        """Asks all VMs at once; who gives no answer is part of the result."""
        return list(
            await asyncio.gather(*(self._try_request(vm, path) for vm in vms)),
        )

    async def _try_request(self, vm: VmAddress, path: str) -> VmAnswer:
        try:
            return VmAnswer(vm, await self.send_request(vm, path))
        except VmUnreachableError as exc:
            return VmAnswer(vm, None, str(exc))
