"""Structured logs: one JSON object a line, with a fixed prefix for a part."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

ROOT = 'camphorlink'


class PartLog(logging.LoggerAdapter[logging.Logger]):
    """Logger of one part, which writes the part's prefix before a message."""

    def __init__(self, part: str, vm: str = '', **fields: str) -> None:
        """Names the part.

        Args:
            part: The part.
            vm: The VM, where several share a process.
            fields: Fields of all its lines.
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
        """Adds the prefix, and the part to the fields of the record."""
        kwargs['extra'] = {**(self.extra or {}), **(kwargs.get('extra') or {})}
        return f'{self._prefix} {msg}', kwargs


def start_logs(level: str = 'INFO', vm: str = '') -> None:
    """Sends all logs of the package to standard error as JSON lines.

    Args:
        level: Least level that is written.
        vm: The VM that the process is, named in each line.
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
