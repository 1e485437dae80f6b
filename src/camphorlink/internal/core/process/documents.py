"""Validates JSON documents against typed schemas and reports all faults."""

import reprlib
from typing import Any, TypeVar

import orjson
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from camphorlink.errors import DocumentError, Fault

MAX_FOUND_CHARS = 60
MAX_FAULTS = 50
#: Limits the text shown for a value of any depth or length.
_SHORTENER = reprlib.Repr()
_SHORTENER.maxlevel = 3
_SHORTENER.maxstring = MAX_FOUND_CHARS
_SHORTENER.maxother = MAX_FOUND_CHARS
_EXPECTED_BY_TYPE = {
    'extra_forbidden': 'remove this key, which is not known here',
    'missing': 'add this key',
}
Shape = TypeVar('Shape')


def parse_json(body: bytes, error: type[DocumentError]) -> Any:
    """Decodes JSON bytes.

    Raises:
        DocumentError: Of the given type, if ``body`` is not valid JSON.
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
    """Validates a decoded document against a typed schema.

    Args:
        adapter: Schema whose dictionaries forbid unknown keys.
        document: Decoded JSON, as returned by ``parse_json``.
        error: Type of error to raise.

    Returns:
        The validated document.

    Raises:
        DocumentError: Of the given type, with all faults, or with their
            number if there are more than ``MAX_FAULTS``.
    """
    try:
        return adapter.validate_python(document)
    except ValidationError as exc:
        raise error(_list_faults(exc)) from exc


def _list_faults(exc: ValidationError) -> list[Fault]:
    if exc.error_count() > MAX_FAULTS:
        found = f'{exc.error_count()} faults'
        return [Fault('$', found, f'mend it; at most {MAX_FAULTS} are named')]
    return [
        Fault(
            json_path(fault['loc']),
            _show_found(fault),
            _EXPECTED_BY_TYPE.get(fault['type'], fault['msg']),
        )
        for fault in exc.errors(include_url=False)
    ]


def _show_found(fault: ErrorDetails) -> str:
    # For a missing key, pydantic reports the whole object as the input.
    if fault['type'] == 'missing':
        return 'nothing'
    return show_value(fault['input'])


def json_path(parts: tuple[str | int, ...]) -> str:
    """Formats a location as a JSON path, such as ``$.listen.port``."""
    steps = (
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in parts
    )
    return ''.join(('$', *steps))


def show_value(found: Any) -> str:
    """Returns a faulty value as text of bounded length."""
    text = _SHORTENER.repr(found)
    if len(text) > MAX_FOUND_CHARS:
        return f'{text[:MAX_FOUND_CHARS]}...'
    return text
