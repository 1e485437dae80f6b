"""Keeps recently sent frames until they can no longer be lost.

A channel that breaks may lose the frames that were sent shortly before.  All
messages are idempotent, so these frames are sent again on the next channel.
"""

import collections

#: Frames sent within this time before a channel broke, in seconds, may have
#: been lost; those sent within this time after it wait for the next channel.
RESEND_WINDOW_S = 0.3
#: Largest number of frames that are kept for one peer.
MAX_FRAMES = 500

_Frames = collections.deque[tuple[float, bytes]]


class Outbox:
    """Recently sent frames by member; all times are in seconds."""

    def __init__(self) -> None:
        """Creates an empty outbox."""
        self._frames_by_member: dict[str, _Frames] = {}
        self._lost_s_by_member: dict[str, float] = {}

    def add(self, member: str, frame: bytes, now: float) -> None:
        """Records a frame that is sent now, or as soon as a channel opens."""
        frames = self._frames_by_member.setdefault(
            member, collections.deque(maxlen=MAX_FRAMES)
        )
        frames.append((now, frame))
        if member not in self._lost_s_by_member:
            while now - frames[0][0] > RESEND_WINDOW_S:
                frames.popleft()

    def record_loss(self, member: str, now: float) -> None:
        """Records that the channel to a member broke."""
        self._lost_s_by_member[member] = now

    def may_resend(self, member: str, now: float) -> bool:
        """Returns whether the channel broke just now and may be reopened."""
        lost_s = self._lost_s_by_member.get(member)
        return lost_s is not None and now - lost_s < RESEND_WINDOW_S

    def pop_lost(self, member: str) -> list[bytes]:
        """Removes and returns the frames that the last channel may have lost."""
        lost_s = self._lost_s_by_member.pop(member, None)
        if lost_s is None:
            return []
        frames = self._frames_by_member.pop(member, ())
        return [
            frame
            for sent_s, frame in frames
            if lost_s - sent_s < RESEND_WINDOW_S
        ]

    def forget(self, member: str) -> None:
        """Removes all frames for a member that is lost."""
        self._frames_by_member.pop(member, None)
        self._lost_s_by_member.pop(member, None)
