"""Dispatcher for sub-second tasks, with embeddable coordination parts.

The stable interface consists of the errors exported here, the client in
``camphorlink.client`` and the parts for embedding in ``camphorlink.parts``.
Everything below ``camphorlink.internal`` may change between releases.
"""

from camphorlink.errors import (
    CamphorlinkError,
    JobFailedError,
    NotRunError,
    OutcomeUnknownError,
)

__all__ = (
    'CamphorlinkError',
    'JobFailedError',
    'NotRunError',
    'OutcomeUnknownError',
)
