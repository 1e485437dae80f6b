"""Sends a cell's commands to back ends and returns the answers to the cell."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

from camphorlink.internal.core.connection.backend_commands import (
    RenewLeases,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.process.commander import Commander
from camphorlink.internal.shell.ports import BackendPort
from camphorlink.internal.shell.process.steady_clock import now_s


class BackendCalls:
    """Runs calls to back ends concurrently.

    Each answer is passed to the commander.  Closing this object cancels the
    calls that are in progress.
    """

    def __init__(
        self,
        backends: BackendPort,
        commander: Commander,
        on_answered: Callable[[], None],
    ) -> None:
        """Creates the caller; no call is in progress.

        Args:
            backends: Sends commands to back ends.
            commander: Receives the answers.
            on_answered: Called after each answer was passed on.
        """
        self._backends = backends
        self._commander = commander
        self._on_answered = on_answered
        self._calls: set[asyncio.Task[Any]] = set()
        # Cached: each access to a single-dispatch method builds a function.
        self._dispatch = self._execute

    def send(self, command: StartRun | StopRun | RenewLeases) -> None:
        """Sends a command; its answer or time-out goes to the commander."""
        self.run(self._dispatch(command))

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine until it returns or ``close`` cancels it."""
        call = asyncio.get_running_loop().create_task(coroutine)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    def close(self) -> None:
        """Cancels all calls.

        Runs on back ends continue until their leases expire.
        """
        for call in self._calls:
            call.cancel()

    @singledispatchmethod
    async def _execute(self, command: Any) -> None:
        raise TypeError(command)

    @_execute.register
    async def _execute_start(self, command: StartRun) -> None:
        sent_s = now_s()
        answer = await self._backends.start(command)
        self._commander.handle_start_answer(command, answer, sent_s, now_s())
        self._on_answered()

    @_execute.register
    async def _execute_stop(self, command: StopRun) -> None:
        sent_s = now_s()
        is_answered = await self._backends.stop(command)
        self._commander.handle_stop_answer(
            command, is_answered, sent_s, now_s()
        )
        self._on_answered()

    @_execute.register
    async def _execute_lease_renewal(self, command: RenewLeases) -> None:
        answer = await self._backends.renew_leases(command)
        self._commander.handle_renewal_answer(command, answer, now_s())
        self._on_answered()
