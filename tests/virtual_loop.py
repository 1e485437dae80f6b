"""An event loop in virtual time, and the program's clocks set to it.

A program that waits on timers only runs deterministically on it, and without
delay: when nothing is ready, the time jumps to the next timer.
"""

import asyncio
import contextlib
import selectors
import types
from unittest import mock

from camphorlink.internal.shell.process import steady_clock

#: Times of day and ages of messages must be positive.
START_S = 1000.0


class _JumpingSelector(selectors.SelectSelector):
    """Advances the time of a loop instead of waiting for input."""

    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('nothing is ready, and no timer is set')
        if timeout > 0:
            self._loop.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is ready."""

    def __init__(self):
        self._now_s = START_S
        super().__init__(_JumpingSelector(self))

    def time(self):
        return self._now_s

    def advance(self, duration_s):
        """Lets a duration in seconds pass."""
        self._now_s += duration_s


@contextlib.contextmanager
def _clocks_of(loop):
    clocks = types.SimpleNamespace(
        CLOCK_BOOTTIME=None,
        clock_gettime=lambda _: loop.time(),
        time_ns=lambda: int(loop.time() * 1e9),
    )
    with mock.patch.object(steady_clock, 'time', clocks):
        yield


def run_in_virtual_time(coroutine):
    """Runs a coroutine on a new virtual loop and returns its result."""
    runner = asyncio.Runner(loop_factory=VirtualLoop)
    with runner, _clocks_of(runner.get_loop()):
        return runner.run(coroutine)
