"""JSON schema of the manifest: one typed dictionary for each section.

To add a field, add it to the dictionary here, to the class in ``manifest``,
and, if it refers to another section, to the checks in ``manifest_references``.
Once a rule set is released its schema is frozen; see ``acceptance``.
"""

import functools
import ipaddress
from typing import Annotated, Literal, NotRequired

from pydantic import AfterValidator, ConfigDict, Field
from pydantic_core import PydanticCustomError
from typing_extensions import TypedDict

MAX_PORT = 65_535
MAX_RANK = 9
MAX_CACHED_ADDRESSES = 8192

_STRICT = ConfigDict(extra='forbid', strict=True)


# A version repeats nearly all addresses of the previous one.
@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _check_address(text: str) -> str:
    ip, _colon, port = text.partition(':')
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as exc:
        raise PydanticCustomError('address', _ADDRESS_HELP) from exc
    if not port.isascii() or not port.isdecimal():
        raise PydanticCustomError('address', _ADDRESS_HELP)
    if not 0 < int(port) <= MAX_PORT:
        raise PydanticCustomError('address', _ADDRESS_HELP)
    return text


_ADDRESS_HELP = 'write an IP number and a port, such as 10.20.0.7:9400'
_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,31}$')]
_Address = Annotated[str, Field(max_length=21), AfterValidator(_check_address)]
_Count = Annotated[int, Field(ge=1, le=100_000)]
_Rank = Annotated[int, Field(ge=0, le=MAX_RANK)]


class TaskClassDocument(TypedDict):
    """Task class: tasks of a service with similar run times."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    typical_ms: _Count
    lookup: NotRequired[bool]


class ServiceDocument(TypedDict):
    """A service to which jobs are submitted."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    max_task_ms: NotRequired[_Count]
    max_queued: NotRequired[_Count]
    max_running: NotRequired[_Count]
    max_starts_per_s: NotRequired[_Count]
    idempotent: NotRequired[bool]
    task_lookup: NotRequired[bool]
    needs: NotRequired[list[_Name]]
    task_classes: NotRequired[dict[_Name, TaskClassDocument]]


class BackendDocument(TypedDict):
    """A backend server with its slots and the services it serves."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    address: _Address
    zone: _Name
    slots: _Count
    connections: _Count
    services: list[_Name]
    capabilities: NotRequired[list[_Name]]
    leaving: NotRequired[bool]


class PriorityClassDocument(TypedDict):
    """Priority class that teams can refer to."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    rank: _Rank


class TeamDocument(TypedDict):
    """A team with its quota and its priority."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    max_running: NotRequired[_Count]
    max_starts_per_s: NotRequired[_Count]
    priority: NotRequired[_Rank]
    priority_class: NotRequired[_Name]


class ManifestDocument(TypedDict):
    """The complete manifest with all its sections."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    schema: Literal[1]
    services: dict[_Name, ServiceDocument]
    backends: dict[_Name, BackendDocument]
    teams: dict[_Name, TeamDocument]
    priority_classes: NotRequired[dict[_Name, PriorityClassDocument]]
