"""What a VM that runs durable jobs needs of the platform that it is on.

``camphorlink.platform`` implements these over the users' platform.  None of
them decides, waits beyond its call or repeats a call by itself.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    RenewalAnswer,
    RenewLeases,
    StartAnswer,
    StartRun,
    StopRun,
)


class LogPage(NamedTuple):
    """Records that were read from a topic.

    Attributes:
        records: In order, from the offset asked for.
        end_offset: Offset of the next record to come.
    """

    records: tuple[bytes, ...]
    end_offset: int


class AppendStamp(NamedTuple):
    """Makes an append happen once, however often it is repeated.

    Attributes:
        producer: Name of the writer.
        epoch: Its epoch; the store refuses lower ones later.
        sequence: Number of the append in the epoch.
    """

    producer: str
    epoch: int
    sequence: int


class KeyedRecord(NamedTuple):
    """The newest record of a key."""

    key: str
    content: bytes


class LogPort(Protocol):
    """Topics of the platform's store, each with one partition used."""

    async def append(
        self,
        topic: str,
        records: Sequence[bytes],
        timeout_s: float,
        stamp: AppendStamp | None = None,
    ) -> int:
        """Appends records, all or none; returns the offset of the first.

        Raises:
            StoreRefusedError: Nothing was done.
            StoreUnansweredError: It may have been done, or may be yet.
        """

    async def read(
        self,
        topic: str,
        offset: int,
        timeout_s: float,
        wait_s: float = 0,
    ) -> LogPage:
        """Reads from an offset; may wait for the first record.

        Raises:
            StoreTrimmedError: The offset is no longer kept.
            StoreError: There was no usable answer.
        """

    async def newest(
        self,
        topic: str,
        timeout_s: float,
    ) -> tuple[list[KeyedRecord], int]:
        """Reads the newest record of each key, and the end of the topic.

        Raises:
            StoreError: There was no usable answer.
        """

    def keyed(self, key: str, content: bytes) -> bytes:
        """Writes the record that sets a key; no content drops it."""


class BackendPort(Protocol):
    """Orders to back ends; a lost answer is a verdict, never an error."""

    async def start(self, order: StartRun) -> StartAnswer:
        """Orders to start a run."""

    async def stop(self, order: StopRun) -> bool:
        """Orders to stop a run; tells whether that was acknowledged."""

    async def hold(self, order: RenewLeases) -> RenewalAnswer:
        """Renews the lease and lists the runs."""


class Queue(NamedTuple):
    """A queue that callers submit jobs to.

    Attributes:
        name: Its name.
        host: Host that callers name, empty for any.
        prefix: Beginning of the paths of its jobs.
        service: Service whose back ends run its jobs.
        priority: 0 comes first.
        max_attempts: Failed runs of one task that fail a job.
        slack_factor: Times its longest chain of work that a job may take.
        target_ms: Time beyond that within which it is on time, in ms.
        needs_advice: Whether a policy tells which back ends may run its jobs.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int
    needs_advice: bool = False


class JobConfig(NamedTuple):
    """A version of the configuration.

    Attributes:
        version: Its number; later ones are higher.
        queues: All queues.
        max_body_bytes: Longest body of a request.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int


class DirectoryPort(Protocol):
    """Decodes what the platform and the operators publish."""

    config_topic: str
    backends_topic: str

    def config_of(self, records: Sequence[bytes]) -> JobConfig | None:
        """Returns the last configuration among records of its topic."""

    def backends_of(
        self,
        records: Sequence[bytes],
    ) -> Mapping[str, ListedBackend | None]:
        """Returns the entries among records, ``None`` for removed ones."""
