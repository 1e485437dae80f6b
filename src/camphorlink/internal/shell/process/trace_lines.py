"""Lines of a trace: a header, then events."""

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
    """How one core was made.

    Attributes:
        home: Identity of its process.
        wall_offset_s: Wall-clock time less core time, in seconds.
        max_entries: Submissions that its table may remember.
    """

    home: Home
    wall_offset_s: float
    max_entries: int


class Header(NamedTuple):
    """First line of a trace.

    Attributes:
        format: Version of the format.
        title: What the trace shows, in one sentence.
        core_by_name: The cores whose messages follow.
    """

    format: int
    title: str
    core_by_name: Mapping[str, CoreHeader]


class Event(NamedTuple):
    """One message to a core, and what came of it.

    Attributes:
        core: Name of the core.
        at_s: Core time in seconds.
        kind: Name of the message's type.
        fields: The message, as plain values.
        outcomes: Answers and starts that it led to, as plain values.
    """

    core: str
    at_s: float
    kind: str
    fields: Any
    outcomes: Sequence[Any]


_HEADER: TypeAdapter[Header] = TypeAdapter(Header)
_EVENT: TypeAdapter[Event] = TypeAdapter(Event)


def write_line(line: Header | Event) -> bytes:
    """Writes one line, newline included."""
    return orjson.dumps(plain_value(line), option=orjson.OPT_APPEND_NEWLINE)


def read_header(line: bytes) -> Header:
    """Reads the first line.

    Raises:
        TraceError: It is none, or one of another format.
    """
    header = _read(_HEADER, line)
    if header.format != FORMAT:
        raise TraceError(
            f'format {header.format} is not known; this release reads '
            f'format {FORMAT}',
        )
    return header


def read_event(line: bytes) -> Event:
    """Reads any line but the first.

    Raises:
        TraceError: It is no event.
    """
    return _read(_EVENT, line)


def _read(adapter: TypeAdapter[Any], line: bytes) -> Any:
    try:
        decoded = adapter.validate_python(orjson.loads(line))
    except (orjson.JSONDecodeError, ValidationError) as exc:
        shown = line[:MAX_SHOWN_CHARS].decode(errors='replace').strip()
        raise TraceError(f'no line of a trace: {shown}') from exc
    return decoded
