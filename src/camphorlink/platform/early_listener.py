"""Binds the callers' address before the rest of a node is loaded.

Loading the libraries takes most of the time of a start.  Callers that connect
meanwhile, after a loss of all VMs, wait in the queue of the socket instead of
finding nobody listening.  Nothing is accepted before the node can answer, and the
readiness check is bound by the node itself.
"""

import json
import os
import socket
from pathlib import Path

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'CAMPHORLINK_SETTINGS'
#: Connections that may wait to be accepted.
BACKLOG = 512
#: Errors of reading unusable settings, and of an address that cannot be bound.
_LISTEN_ERRORS = (
    OSError,
    LookupError,
    OverflowError,
    TypeError,
    ValueError,
)


def settings_path() -> Path:
    """Returns the path of the settings file of this process."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ''))


def listen_for_callers() -> socket.socket | None:
    """Returns a listening socket for callers.

    It is ``None`` if the settings are unusable or the address cannot be bound;
    the node then reports the fault when it reads the settings or binds.
    """
    try:
        document = json.loads(settings_path().read_bytes())
        address = str(document['listen_addrs']['frontend_addr'])
        ip, port = address.split(':')
        return _listen(ip, int(port))
    except _LISTEN_ERRORS:
        return None


def _listen(ip: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)  # noqa: WPS425
    return listener
