"""Checks the shares of queues in a version of the configuration.

Shares that add up to more than the whole cannot all be kept under overload, so
that an operator must learn of them before the first burst.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

#: Tolerance of the sum of shares for decimal fractions such as 0.1 and 0.2.
ROUNDING = 1e-9


class InvalidShareError(ValueError):
    """The share of a queue is out of its range."""


class QueueShare(NamedTuple):
    """The share of a queue.

    Attributes:
        queue: Name of the queue.
        service: Service whose back ends run its jobs.
        share: Guaranteed part of the processor time that is started, from 0
            to 1, or ``None`` for a queue without a share of its own.
    """

    queue: str
    service: str
    share: float | None


def check_share(queue: str, share: object) -> float | None:
    """Returns the share of a queue, or ``None`` if it is missing.

    Args:
        queue: Name of the queue.
        share: Value of the setting, of any type.

    Raises:
        InvalidShareError: It is not a number from 0 to 1.
    """
    if share is None:
        return None
    if isinstance(share, bool) or not isinstance(share, int | float):
        raise InvalidShareError(f'queue {queue}: share {share!r} is no number')
    if not 0 <= share <= 1:
        raise InvalidShareError(f'queue {queue}: share {share} is not in 0..1')
    return float(share)


def check_sums(shares: Iterable[QueueShare]) -> None:
    """Checks that the shares of each service add up to 1 at most.

    Raises:
        InvalidShareError: They add up to more; names the queue that exceeds 1.
    """
    shares_by_service: dict[str, list[float]] = {}
    for queue, service, share in shares:
        known = shares_by_service.setdefault(service, [])
        known.append(share or 0)
        total = math.fsum(known)
        if total > 1 + ROUNDING:
            raise InvalidShareError(
                f'queue {queue}: shares of {service} add up to {total:.3g}'
            )
