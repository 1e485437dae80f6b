"""Decodes JSON of other writers, with bounded nesting and typed fields.

Python formats, compares and copies nested values by recursion, and raises
``RecursionError`` where the stack happens to end.  Messages of errors therefore
hold no values, and documents that are nested too deeply are rejected.
"""

import ipaddress
from typing import Any

import orjson

#: Deepest nesting of a document: those of the platform have five levels.
MAX_DEPTH = 32
#: Largest whole number that every JSON implementation keeps exactly.
MAX_WHOLE = 2**53 - 1
MAX_PORT = 65_535


def decode_document(content: bytes) -> Any:
    """Decodes JSON.

    Raises:
        ValueError: The content is not JSON, or nested too deeply.
    """
    document = orjson.loads(content)
    # Few documents have that many brackets, so that few are walked.
    if content.count(b'[') + content.count(b'{') > MAX_DEPTH:
        _check_depth(document)
    return document


def _check_depth(document: Any) -> None:
    level = [document]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for parent in level
            for child in _children(parent)
            if isinstance(child, list | dict)
        ]
        if not level:
            return
    raise ValueError(f'nested deeper than {MAX_DEPTH} levels')


def _children(parent: Any) -> Any:
    if isinstance(parent, dict):
        return parent.values()
    return parent if isinstance(parent, list) else ()


def read_text(document: Any, name: str) -> str:
    """Returns a field that must be a string.

    Raises:
        LookupError: The field is missing.
        TypeError: It has another type, or the document is not an object.
    """
    return check_text(document[name], name)


def check_text(field_value: Any, name: str) -> str:
    """Returns a value that must be a string.

    Raises:
        TypeError: It has another type.
    """
    if not isinstance(field_value, str):
        raise TypeError(f'{name} is not a string')
    return field_value


def read_whole(document: Any, name: str) -> int:
    """Returns a field that must be a whole number from 0 to ``MAX_WHOLE``.

    Raises:
        LookupError: The field is missing.
        TypeError: It has another type, or the document is not an object.
        ValueError: It is out of range.
    """
    return check_whole(document[name], name)


def check_whole(field_value: Any, name: str) -> int:
    """Returns a value that must be a whole number from 0 to ``MAX_WHOLE``.

    Raises:
        TypeError: It has another type.
        ValueError: It is out of range.
    """
    if not isinstance(field_value, int) or isinstance(field_value, bool):
        raise TypeError(f'{name} is not a whole number')
    if not 0 <= field_value <= MAX_WHOLE:
        raise ValueError(f'{name} is out of range')
    return field_value


def check_duration(field_value: Any, name: str) -> int:
    """Returns a time or a share that may have a fraction, without the fraction.

    Raises:
        TypeError: It is not a number.
        ValueError: It is not within 0 and ``MAX_WHOLE``.
    """
    if isinstance(field_value, float) and 0 <= field_value <= MAX_WHOLE:
        return int(field_value)
    return check_whole(field_value, name)


def check_address(address: str) -> str:
    """Returns an address that must be an IP number and a port.

    Raises:
        ValueError: It is something else, or the port is out of range.
    """
    ip, _, port = address.rpartition(':')
    ipaddress.IPv4Address(ip)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError('the port is out of range')
    return address
