"""Serves an aiohttp application while a context manager is open."""

from types import TracebackType

from aiohttp import web

#: Time for open requests at a stop, in seconds; short, since no caller depends
#: on the answers of a stand-in.
SHUTDOWN_TIMEOUT_S = 0.1


class LocalServer:
    """Context manager that serves one application on one address."""

    def __init__(self, app: web.Application, ip: str, port: int) -> None:
        """Creates a server.

        Args:
            app: Application to serve.
            ip: IP address to listen on.
            port: Port to listen on; 0 selects a free one.
        """
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._ip = ip
        self._port = port

    @property
    def address(self) -> str:
        """IP address and port on which the server listens."""
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
