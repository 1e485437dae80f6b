"""Serves an aiohttp application for as long as a context is open."""

from types import TracebackType

from aiohttp import web

#: Stand-ins have nobody to wait for when they stop, in seconds.
SHUTDOWN_TIMEOUT_S = 0.1


class LocalServer:
    """One application on one address, as a context manager."""

    def __init__(self, app: web.Application, ip: str, port: int) -> None:
        """Takes the address; port 0 takes a free one."""
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._ip = ip
        self._port = port

    @property
    def address(self) -> str:
        """IP number and port that are listened on."""
        ip, port = self._runner.addresses[0][:2]
        return f'{ip}:{port}'

    async def __aenter__(self) -> 'LocalServer':
        """Starts to listen."""
        await self._runner.setup()
        await web.TCPSite(self._runner, self._ip, self._port).start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops listening and closes all connections."""
        await self._runner.cleanup()
