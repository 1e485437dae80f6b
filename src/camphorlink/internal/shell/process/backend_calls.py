"""Sends a cell's commands to back ends and returns the answers to the cell."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from functools import singledispatchmethod
from typing import Any, TypeVar

from camphorlink.internal.core.connection.backend_commands import (
    RenewalAnswer,
    RenewalVerdict,
    RenewLeases,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.process.commander import Commander
from camphorlink.internal.shell.ports import BackendPort
from camphorlink.internal.shell.process.background import start_logged
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.steady_clock import now_s

_Answer = TypeVar('_Answer')


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
        self._log = PartLog('backend-calls')
        # Cached: each access to a single-dispatch method builds a function.
        self._dispatch = self._execute

    def send(self, command: StartRun | StopRun | RenewLeases) -> None:
        """Sends a command; its answer or time-out goes to the commander."""
        self.run(self._dispatch(command))

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine until it returns or ``close`` cancels it."""
        call = start_logged(coroutine, self._log)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    def close(self) -> None:
        """Cancels all calls.

        Runs on back ends continue until their leases expire.
        """
        for call in self._calls:
            call.cancel()

    async def _answer_of(
        self, call: Awaitable[_Answer], unanswered: _Answer
    ) -> _Answer:
        """Returns the answer of a call, also if it fails unexpectedly.

        The commander would otherwise wait for the answer for good.
        """
        try:
            return await call
        except Exception:
            self._log.exception('call to a back end failed unexpectedly')
            return unanswered

    @singledispatchmethod
    async def _execute(self, command: Any) -> None:
        raise TypeError(command)

    @_execute.register
    async def _execute_start(self, command: StartRun) -> None:
        sent_s = now_s()
        answer = await self._answer_of(
            self._backends.start(command),
            StartAnswer(StartVerdict.UNANSWERED),
        )
        self._commander.handle_start_answer(command, answer, sent_s, now_s())
        self._on_answered()

    @_execute.register
    async def _execute_stop(self, command: StopRun) -> None:
        sent_s = now_s()
        is_answered = await self._answer_of(
            self._backends.stop(command), unanswered=False
        )
        self._commander.handle_stop_answer(
            command, is_answered, sent_s, now_s()
        )
        self._on_answered()

    @_execute.register
    async def _execute_lease_renewal(self, command: RenewLeases) -> None:
        answer = await self._answer_of(
            self._backends.renew_leases(command),
            RenewalAnswer(RenewalVerdict.UNANSWERED),
        )
        self._commander.handle_renewal_answer(command, answer, now_s())
        self._on_answered()
