"""Checks JSON documents against typed shapes and names every fault."""

from typing import Any, TypeVar

import orjson
from pydantic import TypeAdapter, ValidationError

from camphorlink.errors import DocumentError, Fault

MAX_FOUND_CHARS = 60
Shape = TypeVar('Shape')


def parse_json(body: bytes, error: type[DocumentError]) -> Any:
    """Decodes JSON bytes.

    Raises:
        DocumentError: Of the given type, when ``body`` is no JSON.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        found = f'{len(body)} bytes that are no JSON'
        raise error([Fault('$', found, str(exc))]) from exc


def check_shape(
    adapter: TypeAdapter[Shape],
    document: Any,
    error: type[DocumentError],
) -> Shape:
    """Checks a decoded document against a typed shape.

    Args:
        adapter: The shape, whose dictionaries forbid unknown keys.
        document: What ``parse_json`` returned.
        error: Type of error to raise.

    Returns:
        The document, typed.

    Raises:
        DocumentError: Of the given type, with every fault found.
    """
    try:
        return adapter.validate_python(document)
    except ValidationError as exc:
        faults = [
            Fault(
                json_path(fault['loc']),
                show_value(fault['input']),
                fault['msg'],
            )
            for fault in exc.errors(include_url=False)
        ]
        raise error(faults) from exc


def json_path(parts: tuple[str | int, ...]) -> str:
    """Writes a location as a JSON path, such as ``$.listen.port``."""
    steps = (
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in parts
    )
    return ''.join(('$', *steps))


def show_value(found: Any) -> str:
    """Shows a faulty value in short."""
    text = repr(found)
    if len(text) > MAX_FOUND_CHARS:
        return f'{text[:MAX_FOUND_CHARS]}...'
    return text
