"""Sends a cell's orders to back ends, and hands it what they answer."""

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
    """The calls under way; closing it cancels them."""

    def __init__(
        self,
        backends: BackendPort,
        commander: Commander,
        on_answered: Callable[[], None],
    ) -> None:
        """Takes the way to back ends, and who gets the answers."""
        self._backends = backends
        self._commander = commander
        self._on_answered = on_answered
        self._calls: set[asyncio.Task[Any]] = set()
        # Looking a single-dispatch method up builds a function every time.
        self._await_answer = self._await

    def send(self, order: StartRun | StopRun | RenewLeases) -> None:
        """Sends an order; its answer, or that none came, is handed on."""
        self.run(self._await_answer(order))

    def run(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine until it ends or this is closed."""
        call = asyncio.get_running_loop().create_task(work)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    def close(self) -> None:
        """Cancels all calls; back ends keep what runs until it lapses."""
        for call in self._calls:
            call.cancel()

    @singledispatchmethod
    async def _await(self, order: Any) -> None:
        raise TypeError(order)

    @_await.register
    async def _await_start(self, order: StartRun) -> None:
        sent_s = now_s()
        answer = await self._backends.start(order)
        self._commander.note_start(order, answer, sent_s, now_s())
        self._on_answered()

    @_await.register
    async def _await_stop(self, order: StopRun) -> None:
        sent_s = now_s()
        is_answered = await self._backends.stop(order)
        self._commander.note_stop(order, is_answered, sent_s, now_s())
        self._on_answered()

    @_await.register
    async def _await_hold(self, order: RenewLeases) -> None:
        answer = await self._backends.hold(order)
        self._commander.note_hold(order, answer, now_s())
        self._on_answered()
