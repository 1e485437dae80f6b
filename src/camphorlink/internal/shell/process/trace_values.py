"""Plain JSON values of what traces hold."""

import enum
from collections.abc import Mapping
from typing import Any

from camphorlink.errors import CamphorlinkError


class TraceError(CamphorlinkError):
    """A trace can't be read; record it again with this release."""


def plain_value(found: Any) -> Any:
    """Turns named tuples, enumerations and mappings into JSON values."""
    if isinstance(found, enum.Enum):
        return found.value
    if isinstance(found, Mapping):
        return {str(key): plain_value(one) for key, one in found.items()}
    if isinstance(found, tuple) and hasattr(found, '_asdict'):
        return plain_value(found._asdict())
    if isinstance(found, bytes):
        return found.hex()
    if isinstance(found, set | frozenset):
        return sorted(found)
    if isinstance(found, list | tuple):
        return [plain_value(one) for one in found]
    return found
