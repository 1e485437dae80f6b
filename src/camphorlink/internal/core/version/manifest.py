"""The manifest: services, backend servers, teams and their limits.

The operators' pipeline proposes a manifest and their board approves it by its
digest.  The digest is computed over the canonical form, so exactly the approved
manifest comes into force.
"""

import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import orjson
from pydantic import TypeAdapter

from camphorlink.errors import Fault, ManifestError
from camphorlink.internal.core.process.documents import check_shape
from camphorlink.internal.core.version.manifest_documents import (
    BackendDocument,
    ManifestDocument,
    ServiceDocument,
    TeamDocument,
)
from camphorlink.internal.core.version.manifest_references import (
    find_reference_faults,
)
from camphorlink.internal.core.version.merge_patch import (
    MAX_DEPTH,
    is_shallow,
)

SCHEMA_VERSION = 1
DEFAULT_MAX_TASK_MS = 10_000
DEFAULT_MAX_QUEUED = 10_000

DEFAULT_PRIORITY = 5


class TaskClass(NamedTuple):
    """Task class: tasks of a service with similar run times.

    Attributes:
        typical_ms: Expected run time until one is measured, in ms.
        lookup: Whether the tasks only read, and so may run more than once.
    """

    typical_ms: int
    lookup: bool


class Service(NamedTuple):
    """A service that teams submit jobs to.

    Attributes:
        name: Key of the service in the manifest.
        max_task_ms: Longest time that one task may take, in ms.
        max_queued: Tasks that may wait at one entry VM.
        idempotent: Whether its tasks may run more than once.
        task_lookup: Whether its backend servers can be queried for the outcome
            of a task.
        max_running: Tasks that may run at once over all VMs, or ``None`` for
            no limit.
        max_starts_per_s: Starts per second over all VMs, or ``None`` for no
            limit.
        needs: Capabilities that its backend servers must have.
        classes_by_name: Its task classes.
    """

    name: str
    max_task_ms: int
    max_queued: int
    idempotent: bool
    max_running: int | None = None
    max_starts_per_s: int | None = None
    needs: frozenset[str] = frozenset()
    classes_by_name: Mapping[str, TaskClass] = MappingProxyType({})
    task_lookup: bool = False


class Backend(NamedTuple):
    """A backend server that runs tasks.

    Attributes:
        name: Key of the backend server in the manifest.
        address: IP number and port.
        zone: Name of its availability zone.
        slots: Tasks that it runs at once.
        connections: Connections that it accepts at once.
        services: Names of the services that it serves.
        leaving: Whether it must get no new work.
        capabilities: Capabilities that it offers to services.
    """

    name: str
    address: str
    zone: str
    slots: int
    connections: int
    services: frozenset[str]
    leaving: bool
    capabilities: frozenset[str] = frozenset()


class Team(NamedTuple):
    """A team with its quota.

    Attributes:
        name: Key of the team in the manifest.
        max_running: Tasks that may run at once over all VMs, or ``None`` for
            no limit.
        max_starts_per_s: Starts per second over all VMs, or ``None`` for no
            limit.
        priority: Rank of its priority; 0 is the highest.
    """

    name: str
    max_running: int | None
    max_starts_per_s: int | None
    priority: int


class Manifest(NamedTuple):
    """A checked manifest.

    Attributes:
        digest: SHA-256 of the canonical form, in hex.
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
    """Returns the canonical form of a document, over which digests are taken."""
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def digest_document(document: Any) -> str:
    """Returns the SHA-256 of a document's canonical form, in hex."""
    return hashlib.sha256(canonical_bytes(document)).hexdigest()


def check_manifest(document: Any) -> Manifest:
    """Checks a decoded manifest, including references between sections.

    Raises:
        ManifestError: If there are faults; it lists all of them.
    """
    if not is_shallow(document):
        fault = Fault('$', 'deep nesting', f'at most {MAX_DEPTH} levels')
        raise ManifestError([fault])
    typed = check_shape(_ADAPTER, document, ManifestError)
    faults = find_reference_faults(typed)
    if faults:
        raise ManifestError(faults)
    rank_by_class = {
        name: entry['rank']
        for name, entry in typed.get('priority_classes', {}).items()
    }
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
            name: _build_team(name, entry, rank_by_class)
            for name, entry in typed['teams'].items()
        },
    )


def _build_service(name: str, entry: ServiceDocument) -> Service:
    return Service(
        name=name,
        max_task_ms=entry.get('max_task_ms', DEFAULT_MAX_TASK_MS),
        max_queued=entry.get('max_queued', DEFAULT_MAX_QUEUED),
        idempotent=entry.get('idempotent', False),
        task_lookup=entry.get('task_lookup', False),
        max_running=entry.get('max_running'),
        max_starts_per_s=entry.get('max_starts_per_s'),
        needs=frozenset(entry.get('needs', ())),
        classes_by_name={
            class_name: TaskClass(
                inner['typical_ms'],
                inner.get('lookup', False),
            )
            for class_name, inner in entry.get('task_classes', {}).items()
        },
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
        capabilities=frozenset(entry.get('capabilities', ())),
    )


def _build_team(
    name: str,
    entry: TeamDocument,
    rank_by_class: Mapping[str, int],
) -> Team:
    priority = entry.get('priority', DEFAULT_PRIORITY)
    return Team(
        name=name,
        max_running=entry.get('max_running'),
        max_starts_per_s=entry.get('max_starts_per_s'),
        priority=rank_by_class.get(entry.get('priority_class', ''), priority),
    )
