"""Encodes manifests in traces as documents, which later releases can read."""

from collections.abc import Mapping
from typing import Any

from camphorlink.errors import ManifestError
from camphorlink.internal.core.version.manifest import (
    SCHEMA_VERSION,
    Backend,
    Manifest,
    Service,
    Team,
    check_manifest,
)
from camphorlink.internal.shell.process.trace_values import (
    TraceError,
    plain_value,
)


def encode_manifest(manifest: Manifest) -> dict[str, Any]:
    """Encodes a manifest as a document that decodes to an equal manifest."""
    sections: dict[str, Mapping[str, Service | Backend | Team]] = {
        'services': manifest.services_by_name,
        'backends': manifest.backends_by_name,
        'teams': manifest.teams_by_name,
    }
    document: dict[str, Any] = {'schema': SCHEMA_VERSION}
    for section, entry_by_name in sections.items():
        document[section] = {
            name: _entry_document(entry)
            for name, entry in entry_by_name.items()
        }
    return document


def _entry_document(entry: Service | Backend | Team) -> dict[str, Any]:
    plain = plain_value(entry)
    plain.pop('name')
    if 'classes_by_name' in plain:
        plain['task_classes'] = plain.pop('classes_by_name')
    return {key: value for key, value in plain.items() if value is not None}


def read_manifest(document: Any) -> Manifest:
    """Decodes a manifest from its document.

    Raises:
        TraceError: The document is not a valid manifest.
    """
    try:
        return check_manifest(document)
    except ManifestError as exc:
        raise TraceError(f'invalid manifest: {exc}') from exc
