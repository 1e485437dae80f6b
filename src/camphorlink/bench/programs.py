"""Starts daemons and stand-ins as separate processes for measurements.

Every process is terminated by its id when its context manager exits, and each
wait has a timeout.
"""

import json
import os
import select
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

from camphorlink.errors import CamphorlinkError

SOURCE = Path(__file__).parents[2]
LOOPBACK = '127.0.0.1'
FREE_PORT: Mapping[str, Any] = {'ip': LOOPBACK, 'port': 0}
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


class ProgramError(CamphorlinkError):
    """Raised when a program did not start; the message contains its log."""


class Program:
    """Process of ``python -m MODULE``, as a context manager.

    The first line that the program prints is a JSON object of its addresses.

    Attributes:
        name: Name of the program, unique in its directory.
        log_path: File that receives the standard error output.
        addresses: Addresses that the program printed when it was ready.
        process: The process, after the context was entered.
    """

    process: subprocess.Popen[bytes]

    def __init__(
        self,
        directory: str | Path,
        name: str,
        module: str,
        arguments: list[str],
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Prepares a program without starting it.

        Args:
            directory: Folder of the log file.
            name: Name of the program, unique in the folder.
            module: Python module to run.
            arguments: Command-line arguments.
            environment: Additional environment variables.
        """
        self.name = name
        self.log_path = Path(directory) / f'{name}.log'
        self.addresses: dict[str, str] = {}
        self._environment = environment or {}
        self._command = [sys.executable, '-m', module, *arguments]

    def __enter__(self) -> 'Program':
        """Starts the process and waits until it prints its addresses."""
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                self._command,
                stdout=subprocess.PIPE,
                stderr=log,
                env={
                    **os.environ,
                    'PYTHONPATH': str(SOURCE),
                    **self._environment,
                },
            )
        try:
            self.addresses = json.loads(self._read_first_line())
        except BaseException:
            self.kill()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Terminates the process if it is running."""
        if self.process.poll() is None:
            self.stop()
        if self.process.stdout is not None:
            self.process.stdout.close()

    @property
    def address(self) -> str:
        """IP address and port of a stand-in."""
        return self.addresses['address']

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> int:
        """Terminates the process with SIGTERM and returns its exit code."""
        self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def kill(self) -> int:
        """Kills the process, as a failure of its VM would.

        Returns:
            Exit code of the process.
        """
        self.process.kill()
        return self.process.wait(STOP_TIMEOUT_S)

    def log(self) -> str:
        """Returns the log of the process."""
        return self.log_path.read_text()

    def _read_first_line(self) -> bytes:
        out = self.process.stdout
        if out is None or not select.select([out], [], [], START_TIMEOUT_S)[0]:
            raise ProgramError(
                f'{self.name} printed no address in time:\n{self.log()}'
            )
        line = out.readline()
        if not line:
            raise ProgramError(
                f'{self.name} ended before it was ready:\n{self.log()}'
            )
        return line


def write_settings(
    directory: str | Path,
    name: str,
    document: Mapping[str, Any],
) -> Path:
    """Writes a settings file.

    Args:
        directory: Folder of the file.
        name: Name of the program.
        document: Settings.

    Returns:
        Path of the file.
    """
    path = Path(directory) / f'{name}.json'
    path.write_text(json.dumps(document))
    return path


def entry_program(
    directory: str | Path,
    name: str,
    settings: Mapping[str, Any],
) -> Program:
    """Writes the settings of an entry VM and prepares its daemon.

    Args:
        directory: Folder of the settings and the log.
        name: Name of the program.
        settings: Settings of the daemon.

    Returns:
        The program; it prints addresses for callers, operators and peers.
    """
    path = write_settings(directory, name, settings)
    module = 'camphorlink.cli.entry'
    return Program(directory, name, module, ['--settings', str(path)])


def standin_program(
    directory: str | Path,
    name: str,
    kind: str,
    settings: Mapping[str, Any],
) -> Program:
    """Writes the settings of a stand-in and prepares its process.

    Args:
        directory: Folder of the settings and the log.
        name: Name of the program.
        kind: ``backend`` or ``log-service``.
        settings: Settings of the stand-in.

    Returns:
        The program; it prints one address.
    """
    path = write_settings(directory, name, settings)
    module = 'camphorlink.cli.standin'
    return Program(directory, name, module, [kind, '--settings', str(path)])
