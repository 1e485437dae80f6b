"""Plain JSON values of what traces hold."""

import enum
from collections.abc import Mapping
from typing import Any

from camphorlink.errors import CamphorlinkError


class TraceError(CamphorlinkError):
    """A trace can't be read; record it again with this release."""


def plain_value(value: Any) -> Any:
    """Turns named tuples, enumerations and mappings into JSON values."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(key): plain_value(item) for key, item in value.items()}
    if isinstance(value, tuple) and hasattr(value, '_asdict'):
        return plain_value(value._asdict())
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, set | frozenset):
        return sorted(value)
    if isinstance(value, list | tuple):
        return [plain_value(item) for item in value]
    return value
