"""Records the messages and outcomes of a core in a trace file for replay."""

import contextlib
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import BinaryIO

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.shell.process.trace_codec import build_event
from camphorlink.internal.shell.process.trace_lines import (
    FORMAT,
    CoreHeader,
    Header,
    write_line,
)


class TraceWriter:
    """Writes the messages of one core and their outcomes to a trace file.

    Use it only during an investigation: it writes every payload and result
    to the file, and it blocks the event loop meanwhile.
    """

    def __init__(self, core: EntryCore, path: str | None) -> None:
        """Creates the writer; without a path it records nothing.

        Args:
            core: The core to record.
            path: Path of the trace file, or ``None``.
        """
        self._core = core
        self._path = path
        self._file: BinaryIO | None = None
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> 'TraceWriter':
        """Creates the trace file, replacing an existing one."""
        if self._path is None:
            return self
        self._file = self._stack.enter_context(Path(self._path).open('wb'))
        core = self._core
        core_header = CoreHeader(
            core.home,
            core.wall_s(0),
            core.table.limits.max_entries,
        )
        title = f'recorded by {core.home}'
        header = Header(FORMAT, title, {core.home.vm: core_header})
        self._file.write(write_line(header))
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the file; later messages are not recorded."""
        self._file = None
        self._stack.close()

    def record(
        self,
        message: messages.Message,
        now: float,
        effects: Sequence[messages.Effect],
    ) -> None:
        """Records one message at core time ``now`` and its effects."""
        if self._file is not None:
            event = build_event(self._core.home.vm, now, message, effects)
            self._file.write(write_line(event))
