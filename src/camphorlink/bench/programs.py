"""Starts daemons and stand-ins as processes of their own, for measurements.

Every process is ended by its id when its context closes, and each wait has a
bound.
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
    """A program did not start; its log tells why."""


class Program:
    """One process of ``python -m MODULE``; its first line says where.

    Attributes:
        name: Name of the program in its directory.
        addresses: What the program printed when it served.
        process: The process, while the context is open.
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
        """Prepares a program whose log goes to ``directory``."""
        self.name = name
        self.log_path = Path(directory) / f'{name}.log'
        self.addresses: dict[str, str] = {}
        self._environment = environment or {}
        self._command = [sys.executable, '-m', module, *arguments]

    def __enter__(self) -> 'Program':
        """Starts the process and waits for its first line."""
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
        """Ends the process, if it runs."""
        if self.process.poll() is None:
            self.stop()
        if self.process.stdout is not None:
            self.process.stdout.close()

    @property
    def address(self) -> str:
        """IP number and port of a stand-in."""
        return self.addresses['address']

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> int:
        """Ends the process with SIGTERM and returns its exit code."""
        self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def kill(self) -> int:
        """Ends the process at once, as a VM that dies."""
        self.process.kill()
        return self.process.wait(STOP_TIMEOUT_S)

    def log(self) -> str:
        """Returns what the process has logged so far."""
        return self.log_path.read_text()

    def _read_first_line(self) -> bytes:
        out = self.process.stdout
        if out is None or not select.select([out], [], [], START_TIMEOUT_S)[0]:
            raise ProgramError(f'{self.name} says nothing:\n{self.log()}')
        line = out.readline()
        if not line:
            raise ProgramError(f'{self.name} did not start:\n{self.log()}')
        return line


def write_settings(
    directory: str | Path,
    name: str,
    document: Mapping[str, Any],
) -> Path:
    """Writes a settings file and returns its path."""
    path = Path(directory) / f'{name}.json'
    path.write_text(json.dumps(document))
    return path


def entry_program(
    directory: str | Path,
    name: str,
    settings: Mapping[str, Any],
) -> Program:
    """Prepares an entry VM; it has addresses for callers, operators, peers."""
    path = write_settings(directory, name, settings)
    module = 'camphorlink.cli.entry'
    return Program(directory, name, module, ['--settings', str(path)])


def standin_program(
    directory: str | Path,
    name: str,
    kind: str,
    settings: Mapping[str, Any],
) -> Program:
    """Prepares a stand-in of the kind ``backend`` or ``log-service``."""
    path = write_settings(directory, name, settings)
    module = 'camphorlink.cli.standin'
    return Program(directory, name, module, [kind, '--settings', str(path)])
