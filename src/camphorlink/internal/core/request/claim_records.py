"""Claims of callers' keys as records of the log service.

A claim says: the submission with this identifier is the one that the key
stands for.  The first claim of a key in the order of offsets wins.
"""

import zlib
from collections.abc import Iterable
from typing import Any, NamedTuple

from camphorlink.internal.core.request.identifiers import Home

#: Streams that the claims are spread over, so that no VM reads all of them.
PARTITIONS = 8
STREAM_PREFIX = 'claims-'
_KIND = 'claim'


class CallerKey(NamedTuple):
    """A key that a caller has chosen for a submission.

    Attributes:
        service: Service that the key belongs to.
        name: The caller's own name, such as a booking number.
    """

    service: str
    name: str


class Claim(NamedTuple):
    """What one record says.

    Attributes:
        key: The caller's key.
        submission_id: Text form of the identifier that it is to stand for.
    """

    key: CallerKey
    submission_id: str


class StoredClaim(NamedTuple):
    """A record of a claims stream as it was read.

    Attributes:
        offset: Position in the stream.
        appended_ms: Time of the append by the log service's clock.
        record: The record, unchecked.
    """

    offset: int
    appended_ms: int
    record: Any


def stream_name(key: CallerKey) -> str:
    """Returns the stream that all claims of a key go to."""
    number = zlib.crc32(f'{key.service}/{key.name}'.encode()) % PARTITIONS
    return f'{STREAM_PREFIX}{number:02d}'


def choose_claimer(stream: str, homes: Iterable[Home], default: Home) -> Home:
    """Returns the process that writes a stream: the highest random weight.

    Two processes with different views may choose differently.  That costs
    messages and reads, and never safety: the order of offsets decides.
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
    """Writes a claim as a JSON record."""
    return {
        'kind': _KIND,
        'service': claim.key.service,
        'key': claim.key.name,
        'submission_id': claim.submission_id,
    }


def decode_claim(record: Any) -> Claim | None:
    """Reads a record; one that is no claim is passed over."""
    if not isinstance(record, dict) or record.get('kind') != _KIND:
        return None
    texts = [record.get(name) for name in ('service', 'key', 'submission_id')]
    service, name, submission_id = texts
    if not all(isinstance(text, str) for text in texts):
        return None
    return Claim(CallerKey(str(service), str(name)), str(submission_id))
