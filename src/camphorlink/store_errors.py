"""Failures of the platform's store, and of what is kept there."""

from camphorlink.errors import CamphorlinkError


class JobRecordError(CamphorlinkError):
    """A record of the job log, or a snapshot, is not of a known form."""


class StoreError(CamphorlinkError):
    """The platform's store did not do what it was asked to."""


class StoreRefusedError(StoreError):
    """The store said that it did nothing; the call may be repeated."""


class StoreUnansweredError(StoreError):
    """A call got no answer: it may have been done, or may be done later."""


class StoreTrimmedError(StoreError):
    """The records asked for are no longer kept.

    Attributes:
        first_offset: Offset of the oldest record that is.
    """

    def __init__(self, first_offset: int) -> None:
        """Keep where reading can go on."""
        super().__init__(f'records before {first_offset} are gone')
        self.first_offset = first_offset


class JobNotStoredError(CamphorlinkError):
    """A record was never handed to the store, and never will be."""
