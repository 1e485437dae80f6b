"""Line format of traces: one header, then events, as JSON."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import orjson
from pydantic import TypeAdapter, ValidationError

from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.shell.process.trace_values import (
    TraceError,
    plain_value,
)

FORMAT = 1
MAX_SHOWN_CHARS = 400


class CoreHeader(NamedTuple):
    """Arguments with which one core was created.

    Attributes:
        home: Identity of the core's process.
        wall_offset_s: Wall-clock time minus core time, in seconds.
        max_entries: Highest number of submissions that its table stores.
    """

    home: Home
    wall_offset_s: float
    max_entries: int


class Header(NamedTuple):
    """First line of a trace.

    Attributes:
        format: Version of the trace format.
        title: Summary of the trace in one sentence.
        core_by_name: Arguments of the cores whose messages follow.
    """

    format: int
    title: str
    core_by_name: Mapping[str, CoreHeader]


class Event(NamedTuple):
    """One message to a core and its outcomes.

    Attributes:
        core: Name of the core.
        at_s: Core time in seconds.
        kind: Name of the message type.
        fields: Fields of the message, as plain values.
        outcomes: Answers and starts that it caused, as plain values.
    """

    core: str
    at_s: float
    kind: str
    fields: Any
    outcomes: Sequence[Any]


_HEADER: TypeAdapter[Header] = TypeAdapter(Header)
_EVENT: TypeAdapter[Event] = TypeAdapter(Event)


def write_line(line: Header | Event) -> bytes:
    """Encodes one line, with its newline."""
    return orjson.dumps(plain_value(line), option=orjson.OPT_APPEND_NEWLINE)


def read_header(line: bytes) -> Header:
    """Decodes the first line.

    Raises:
        TraceError: The line is not a header, or its format is unsupported.
    """
    header = _read(_HEADER, line)
    if header.format != FORMAT:
        raise TraceError(
            f'format {header.format} is not supported; this release reads '
            f'format {FORMAT}',
        )
    return header


def read_event(line: bytes) -> Event:
    """Decodes any line after the first.

    Raises:
        TraceError: The line is not an event.
    """
    return _read(_EVENT, line)


def _read(adapter: TypeAdapter[Any], line: bytes) -> Any:
    try:
        decoded = adapter.validate_python(orjson.loads(line))
    except (orjson.JSONDecodeError, ValidationError) as exc:
        shown = line[:MAX_SHOWN_CHARS].decode(errors='replace').strip()
        raise TraceError(f'invalid trace line: {shown}') from exc
    return decoded
