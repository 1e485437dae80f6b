"""Claims the keys of one stream by batched appends and reads.

At most one append or read is in flight.  An appended claim is resolved only
after all records before it were read.  If no other process appended since the
last read, the offset of the append proves this and no read is needed.
"""

from collections.abc import Callable
from typing import NamedTuple

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.claim_index import ClaimIndex
from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    Claim,
    encode_claim,
)
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.reasons import Reason

MAX_BATCH = 400
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0


class ClaimRequest(NamedTuple):
    """A request of an entry VM to claim a key.

    Attributes:
        key: The caller's key.
        submission_id: Text form of the identifier to bind the key to.
        issued_ms: Time when the caller first used the key, epoch ms.
        deadline_s: Core time after which the requester stops waiting.
        requester: Process to which the result is sent.
    """

    key: CallerKey
    submission_id: str
    issued_ms: int
    deadline_s: float
    requester: Home


class ClaimResult(NamedTuple):
    """The result of a claim request.

    Attributes:
        request: The request.
        winner: Identifier that the key is bound to, or ``None``.
        reason: Why there is no winner, or ``None`` if there is one.
    """

    request: ClaimRequest
    winner: str | None
    reason: Reason | None = None


OnClaimResult = Callable[[ClaimResult], None]


class ClaimStream:
    """Claims keys in one stream and reports the result of each request."""

    def __init__(self, name: str, on_result: OnClaimResult) -> None:
        """Creates the state of a stream that has not been read yet."""
        self.name = name
        self.index = ClaimIndex()
        self.is_busy = False
        self.failures = 0
        self.retry_at_s = 0.0
        self._on_result = on_result
        self._requests_by_key: dict[CallerKey, list[ClaimRequest]] = {}
        self._batch: list[Claim] = []
        self._batch_number = 0
        self._must_read = True

    @property
    def has_requests(self) -> bool:
        """Whether any request waits for its result."""
        return bool(self._requests_by_key)

    @property
    def needs_append(self) -> bool:
        """Whether the next step is an append, which uses the append budget."""
        return self.has_requests and not self._must_read

    def request(self, request: ClaimRequest) -> None:
        """Adds a claim request; reports its result at once if it is known."""
        if self._report_if_resolved(request):
            return
        requests = self._requests_by_key.setdefault(request.key, [])
        if not any(_is_duplicate(request, other) for other in requests):
            requests.append(request)

    def next_step(self, now: float) -> messages.Effect | None:
        """Returns the next read or append to send, or ``None``."""
        self._report_expired(now)
        if self.is_busy or now < self.retry_at_s or not self.has_requests:
            return None
        if self._must_read:
            self.is_busy = True
            return messages.ReadClaims(self.name, self.index.next_offset or 0)
        self._report_resolved()
        return self._next_append()

    def _next_append(self) -> messages.Effect | None:
        requests = [
            requests_of_key[0]
            for requests_of_key in self._requests_by_key.values()
        ]
        self._batch = [
            Claim(request.key, request.submission_id)
            for request in requests[:MAX_BATCH]
        ]
        if not self._batch:
            return None
        self.is_busy = True
        self._batch_number += 1
        return messages.AppendClaims(
            self.name,
            self._batch_number,
            tuple(encode_claim(claim) for claim in self._batch),
        )

    def handle_appended(
        self,
        message: messages.ClaimsAppended,
        wall_s: float,
    ) -> None:
        """Handles an acknowledged append.

        If other records precede the batch, they are read before its requests
        are resolved.
        """
        if message.batch != self._batch_number or not self.is_busy:
            return
        self.is_busy = False
        self.failures = 0
        if message.first_offset == self.index.next_offset:
            self.index.fold_own(self._batch, message.first_offset, wall_s)
            self._report_resolved()
        else:
            self._must_read = True

    def handle_failure(self, now: float, *, must_read: bool) -> None:
        """Schedules a retry after a failed append or read.

        An unanswered append is resolved by reading the stream.  If it did not
        take effect, the same claims are appended again; this is idempotent,
        because a second record with the same identifier changes nothing.
        """
        self.is_busy = False
        self._must_read = self._must_read or must_read
        delay_s = min(MAX_RETRY_S, MIN_RETRY_S * 2**self.failures)
        self.failures += 1
        self.retry_at_s = now + delay_s

    def handle_read(self, message: messages.ClaimsRead, wall_s: float) -> None:
        """Adds the records of a read; resolves requests at the stream's end."""
        self.is_busy = False
        self.failures = 0
        self.index.fold_page(
            message.records,
            message.earliest_offset,
            wall_s,
        )
        position = self.index.next_offset or 0
        self._must_read = position < message.next_offset
        if not self._must_read:
            self._report_resolved()

    def _report_resolved(self) -> None:
        for key, requests in tuple(self._requests_by_key.items()):
            unresolved = [
                request
                for request in requests
                if not self._report_if_resolved(request)
            ]
            if unresolved:
                self._requests_by_key[key] = unresolved
            else:
                self._requests_by_key.pop(key)

    def _report_if_resolved(self, request: ClaimRequest) -> bool:
        """Reports the result of a request if it is known; returns whether."""
        winner = self.index.winner(request.key)
        if self.index.is_expired(request.key, request.issued_ms):
            self._on_result(ClaimResult(request, None, Reason.KEY_EXPIRED))
        elif winner is None:
            return False
        else:
            self._on_result(ClaimResult(request, winner))
        return True

    def _report_expired(self, now: float) -> None:
        for key, requests in tuple(self._requests_by_key.items()):
            if max(request.deadline_s for request in requests) > now:
                continue
            for request in self._requests_by_key.pop(key):
                unresolved_result = ClaimResult(
                    request, None, Reason.KEY_UNRESOLVED
                )
                self._on_result(unresolved_result)


def _is_duplicate(request: ClaimRequest, other: ClaimRequest) -> bool:
    return (request.submission_id, request.requester) == (
        other.submission_id,
        other.requester,
    )
