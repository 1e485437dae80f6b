"""Finds back ends whose address a newer back end has taken over.

It answers a back end that starts again under another identifier: its former
entry may stay in the list for seconds, and its runs would count as active until
their lease lapses.
"""

from collections.abc import Iterable, Mapping

from camphorlink.internal.core.connection.backend_commands import ListedBackend


def newest_by_address(
    listed: Iterable[ListedBackend],
) -> dict[str, ListedBackend]:
    """Returns the entry with the latest start time at each address."""
    newest: dict[str, ListedBackend] = {}
    for backend in listed:
        known = newest.get(backend.address)
        if known is None or known.started_ms < backend.started_ms:
            newest[backend.address] = backend
    return newest


def is_superseded(
    backend: ListedBackend, newest: Mapping[str, ListedBackend]
) -> bool:
    """Returns whether a later back end with another identifier has its address.

    The process behind ``backend`` has then ended.

    Args:
        backend: Entry of the back end.
        newest: Latest entry at each address.
    """
    other = newest.get(backend.address)
    return (
        other is not None
        and other.backend_id != backend.backend_id
        and other.started_ms > backend.started_ms
    )
