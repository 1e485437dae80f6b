"""The manifest: services, backend servers, teams and limits, checked.

The operators' pipeline writes it, their board approves its digest, and the
digest is taken over the canonical form, so that what was approved is what
goes live.
"""

import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Any, Literal, NamedTuple, NotRequired

import orjson
from pydantic import ConfigDict, Field, TypeAdapter
from typing_extensions import TypedDict

from camphorlink.errors import Fault, ManifestError
from camphorlink.internal.core.process.documents import check_shape
from camphorlink.internal.core.version.merge_patch import (
    MAX_DEPTH,
    is_shallow,
)

SCHEMA_VERSION = 1
DEFAULT_MAX_TASK_MS = 10_000
DEFAULT_MAX_QUEUED = 10_000

_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,31}$')]
_Count = Annotated[int, Field(ge=1, le=100_000)]
_STRICT = ConfigDict(extra='forbid', strict=True)


class ServiceDocument(TypedDict):
    """A service as the manifest writes it."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    max_task_ms: NotRequired[_Count]
    max_queued: NotRequired[_Count]
    max_running: NotRequired[_Count]
    max_starts_per_s: NotRequired[_Count]
    idempotent: NotRequired[bool]


class BackendDocument(TypedDict):
    """A backend server as the manifest writes it."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    address: Annotated[str, Field(pattern=r'^[0-9.]+:\d{1,5}$')]
    zone: _Name
    slots: _Count
    connections: _Count
    services: list[_Name]
    leaving: NotRequired[bool]


class TeamDocument(TypedDict):
    """A team as the manifest writes it."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    max_running: NotRequired[_Count]
    max_starts_per_s: NotRequired[_Count]
    priority: NotRequired[Annotated[int, Field(ge=0, le=9)]]


class ManifestDocument(TypedDict):
    """The manifest as it is written and digested."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    schema: Literal[1]
    services: dict[_Name, ServiceDocument]
    backends: dict[_Name, BackendDocument]
    teams: dict[_Name, TeamDocument]


class Service(NamedTuple):
    """A service that teams submit jobs to.

    Attributes:
        name: Key of the service in the manifest.
        max_task_ms: Longest time that one task may take, in ms.
        max_queued: Tasks that may wait at one entry VM.
        idempotent: Whether its tasks may run more than once.
        max_running: Tasks that may run at once over all VMs, or ``None``.
        max_starts_per_s: Starts a second over all VMs, or ``None``.
    """

    name: str
    max_task_ms: int
    max_queued: int
    idempotent: bool
    max_running: int | None = None
    max_starts_per_s: int | None = None


class Backend(NamedTuple):
    """A backend server that runs tasks.

    Attributes:
        name: Key of the backend server in the manifest.
        address: IP number and port.
        zone: Availability zone in which it stands.
        slots: Tasks that it runs at once.
        connections: Connections that it accepts at once.
        services: Names of the services that it serves.
        leaving: Whether it is to get no new work.
    """

    name: str
    address: str
    zone: str
    slots: int
    connections: int
    services: frozenset[str]
    leaving: bool


class Team(NamedTuple):
    """A team with its quota.

    Attributes:
        name: Key of the team in the manifest.
        max_running: Tasks that may run at once over all VMs, or ``None``.
        max_starts_per_s: Starts a second over all VMs, or ``None``.
        priority: Class of priority, 0 first.
    """

    name: str
    max_running: int | None
    max_starts_per_s: int | None
    priority: int


class Manifest(NamedTuple):
    """A checked manifest, ready for use.

    Attributes:
        digest: SHA-256 of the canonical form, hex.
        services_by_name: All services.
        backends_by_name: All backend servers of all zones.
        teams_by_name: All teams.
    """

    digest: str
    services_by_name: Mapping[str, Service]
    backends_by_name: Mapping[str, Backend]
    teams_by_name: Mapping[str, Team]


EMPTY_MANIFEST = Manifest(
    digest='',
    services_by_name=MappingProxyType({}),
    backends_by_name=MappingProxyType({}),
    teams_by_name=MappingProxyType({}),
)

_ADAPTER: TypeAdapter[ManifestDocument] = TypeAdapter(ManifestDocument)


def canonical_bytes(document: Any) -> bytes:
    """Writes a document in the one form that digests are taken over."""
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def digest_document(document: Any) -> str:
    """Returns the SHA-256 of the canonical form, hex."""
    return hashlib.sha256(canonical_bytes(document)).hexdigest()


def check_manifest(document: Any) -> Manifest:
    """Checks a decoded manifest, references across sections included.

    Raises:
        ManifestError: With every fault found.
    """
    if not is_shallow(document):
        fault = Fault('$', 'deep nesting', f'at most {MAX_DEPTH} levels')
        raise ManifestError([fault])
    typed = check_shape(_ADAPTER, document, ManifestError)
    faults = _reference_faults(typed)
    if faults:
        raise ManifestError(faults)
    return Manifest(
        digest=digest_document(document),
        services_by_name={
            name: _build_service(name, entry)
            for name, entry in typed['services'].items()
        },
        backends_by_name={
            name: _build_backend(name, entry)
            for name, entry in typed['backends'].items()
        },
        teams_by_name={
            name: _build_team(name, entry)
            for name, entry in typed['teams'].items()
        },
    )


def _reference_faults(typed: ManifestDocument) -> list[Fault]:
    known = typed['services']
    return [
        Fault(
            f'$.backends.{name}.services[{index}]',
            repr(service),
            'name a service of $.services',
        )
        for name, entry in typed['backends'].items()
        for index, service in enumerate(entry['services'])
        if service not in known
    ]


def _build_service(name: str, entry: ServiceDocument) -> Service:
    return Service(
        name=name,
        max_task_ms=entry.get('max_task_ms', DEFAULT_MAX_TASK_MS),
        max_queued=entry.get('max_queued', DEFAULT_MAX_QUEUED),
        idempotent=entry.get('idempotent', False),
        max_running=entry.get('max_running'),
        max_starts_per_s=entry.get('max_starts_per_s'),
    )


def _build_backend(name: str, entry: BackendDocument) -> Backend:
    return Backend(
        name=name,
        address=entry['address'],
        zone=entry['zone'],
        slots=entry['slots'],
        connections=entry['connections'],
        services=frozenset(entry['services']),
        leaving=entry.get('leaving', False),
    )


def _build_team(name: str, entry: TeamDocument) -> Team:
    return Team(
        name=name,
        max_running=entry.get('max_running'),
        max_starts_per_s=entry.get('max_starts_per_s'),
        priority=entry.get('priority', 5),
    )
