"""Interfaces to the platform on which an entry VM runs durable jobs.

``camphorlink.platform`` implements them for the users' platform.  The
implementations make no decisions, return within the timeout of a call and
never retry it.
"""

import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    RenewalAnswer,
    RenewLeases,
    ReportedClock,
    StartAnswer,
    StartRun,
    StopRun,
)
from camphorlink.internal.core.version.zone_drains import DrainRecord


class LogPage(NamedTuple):
    """Records that were read from a topic.

    Attributes:
        records: Consecutive records from the requested offset.
        end_offset: Offset that the next appended record gets.
    """

    records: tuple[bytes, ...]
    end_offset: int


class AppendId(NamedTuple):
    """Identifies an append, so that the store executes retries only once.

    Attributes:
        producer: Name of the writer.
        epoch: Epoch of the writer; the store refuses appends with a lower
            epoch than the highest that it has seen.
        sequence: Number of the append in the epoch.
    """

    producer: str
    epoch: int
    sequence: int


class KeyedRecord(NamedTuple):
    """Newest record of a key in a keyed topic.

    Attributes:
        key: The key.
        content: Value of the key.
    """

    key: str
    content: bytes


class LogPort(Protocol):
    """Topics of the platform's store; only one partition of each is used."""

    async def append(
        self,
        topic: str,
        records: Sequence[bytes],
        timeout_s: float,
        append_id: AppendId | None = None,
    ) -> int:
        """Appends records atomically.

        Args:
            topic: Name of the topic.
            records: The records.
            timeout_s: Timeout of the call, in seconds.
            append_id: Identifier that makes retries idempotent, or ``None``.

        Returns:
            The offset of the first record.

        Raises:
            StoreRefusedError: The store did nothing.
            StoreUnansweredError: The append may have been executed, or may
                still be executed later.
        """

    async def read(
        self,
        topic: str,
        offset: int,
        timeout_s: float,
        wait_s: float = 0,
    ) -> LogPage:
        """Reads records from an offset.

        Args:
            topic: Name of the topic.
            offset: Offset of the first record to read.
            timeout_s: Timeout of the call, in seconds.
            wait_s: How long the store waits for a record if there is none
                yet, in seconds.

        Raises:
            StoreTrimmedError: The record at the offset was deleted.
            StoreError: There was no usable answer.
        """

    async def read_newest(
        self,
        topic: str,
        timeout_s: float,
    ) -> tuple[list[KeyedRecord], int]:
        """Returns the newest record of each key and the topic's end offset.

        Raises:
            StoreError: There was no usable answer.
        """

    def encode_keyed(self, key: str, content: bytes) -> bytes:
        """Encodes a record that sets a key; empty content deletes the key."""


class BackendPort(Protocol):
    """Sends commands to back ends.

    A missing answer is returned as a verdict and never raised as an error.
    """

    async def start(self, command: StartRun) -> StartAnswer:
        """Commands a back end to start a run."""

    async def stop(self, command: StopRun) -> bool:
        """Commands a back end to stop a run; returns whether it confirmed."""

    async def renew_leases(self, command: RenewLeases) -> RenewalAnswer:
        """Lists a back end's runs and renews their lease if requested."""


class Queue(NamedTuple):
    """A queue that callers submit jobs to.

    Attributes:
        name: Name of the queue.
        host: Value of the Host header of its requests, empty for any.
        prefix: Prefix of the paths of its jobs.
        service: Service whose back ends run its jobs.
        priority: Priority of its jobs; 0 is the highest.
        max_attempts: Number of failed runs of one task that fail a job.
        slack_factor: Allowed duration of a job, as a multiple of the estimate
            of its critical path.
        target_ms: Time added to that duration for the response time
            objective, in ms.
        needs_advice: Whether a policy selects the back ends for its jobs.
        share: Part of the processor time started in a cell that the queue gets
            at least while it has waiting tasks there, from 0 to 1, or ``None``.
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
    share: float | None = None


class JobConfig(NamedTuple):
    """A version of the configuration.

    Attributes:
        version: Number of the version; it increases with each change.
        queues: All queues.
        max_body_bytes: Longest allowed body of a request, in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int


class DirectoryPort(Protocol):
    """Decodes records that the platform and the operators publish.

    Attributes:
        config_topic: Topic of the configuration and of zone drains.
        backends_topic: Topic of the list of back ends.
        counts: Number of skipped entries by their kind; an invalid version
            of the configuration counts as ``config``.
        clock_by_id: The clock that each back end has last reported.
    """

    config_topic: str
    backends_topic: str
    counts: collections.Counter[str]
    clock_by_id: dict[str, ReportedClock]

    def decode_config(self, records: Sequence[bytes]) -> JobConfig | None:
        """Returns the last valid configuration in records, or ``None``."""

    def decode_drains(
        self, records: Sequence[bytes]
    ) -> Mapping[str, DrainRecord]:
        """Returns the newest record about the drain of each zone."""

    def decode_backends(
        self,
        records: Sequence[bytes],
    ) -> Mapping[str, ListedBackend | None]:
        """Returns back ends by identifier, ``None`` for removed ones."""
