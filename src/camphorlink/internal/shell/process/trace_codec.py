"""Writes messages and outcomes of the core as JSON lines, and reads them.

A trace is a header line, then the messages of one or several cores in the
order in which they came, each followed by the outcomes that it had.  Outcomes
are what callers and back ends see: answers and starts.  Messages of peers
travel as the very frames that came over the link, in hex.
"""

import enum
from collections.abc import Mapping, Sequence
from functools import singledispatch
from typing import Any, NamedTuple, get_args

import orjson
from pydantic import TypeAdapter, ValidationError

from camphorlink.errors import CamphorlinkError, PeerMessageError
from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.shell.connection.peer_codec import (
    decode_message,
    encode_message,
)

FORMAT = 1
MAX_SHOWN_CHARS = 400


class TraceError(CamphorlinkError):
    """A trace can't be read; record it again with this release."""


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


_ADAPTER_BY_KIND: dict[str, TypeAdapter[Any]] = {
    kind.__name__: TypeAdapter(kind) for kind in get_args(messages.Message)
}
_HEADER: TypeAdapter[Header] = TypeAdapter(Header)
_EVENT: TypeAdapter[Event] = TypeAdapter(Event)


def write_line(line: Header | Event) -> bytes:
    """Writes one line, newline included."""
    return orjson.dumps(to_plain(line), option=orjson.OPT_APPEND_NEWLINE)


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


def build_event(
    core: str,
    at_s: float,
    message: messages.Message,
    effects: Sequence[messages.Effect],
) -> Event:
    """Builds the event of one message and its effects."""
    fields = to_plain(message)
    if isinstance(message, messages.PeerSaid):
        fields['message'] = encode_message(message.message).hex()
    return Event(
        core,
        at_s,
        type(message).__name__,
        fields,
        list_outcomes(effects),
    )


def read_message(event: Event) -> messages.Message:
    """Builds the message of an event again.

    Raises:
        TraceError: It has no known type, or not its fields.
    """
    fields = event.fields
    try:
        if event.kind == messages.PeerSaid.__name__:
            fields = {**fields, 'message': _read_frame(fields['message'])}
        adapter = _ADAPTER_BY_KIND[event.kind]
        message: messages.Message = adapter.validate_python(fields)
    except (KeyError, TypeError, ValidationError) as exc:
        found = str(event.fields)[:MAX_SHOWN_CHARS]
        raise TraceError(f'no {event.kind} message: {found}') from exc
    return message


def list_outcomes(effects: Sequence[messages.Effect]) -> list[Any]:
    """Lists the answers and the starts among effects, as plain values.

    What merely words or times them (details, delays, time-outs) is left out,
    so that a trace outlives changes of it.
    """
    described = (describe_outcome(effect) for effect in effects)
    return [to_plain(outcome) for outcome in described if outcome]


@singledispatch
def describe_outcome(effect: messages.Effect) -> Mapping[str, Any]:
    """Writes an effect that callers or back ends see, or nothing."""
    # Counters, messages to peers and explanations are no outcomes.
    return {}


@describe_outcome.register
def _describe_answer(effect: messages.Deliver) -> Mapping[str, Any]:
    answer = effect.answer
    return {
        'answer_to': effect.caller,
        'submission_id': effect.submission_id,
        'outcome': answer.outcome,
        'reason': answer.reason,
        'results': answer.results_by_task,
        'fates': answer.fates_by_task,
    }


@describe_outcome.register
def _describe_start(effect: messages.StartTask) -> Mapping[str, Any]:
    return {
        'start': effect.ticket,
        'service': effect.service,
        'task_id': effect.task_id,
    }


def to_plain(found: Any) -> Any:
    """Turns named tuples, enumerations and mappings into JSON values."""
    if isinstance(found, enum.Enum):
        return found.value
    if isinstance(found, Mapping):
        return {str(key): to_plain(one) for key, one in found.items()}
    if isinstance(found, tuple) and hasattr(found, '_asdict'):
        return to_plain(found._asdict())
    if isinstance(found, bytes):
        return found.hex()
    if isinstance(found, list | tuple | set | frozenset):
        return [to_plain(one) for one in found]
    return found


def _read_frame(text: str) -> PeerMessage:
    try:
        return decode_message(bytes.fromhex(text))
    except (ValueError, PeerMessageError) as exc:
        raise TraceError(f'no frame of a peer: {exc}') from exc


def _read(adapter: TypeAdapter[Any], line: bytes) -> Any:
    try:
        found = adapter.validate_python(orjson.loads(line))
    except (orjson.JSONDecodeError, ValidationError) as exc:
        shown = line[:MAX_SHOWN_CHARS].decode(errors='replace').strip()
        raise TraceError(f'no line of a trace: {shown}') from exc
    return found
