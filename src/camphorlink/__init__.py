"""Dispatcher for sub-second tasks, and the coordination parts inside it.

The names exported here are the stable surface: the client for callers and
the errors it raises.  The parts that other programs embed are exported by
``camphorlink.parts``.  Everything below ``camphorlink.internal`` may change
between releases.
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
