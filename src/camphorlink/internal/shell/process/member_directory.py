"""Registers this VM in the store and follows the list of all entry VMs."""

import asyncio
import math
from collections.abc import Callable
from typing import Any, NamedTuple, Self

import cbor2

from camphorlink.internal.core.process.cell_ownership import ListedMember
from camphorlink.internal.shell.connection.mesh import Address, Mesh
from camphorlink.internal.shell.ports import KeyedRecord, LogPort
from camphorlink.internal.shell.process.background import keep_running
from camphorlink.internal.shell.process.logs import PartLog, describe_error
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.store_errors import StoreError

MEMBERS_TOPIC = 'keyed.camphorlink-members'
#: Longest time that one read of the members waits for a change, in seconds.
MEMBERS_WAIT_S = 5.0
#: Pause after a change before the members are read, in seconds.  When all VMs
#: start together, one read covers many registrations.
CHANGES_PAUSE_S = 0.2
STORE_TIMEOUT_S = 1.5
MAX_PORT = 65_535
STORE_RETRY_DELAY_S = 0.3
#: Timeout of the withdrawal of a stopping VM, in seconds: its grace period is
#: short.
WITHDRAW_TIMEOUT_S = 0.4


class DirectoryEntry(NamedTuple):
    """Entry of one VM.

    Attributes:
        listed: Process, zone and size of the VM.
        address: Address at which it listens for its peers.
    """

    listed: ListedMember
    address: Address


EntriesByMember = dict[str, DirectoryEntry]


class MemberDirectory(StackOwner):
    """Addresses of all entry VMs, as registered in the store.

    Attributes:
        listed: Process, zone and size of each other VM.
    """

    def __init__(
        self,
        vm_name: str,
        own: ListedMember,
        mesh: Mesh,
        store: LogPort,
        on_change: Callable[[EntriesByMember], None],
    ) -> None:
        """Creates an empty directory; it is read once the context is entered.

        Args:
            vm_name: Name of this VM, under which it registers.
            own: Process, zone and size of this VM.
            mesh: Listens for peers at the address that is registered.
            store: The store.
            on_change: Called with the entries after each read.
        """
        super().__init__()
        self.listed: list[ListedMember] = []
        self._vm_name = vm_name
        self._own = own
        self._mesh = mesh
        self._store = store
        self._on_change = on_change
        self._log = PartLog('members')

    async def __aenter__(self) -> Self:
        """Starts to register and to read the list of members."""
        follow = asyncio.get_running_loop().create_task(
            keep_running(self._follow, STORE_RETRY_DELAY_S, self._log)
        )
        self._stack.callback(follow.cancel)
        return self

    async def withdraw(self) -> None:
        """Removes this VM from the list of members if the store accepts it."""
        try:
            await self._store.append(
                MEMBERS_TOPIC,
                [self._store.encode_keyed(self._vm_name, b'')],
                WITHDRAW_TIMEOUT_S,
            )
        except StoreError as exc:
            self._log.info(
                'could not be removed from the list of members',
                extra={'error': str(exc)},
            )

    async def _follow(self) -> None:
        while True:
            try:
                await self._register()
                await self._read_changes()
            except StoreError as exc:
                self._log.info(
                    'registering or reading the members failed',
                    extra={'error': str(exc)},
                )
                await asyncio.sleep(STORE_RETRY_DELAY_S)

    async def _register(self) -> None:
        member, zone, cores = self._own
        address = self._mesh.address
        encoded = cbor2.dumps([member, address.ip, address.port, zone, cores])
        await self._store.append(
            MEMBERS_TOPIC,
            [self._store.encode_keyed(self._vm_name, encoded)],
            STORE_TIMEOUT_S,
        )

    async def _read_changes(self) -> None:
        while True:
            items, offset = await self._store.read_newest(
                MEMBERS_TOPIC,
                STORE_TIMEOUT_S,
            )
            entries = list(filter(None, map(self._decode, items)))
            self.listed = [entry.listed for entry in entries]
            self._on_change({entry.listed.member: entry for entry in entries})
            page = None
            while page is None or not page.records:
                page = await self._store.read(
                    MEMBERS_TOPIC,
                    offset,
                    STORE_TIMEOUT_S + MEMBERS_WAIT_S,
                    MEMBERS_WAIT_S,
                )
            await asyncio.sleep(CHANGES_PAUSE_S)

    def _decode(self, entry: KeyedRecord) -> DirectoryEntry | None:
        if entry.key == self._vm_name or not entry.content:
            return None
        try:
            return _read_entry(*cbor2.loads(entry.content))
        except Exception as exc:
            # An odd entry must not keep the others from being read.
            self._log.warning(
                'invalid member entry skipped',
                extra={'error': describe_error(exc)},
            )
            return None


def _read_entry(
    member: Any, ip: Any, port: Any, zone: Any, cores: Any
) -> DirectoryEntry:
    if not all(isinstance(text, str) for text in (member, ip, zone)):
        raise TypeError('member, address and zone must be strings')
    if not isinstance(port, int) or not 0 < port <= MAX_PORT:
        raise ValueError('the port is out of range')
    size = float(cores)
    if not math.isfinite(size):
        raise ValueError('the number of cores is out of range')
    return DirectoryEntry(ListedMember(member, zone, size), Address(ip, port))
