"""Settings of an entry VM: a JSON file, checked before anything starts."""

from pathlib import Path
from typing import Annotated, NamedTuple, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter
from typing_extensions import TypedDict

from camphorlink.errors import Fault, SettingsError
from camphorlink.internal.core.process.documents import check_shape, parse_json

DEFAULT_MAX_ENTRIES = 50_000
DEFAULT_LOG_KEEP_S = 7 * 24 * 3600.0
DEFAULT_SNAPSHOT_RECORDS = 1000
DEFAULT_DRAIN_S = 10.0
MAX_PORT = 65_535

_STRICT = ConfigDict(extra='forbid', strict=True)
_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,31}$')]
_IpNumber = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
_Port = Annotated[int, Field(ge=0, le=MAX_PORT)]


class ListenDocument(TypedDict):
    """An address to listen on; port 0 takes a free one."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    ip: _IpNumber
    port: _Port


class EntryDocument(TypedDict):
    """The settings file of ``camphorlink-entry``."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    zone: _Name
    vm: _Name
    callers: ListenDocument
    operators: ListenDocument
    peers: ListenDocument
    log_service: Annotated[str, Field(pattern=r'^http://[0-9.]+:\d{1,5}$')]
    log_keep_s: NotRequired[Annotated[float, Field(ge=60, strict=False)]]
    snapshot_records: NotRequired[Annotated[int, Field(ge=10)]]
    max_remembered: NotRequired[Annotated[int, Field(ge=100, le=1_000_000)]]
    drain_s: NotRequired[Annotated[float, Field(ge=0, le=300, strict=False)]]


class Listen(NamedTuple):
    """An address to listen on.

    Attributes:
        ip: IP number.
        port: TCP port, 0 for a free one.
    """

    ip: str
    port: int


class EntrySettings(NamedTuple):
    """Checked settings of an entry VM.

    Attributes:
        zone: Availability zone of this VM.
        vm: Name of this VM, unique in its zone.
        callers: Where callers submit jobs.
        operators: Where health, metrics and operators' calls are served.
        peers: Where other entry VMs send their messages.
        log_service: Base URL of the platform's log service.
        log_keep_s: Time that the log service keeps a record, in seconds.
        snapshot_records: Records after which a snapshot is written.
        max_remembered: Submissions that are remembered.
        drain_s: Longest time that a planned stop waits, in seconds.
    """

    zone: str
    vm: str
    callers: Listen
    operators: Listen
    peers: Listen
    log_service: str
    log_keep_s: float = DEFAULT_LOG_KEEP_S
    snapshot_records: int = DEFAULT_SNAPSHOT_RECORDS
    max_remembered: int = DEFAULT_MAX_ENTRIES
    drain_s: float = DEFAULT_DRAIN_S


_ADAPTER: TypeAdapter[EntryDocument] = TypeAdapter(EntryDocument)


def read_settings(path: Path) -> EntrySettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: With every fault found.
    """
    try:
        body = path.read_bytes()
    except OSError as exc:
        fault = Fault('$', str(path), f'a readable file; {exc.strerror}')
        raise SettingsError([fault]) from exc
    return check_settings(parse_json(body, SettingsError))


def check_settings(document: object) -> EntrySettings:
    """Checks decoded settings.

    Raises:
        SettingsError: With every fault found.
    """
    typed = check_shape(_ADAPTER, document, SettingsError)
    return EntrySettings(
        zone=typed['zone'],
        vm=typed['vm'],
        callers=_build_listen(typed['callers']),
        operators=_build_listen(typed['operators']),
        peers=_build_listen(typed['peers']),
        log_service=typed['log_service'],
        log_keep_s=typed.get('log_keep_s', DEFAULT_LOG_KEEP_S),
        snapshot_records=typed.get(
            'snapshot_records',
            DEFAULT_SNAPSHOT_RECORDS,
        ),
        max_remembered=typed.get('max_remembered', DEFAULT_MAX_ENTRIES),
        drain_s=typed.get('drain_s', DEFAULT_DRAIN_S),
    )


def _build_listen(entry: ListenDocument) -> Listen:
    return Listen(ip=entry['ip'], port=entry['port'])
