"""Exceptions of camphorlink; ``CamphorlinkError`` is the base of all.

The three outcome errors say whether a job may have run, which decides
whether a retry is safe.  After ``NotRunError`` a new submission is safe.
After ``JobFailedError`` the caller checks the outcome of each task.  After
``OutcomeUnknownError`` only idempotent work may be submitted again.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Fault(NamedTuple):
    """One validation fault of a JSON document.

    Attributes:
        path: JSON path of the invalid value, such as ``$.listen.port``.
        found: The invalid value, abbreviated.
        expected: Description of a valid value.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f'{self.path}: found {self.found}; {self.expected}'


class CamphorlinkError(Exception):
    """Base class of all errors of this package."""


class DocumentError(CamphorlinkError):
    """A JSON document (settings, manifest or job) is invalid."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Stores all faults, so that one run reports every one of them."""
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class SettingsError(DocumentError):
    """The settings of a program are invalid."""


class ManifestError(DocumentError):
    """A manifest is invalid."""


class JobError(DocumentError):
    """A submitted job is invalid; nothing was started.

    Attributes:
        reason: Refusal code in the answer to the caller.
    """

    reason = 'bad-job'


class JobSyntaxError(JobError):
    """The body of a submission is not JSON in UTF-8 or is nested too deep."""

    reason = 'bad-json'


class IdentifierError(CamphorlinkError):
    """A string is not a valid submission identifier."""


class LogServiceError(CamphorlinkError):
    """The platform's log service returned no usable answer."""


class AppendUncertainError(LogServiceError):
    """An append got no answer: the records may or may not be in the stream.

    Read the stream to find out.  A second append without that check may
    store the records twice.
    """


class PublishUncertainError(CamphorlinkError):
    """A configuration record may or may not have been appended.

    The append may still take effect later.  Check the history before writing
    another record.
    """

    def __init__(self, nonce: str) -> None:
        """Stores the nonce that identifies the record in the stream."""
        super().__init__(f'record {nonce} may or may not be in the stream')
        self.nonce = nonce


class PeerMessageError(CamphorlinkError):
    """A frame from another entry VM is not a message of a known kind."""


class OutcomeError(CamphorlinkError):
    """Base class of the errors of submissions without complete results.

    Attributes:
        reason: Reason code of ``docs/INTERFACE.md``.
        next_step: Advice on what to do next, in one line.
        fates: Outcome of each task by its id; may be empty.
        retry_after_s: Seconds to wait before a new submission, or ``None``.
        submission_id: Identifier or key with which to retry; empty if not
            known.
        detail: Explanation for people; may be empty.
        faults: Validation faults of an invalid job.
    """

    def __init__(
        self,
        reason: str,
        next_step: str,
        fates: Mapping[str, str],
        retry_after_s: float | None = None,
    ) -> None:
        """Stores the reason code, the advice and the outcome of each task."""
        super().__init__(f'{reason}: {next_step}')
        self.reason = reason
        self.next_step = next_step
        self.fates = dict(fates)
        self.retry_after_s = retry_after_s
        self.submission_id = ''
        self.detail = ''
        self.faults: tuple[Mapping[str, str], ...] = ()


class NotRunError(OutcomeError):
    """No task of the submission was started, and none will be."""


class JobFailedError(OutcomeError):
    """The job can't complete; ``fates`` has the outcome of each task."""


class OutcomeUnknownError(OutcomeError):
    """The job may have run completely, partly or not at all."""
