"""Settings of the stand-ins: JSON files that are validated at the start."""

from pathlib import Path
from typing import Annotated, Any, Literal, NotRequired, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter
from typing_extensions import TypedDict

from camphorlink.errors import Fault, SettingsError
from camphorlink.internal.core.process.documents import check_shape, parse_json

_STRICT = ConfigDict(extra='forbid', strict=True)
_Seconds = Annotated[float, Field(ge=0, le=300)]
Shape = TypeVar('Shape')


class ListenDocument(TypedDict):
    """Address on which a server listens; port 0 selects a free port."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    ip: Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
    port: Annotated[int, Field(ge=0, le=65_535)]


class BackendDocument(TypedDict):
    """Settings file of ``camphorlink-standin backend``."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    listen: ListenDocument
    slots: NotRequired[Annotated[int, Field(ge=1, le=10_000)]]
    speed: NotRequired[Annotated[float, Field(gt=0, le=1000)]]
    mode: NotRequired[
        Literal[
            'normal',
            'slow',
            'fail-all',
            'silent',
            'refuse',
            'leaving',
            'close',
            'crash',
        ]
    ]


class FaultsDocument(TypedDict):
    """Faults that are injected into the log service from its start."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    down: NotRequired[bool]
    delay_s: NotRequired[_Seconds]
    lose_answers: NotRequired[bool]


class LogServiceDocument(TypedDict):
    """Settings file of ``camphorlink-standin log-service``."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    listen: ListenDocument
    keep_records: NotRequired[Annotated[int, Field(ge=1, le=10_000_000)]]
    faults: NotRequired[FaultsDocument]


BACKEND_ADAPTER: TypeAdapter[BackendDocument] = TypeAdapter(BackendDocument)
LOG_SERVICE_ADAPTER: TypeAdapter[LogServiceDocument] = TypeAdapter(
    LogServiceDocument,
)


def read_document(path: Path, adapter: TypeAdapter[Shape]) -> Shape:
    """Reads and validates a settings file of a stand-in.

    Raises:
        SettingsError: The file is unreadable or invalid; the error lists
            every fault.
    """
    try:
        body = path.read_bytes()
    except OSError as exc:
        fault = Fault('$', str(path), f'name a readable file; {exc.strerror}')
        raise SettingsError([fault]) from exc
    document: Any = parse_json(body, SettingsError)
    return check_shape(adapter, document, SettingsError)
