"""Encodes messages and outcomes of the core as trace events, and decodes them.

A trace is a header line and then one event for each message to one or several
cores, in the order of arrival, with the outcomes of that message.  Outcomes
are the effects that callers and back ends see: answers and starts.  Messages
of peers are stored as the hex encoding of their link frames.
"""

from collections.abc import Mapping, Sequence
from functools import singledispatch
from typing import Any, get_args

from pydantic import TypeAdapter, ValidationError

from camphorlink.errors import PeerMessageError
from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.shell.connection.peer_codec import (
    decode_message,
    encode_message,
)
from camphorlink.internal.shell.process.trace_lines import (
    MAX_SHOWN_CHARS,
    Event,
)
from camphorlink.internal.shell.process.trace_manifest import (
    encode_manifest,
    read_manifest,
)
from camphorlink.internal.shell.process.trace_values import (
    TraceError,
    plain_value,
)

_ADAPTER_BY_KIND: dict[str, TypeAdapter[Any]] = {
    kind.__name__: TypeAdapter(kind) for kind in get_args(messages.Message)
}
_HOME: TypeAdapter[Home] = TypeAdapter(Home)


def build_event(
    core: str,
    at_s: float,
    message: messages.Message,
    effects: Sequence[messages.Effect],
) -> Event:
    """Builds the event of one message and its effects."""
    fields = plain_value(message)
    if isinstance(message, messages.PeerSaid):
        fields['message'] = encode_message(message.message).hex()
    elif isinstance(message, messages.VersionInForce):
        fields['manifest'] = encode_manifest(message.manifest)
    return Event(
        core,
        at_s,
        type(message).__name__,
        fields,
        list_outcomes(effects),
    )


def read_message(event: Event) -> messages.Message:
    """Decodes the message of an event.

    Raises:
        TraceError: The message type is unknown or its fields are invalid.
    """
    try:
        return _build_message(event.kind, event.fields)
    except (KeyError, TypeError, ValidationError) as exc:
        found = str(event.fields)[:MAX_SHOWN_CHARS]
        raise TraceError(f'invalid {event.kind} message: {found}') from exc


def _build_message(kind: str, fields: Any) -> messages.Message:
    if kind == messages.PeerSaid.__name__:
        frame = _read_frame(fields['message'])
        return messages.PeerSaid(_HOME.validate_python(fields['peer']), frame)
    if kind == messages.VersionInForce.__name__:
        manifest = read_manifest(fields['manifest'])
        return messages.VersionInForce(int(fields['version']), manifest)
    message: messages.Message = _ADAPTER_BY_KIND[kind].validate_python(fields)
    return message


def list_outcomes(effects: Sequence[messages.Effect]) -> list[Any]:
    """Lists the answers and the starts among effects, as plain values.

    Details, delays and timeouts are left out, so that a trace stays valid when
    they change.
    """
    described = (describe_outcome(effect) for effect in effects)
    return [plain_value(outcome) for outcome in described if outcome]


@singledispatch
def describe_outcome(effect: messages.Effect) -> Mapping[str, Any]:
    """Returns an answer or start as a mapping, empty for other effects."""
    # Counters, messages to peers and explanations are not outcomes.
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
        'fates': answer.outcomes_by_task,
    }


@describe_outcome.register
def _describe_start(effect: messages.StartTask) -> Mapping[str, Any]:
    return {
        'start': effect.ticket,
        'service': effect.service,
        'task_id': effect.task_id,
    }


def _read_frame(text: str) -> PeerMessage:
    try:
        return decode_message(bytes.fromhex(text))
    except (ValueError, PeerMessageError) as exc:
        raise TraceError(f'invalid peer frame: {exc}') from exc
