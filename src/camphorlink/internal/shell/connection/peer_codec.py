"""Encodes messages between entry VMs in CBOR, and decodes and validates them."""

from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from camphorlink.errors import PeerMessageError
from camphorlink.internal.core.connection.peer_messages import (
    PEER_MESSAGE_BY_KIND,
    PeerMessage,
)

_KIND_BY_TYPE = {kind: name for name, kind in PEER_MESSAGE_BY_KIND.items()}
_ADAPTER_BY_KIND: dict[str, TypeAdapter[Any]] = {
    name: TypeAdapter(kind) for name, kind in PEER_MESSAGE_BY_KIND.items()
}


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a message as a CBOR array of its kind and its fields."""
    return cbor2.dumps([_KIND_BY_TYPE[type(message)], *message])


def decode_message(frame: bytes) -> PeerMessage:
    """Decodes one message.

    Raises:
        PeerMessageError: The frame is not a valid message of a known kind.
    """
    try:
        kind, *fields = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise PeerMessageError(f'frame is not a CBOR array: {exc}') from exc
    adapter = _ADAPTER_BY_KIND.get(kind) if isinstance(kind, str) else None
    if adapter is None:
        raise PeerMessageError(f'unknown message kind {kind!r}')
    try:
        return adapter.validate_python(tuple(fields))  # type: ignore[no-any-return]
    except ValidationError as exc:
        raise PeerMessageError(f'invalid {kind} message: {exc}') from exc
