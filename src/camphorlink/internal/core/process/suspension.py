"""Detects that this process was suspended or blocked for too long.

It answers VMs that freeze and wake up, and slow VMs on which one pass of the
event loop takes about a second.  Meanwhile peers considered this VM lost and
gave its work to others; what it knew before no longer permits any command.
"""

#: Time without activity after which all permissions are void, in seconds: the
#: time after which peers consider a silent VM lost.  They give its tasks to
#: other cells 0.55 s later at the earliest.
SUSPENSION_LIMIT_S = 0.9


class SuspensionDetector:
    """Detects a gap between two activities of a process.

    It needs a clock that includes suspended time.
    """

    def __init__(self, now: float) -> None:
        """Records the first activity, in seconds."""
        self._active_s = now

    def has_been_suspended(self, now: float) -> bool:
        """Returns whether the time since the last activity is too long.

        Args:
            now: Time of this activity, in seconds.
        """
        gap_s = now - self._active_s
        self._active_s = now
        return gap_s >= SUSPENSION_LIMIT_S
