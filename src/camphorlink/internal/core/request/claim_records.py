"""Encodes claims of callers' keys as records of the log service.

A claim binds a key to a submission identifier.  The first claim of a key in
the order of offsets wins.
"""

import zlib
from collections.abc import Iterable
from typing import Any, NamedTuple

from camphorlink.internal.core.request.identifiers import Home

#: Claims are partitioned over streams so that no VM reads all of them.
PARTITIONS = 8
STREAM_PREFIX = 'claims-'
_KIND = 'claim'


class CallerKey(NamedTuple):
    """A key that a caller chose for a submission.

    Attributes:
        service: Service that the key belongs to.
        name: Text chosen by the caller, such as a booking number.
    """

    service: str
    name: str


class Claim(NamedTuple):
    """A claim of a key for a submission identifier.

    Attributes:
        key: The caller's key.
        submission_id: Text form of the identifier that the key is bound to.
    """

    key: CallerKey
    submission_id: str


class StoredClaim(NamedTuple):
    """A record read from a claims stream.

    Attributes:
        offset: Position in the stream.
        appended_ms: Time of the append by the log service's clock, epoch ms.
        record: The decoded JSON value, not yet validated.
    """

    offset: int
    appended_ms: int
    record: Any


def stream_name(key: CallerKey) -> str:
    """Returns the name of the stream that holds all claims of a key."""
    number = zlib.crc32(f'{key.service}/{key.name}'.encode()) % PARTITIONS
    return f'{STREAM_PREFIX}{number:02d}'


def choose_claimer(stream: str, homes: Iterable[Home], default: Home) -> Home:
    """Returns the process that writes a stream, by rendezvous hashing.

    Processes with different member views may choose different writers.  This
    costs extra messages and reads but does not affect safety, because the
    order of offsets decides which claim wins.
    """
    weight_by_home = {
        home: zlib.crc32(f'{home}/{stream}'.encode()) for home in homes
    }
    return max(
        weight_by_home,
        key=lambda home: (weight_by_home[home], home),
        default=default,
    )


def encode_claim(claim: Claim) -> dict[str, str]:
    """Encodes a claim as a JSON record."""
    return {
        'kind': _KIND,
        'service': claim.key.service,
        'key': claim.key.name,
        'submission_id': claim.submission_id,
    }


def decode_claim(record: Any) -> Claim | None:
    """Decodes a record; returns ``None`` if it is not a claim."""
    if not isinstance(record, dict) or record.get('kind') != _KIND:
        return None
    texts = [record.get(name) for name in ('service', 'key', 'submission_id')]
    service, name, submission_id = texts
    if not all(isinstance(text, str) for text in texts):
        return None
    return Claim(CallerKey(str(service), str(name)), str(submission_id))
