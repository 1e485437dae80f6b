"""Checks the references between the sections of a manifest."""

from collections.abc import Iterator

from camphorlink.errors import Fault
from camphorlink.internal.core.version.manifest_documents import (
    BackendDocument,
    ManifestDocument,
    ServiceDocument,
    TeamDocument,
)


def find_reference_faults(manifest: ManifestDocument) -> list[Fault]:
    """Returns all faults in references between sections or fields."""
    services = manifest['services']
    faults = list(_service_faults(services))
    for name, backend in manifest['backends'].items():
        faults.extend(_backend_faults(name, backend, services))
    classes = set(manifest.get('priority_classes', {}))
    for team_name, team in manifest['teams'].items():
        faults.extend(_team_faults(team_name, team, classes))
    return faults


def _service_faults(services: dict[str, ServiceDocument]) -> Iterator[Fault]:
    for name, service in services.items():
        longest_ms = service.get('max_task_ms')
        for class_name, entry in service.get('task_classes', {}).items():
            if longest_ms is not None and entry['typical_ms'] > longest_ms:
                yield Fault(
                    f'$.services.{name}.task_classes.{class_name}.typical_ms',
                    repr(entry['typical_ms']),
                    f'at most max_task_ms of the service, {longest_ms}',
                )


def _backend_faults(
    name: str,
    backend: BackendDocument,
    services: dict[str, ServiceDocument],
) -> Iterator[Fault]:
    capabilities = set(backend.get('capabilities', []))
    for index, service in enumerate(backend['services']):
        path = f'$.backends.{name}.services[{index}]'
        if service not in services:
            yield Fault(path, repr(service), 'name a service of $.services')
            continue
        missing = set(services[service].get('needs', [])) - capabilities
        if missing:
            needed = ', '.join(sorted(missing))
            yield Fault(
                path,
                repr(service),
                f'give the backend server the capabilities {needed}',
            )


def _team_faults(
    name: str,
    team: TeamDocument,
    classes: set[str],
) -> Iterator[Fault]:
    class_name = team.get('priority_class')
    path = f'$.teams.{name}.priority_class'
    if class_name is None:
        return
    if class_name not in classes:
        yield Fault(
            path, repr(class_name), 'name a class of $.priority_classes'
        )
    if 'priority' in team:
        yield Fault(path, repr(class_name), 'leave out priority, or this')
