"""Errors between the client's parts; callers get an outcome instead."""

from camphorlink.errors import CamphorlinkError


class NoAnswerError(CamphorlinkError):
    """A request to an entry VM brought no answer of one.

    Attributes:
        may_have_arrived: Whether the entry VM may have got the request.
    """

    def __init__(self, reason: str, may_have_arrived: bool) -> None:
        """Keep whether anything can have been sent."""
        super().__init__(reason)
        self.may_have_arrived = may_have_arrived


class UnreadableAnswerError(NoAnswerError):
    """What answered is no entry VM: a proxy's page, or half an answer."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status code, and why the answer can't be read."""
        super().__init__(f'status {status}: {reason}', may_have_arrived=True)
        self.status = status
