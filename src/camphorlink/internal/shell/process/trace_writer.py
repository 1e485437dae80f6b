"""Records what a core was told and what came of it, to be replayed."""

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
    """Appends to the trace file of one core.

    It is meant for a time of inquiry: every payload and result is written
    out, on the loop.
    """

    def __init__(self, core: EntryCore, path: str | None) -> None:
        """Takes the core to be recorded; without a path nothing is."""
        self._core = core
        self._path = path
        self._file: BinaryIO | None = None
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> 'TraceWriter':
        """Begins a new file, over an old one."""
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
        """Closes the file; what comes later is not recorded."""
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
