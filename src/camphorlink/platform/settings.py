"""Reads the settings file that the platform writes for a process."""

from pathlib import Path
from typing import Any, NamedTuple

import orjson

from camphorlink.errors import Fault, SettingsError
from camphorlink.internal.shell.connection.mesh import Address
from camphorlink.internal.shell.process.peers import NodeSettings


class PlatformSettings(NamedTuple):
    """Checked settings of an entry VM.

    Attributes:
        node: Name, zone and mesh address of the VM.
        callers: Address that serves callers.
        readiness: Address that serves the load balancer's readiness check.
        operators: Address that serves operators and the package's own job
            interface.
        store_address: IP address and port of the platform's store.
        grace_s: Time between SIGTERM and the forced kill, in seconds.
    """

    node: NodeSettings
    callers: Address
    readiness: Address
    operators: Address
    store_address: str
    grace_s: float


def read_settings(path: Path) -> PlatformSettings:
    """Reads and checks a settings file; unknown keys are ignored.

    Raises:
        SettingsError: The file is unreadable or invalid; the error holds the
            first fault.
    """
    try:
        document = orjson.loads(path.read_bytes())
    except (OSError, orjson.JSONDecodeError) as exc:
        fault = Fault('$', str(path), f'name a readable JSON file; {exc}')
        raise SettingsError([fault]) from exc
    return check_settings(document)


def check_settings(document: Any) -> PlatformSettings:
    """Checks decoded settings.

    Raises:
        SettingsError: The settings are invalid; the error holds the first
            fault.
    """
    try:
        listen = document['listen_addrs']
        ports = document['internal_ports']
        return PlatformSettings(
            node=NodeSettings(
                name=str(document['node_name']),
                zone=str(document['zone']),
                zones=tuple(sorted(document['zones'])),
                mesh=Address(str(document['ip']), int(ports[0])),
                cores=_read_cores(document.get('limits', {})),
            ),
            callers=_parse_address(listen['frontend_addr']),
            readiness=_parse_address(listen['readiness_addr']),
            operators=Address(
                str(document['ip']),
                int(ports[0]) and int(ports[0]) + 1,
            ),
            store_address=str(document['platform']['address']),
            grace_s=float(document['bounds']['grace_s']),
        )
    except (LookupError, TypeError, ValueError) as exc:
        fault = Fault(
            '$', repr(exc), 'write the settings as the platform documents them'
        )
        raise SettingsError([fault]) from exc


def _read_cores(limits: dict[str, Any]) -> float:
    share = float(limits.get('cpu_share', 1))
    return share * float(limits.get('cores', 1))


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(':')
    return Address(ip, int(port))
