"""Checks the settings of queues in a version of the configuration.

An operator may publish an invalid version while a wave of jobs is queued.  It
must not change the order of these jobs, so that the version as a whole is
rejected and the last valid one stays in force.
"""

#: Lowest priority of a queue; 0 is the highest.  Load reports have a row for
#: each priority, so that the number of priorities bounds their size.  Lower ones
#: count as this one: rejecting the version would hold up all its other changes.
MAX_PRIORITY = 9


class InvalidQueueError(ValueError):
    """A setting of a queue is out of its range.

    Attributes:
        queue: Name of the queue.
        fault: Description of the invalid setting.
    """

    def __init__(self, queue: str, fault: str) -> None:
        """Stores the queue and the fault for the log line."""
        super().__init__(f'queue {queue}: {fault}')
        self.queue = queue
        self.fault = fault


def check_priority(queue: str, priority: object) -> int:
    """Returns the priority of a queue.

    Args:
        queue: Name of the queue.
        priority: Value of the setting, of any type.

    Raises:
        InvalidQueueError: It is not a whole number from 0 on.
    """
    if isinstance(priority, bool) or not isinstance(priority, int | float):
        raise InvalidQueueError(queue, f'priority {priority!r} is not a number')
    # The platform may write whole numbers as 1.0.
    if not float(priority).is_integer():
        raise InvalidQueueError(queue, f'priority {priority} is not whole')
    if priority < 0:
        raise InvalidQueueError(queue, f'priority {priority} is negative')
    return int(min(priority, MAX_PRIORITY))
