"""Structured logs: one JSON object per line, with a prefix for each part."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

ROOT = 'camphorlink'
#: Longest description of an error in a log line, in characters.
MAX_ERROR_LENGTH = 300


class PartLog(logging.LoggerAdapter[logging.Logger]):
    """Logger adapter that prefixes each message with the name of its part."""

    def __init__(self, part: str, vm: str = '', **fields: str) -> None:
        """Creates a logger for one part of the process.

        Args:
            part: Name of the part.
            vm: Name of the VM, for processes that run several VMs.
            fields: Fields added to every line of this logger.
        """
        vm_fields = {'vm': vm} if vm else {}
        super().__init__(
            logging.getLogger(f'{ROOT}.{part}'),
            {'part': part, **vm_fields, **fields},
        )
        self._prefix = f'[{part}]'

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Adds the prefix to the message and the fields to the record."""
        kwargs['extra'] = {**(self.extra or {}), **(kwargs.get('extra') or {})}
        return f'{self._prefix} {msg}', kwargs


def describe_error(exc: BaseException) -> str:
    """Describes an error, whatever values it holds.

    ``repr`` raises an error of its own for values that are nested too deeply.
    """
    try:
        text = str(exc)
    except Exception:
        text = 'no description'
    return f'{type(exc).__name__}: {text[:MAX_ERROR_LENGTH]}'


def start_logs(level: str = 'INFO', vm: str = '') -> None:
    """Sends all logs of the package to standard error as JSON lines.

    Args:
        level: Lowest level that is written.
        vm: Name of the VM that this process runs, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '{asctime}{levelname}{message}',
            style='{',
            static_fields={'vm': vm} if vm else {},
        ),
    )
    root = logging.getLogger(ROOT)
    root.handlers = [handler]
    root.propagate = False
    root.setLevel(level)
