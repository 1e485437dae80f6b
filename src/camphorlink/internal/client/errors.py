"""Internal errors of the client, which callers see as outcome errors."""

from camphorlink.errors import CamphorlinkError


class NoAnswerError(CamphorlinkError):
    """A request got no valid answer from an entry VM.

    Attributes:
        may_have_arrived: Whether the entry VM may have received the request.
    """

    def __init__(self, reason: str, may_have_arrived: bool) -> None:
        """Stores the reason and whether the request may have arrived."""
        super().__init__(reason)
        self.may_have_arrived = may_have_arrived


class UnreadableAnswerError(NoAnswerError):
    """A response is not a valid answer, such as a proxy's error page.

    A truncated answer of an entry VM raises this error too.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Stores the HTTP status and the reason why decoding failed."""
        super().__init__(f'status {status}: {reason}', may_have_arrived=True)
        self.status = status
