"""Exception tree: every failure that camphorlink reports has a type here.

Catch ``CamphorlinkError`` for all of them.  The three outcome errors tell a
caller what may have happened to its job, which decides what is safe next:
``NotRunError`` allows a new submission, ``JobFailedError`` needs a look at
the fate of each task, ``OutcomeUnknownError`` must not be answered with a
new submission of work that is not idempotent.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Fault(NamedTuple):
    """One fault of a checked document.

    Attributes:
        path: JSON path of the faulty value, such as ``$.listen.port``.
        found: The value as it was found, in short.
        expected: What would be right there.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f'{self.path}: found {self.found}; {self.expected}'


class CamphorlinkError(Exception):
    """Base of all errors of this package."""


class DocumentError(CamphorlinkError):
    """A JSON document (settings, manifest, job) does not pass its check."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Keep all faults, so that one run shows everything to mend."""
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class SettingsError(DocumentError):
    """The settings of a program do not pass their check."""


class ManifestError(DocumentError):
    """A manifest does not pass its check."""


class JobError(DocumentError):
    """A submitted job does not pass its check; nothing was started.

    Attributes:
        reason: Code of the refusal that its caller gets.
    """

    reason = 'bad-job'


class JobSyntaxError(JobError):
    """The body of a submission is no JSON in UTF-8, or nested too deep."""

    reason = 'bad-json'


class IdentifierError(CamphorlinkError):
    """A text is not a submission identifier of camphorlink."""


class LogServiceError(CamphorlinkError):
    """The platform's log service did not give a usable answer."""


class AppendUncertainError(LogServiceError):
    """An append got no answer: the records may or may not be in the stream.

    Read the stream to find out; never append again on this error alone.
    """


class PublishUncertainError(CamphorlinkError):
    """It can't be told whether a configuration record was appended.

    It may still land.  Look at the history before you write another.
    """

    def __init__(self, nonce: str) -> None:
        """Keep the nonce by which the record can be found."""
        super().__init__(f'record {nonce} may or may not be in the stream')
        self.nonce = nonce


class PeerMessageError(CamphorlinkError):
    """A frame from another entry VM is no message of a known kind."""


class OutcomeError(CamphorlinkError):
    """Base of the errors that end a submission without a whole answer.

    Attributes:
        reason: Code of ``docs/INTERFACE.md``.
        next_step: What to do next, in one line.
        fates: Fate of each task by its id, may be empty.
        retry_after_s: Seconds to wait before a new submission, or ``None``.
        submission_id: The identifier or key, to ask again with.
        detail: For a person, may be empty.
        faults: Of a job that does not pass its check.
    """

    def __init__(
        self,
        reason: str,
        next_step: str,
        fates: Mapping[str, str],
        retry_after_s: float | None = None,
    ) -> None:
        """Keep the reason's code, the advice and the fate of each task."""
        super().__init__(f'{reason}: {next_step}')
        self.reason = reason
        self.next_step = next_step
        self.fates = dict(fates)
        self.retry_after_s = retry_after_s
        self.submission_id = ''
        self.detail = ''
        self.faults: tuple[Mapping[str, str], ...] = ()


class NotRunError(OutcomeError):
    """No task of the submission was started, and none ever will be."""


class JobFailedError(OutcomeError):
    """The job can't complete; ``fates`` tells what ran."""


class OutcomeUnknownError(OutcomeError):
    """The job may have run in whole or in part; nobody can tell."""
