"""Conversion of the contents of traces to plain JSON values."""

import enum
from collections.abc import Mapping
from typing import Any

from camphorlink.errors import CamphorlinkError


class TraceError(CamphorlinkError):
    """A trace is unreadable; record it again with this release."""


def plain_value(value: Any) -> Any:
    """Converts named tuples, enumerations and collections to JSON values.

    Bytes become hex strings, and sets become sorted lists.
    """
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
