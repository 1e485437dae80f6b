"""Records the decisions on submissions, with their reasons, for logging."""

from camphorlink.internal.core.process.messages import Explain, Ticket
from camphorlink.internal.core.request.job import Answer
from camphorlink.internal.core.request.slot_selector import SlotChoice


class DecisionRecorder:
    """Collects the decisions of an entry VM on submissions.

    Attributes:
        are_placements_recorded: Whether the placement of each task is
            recorded.  All other decisions are always recorded.
    """

    def __init__(self) -> None:
        """Creates a recorder without decisions."""
        self.are_placements_recorded = True
        self._effects: list[Explain] = []

    def take_effects(self) -> list[Explain]:
        """Returns the decisions recorded since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def record(
        self,
        submission_id: str,
        event: str,
        **facts: str | float | None,
    ) -> None:
        """Records a decision on a submission.

        Args:
            submission_id: Text form of the identifier.
            event: Name of the decision.
            **facts: Reasons for the decision and its details.
        """
        self._effects.append(Explain(submission_id, event, facts))

    def record_refusal(self, submission_id: str, refusal: Answer) -> None:
        """Records the refusal of a submission."""
        reason = refusal.reason
        self.record(
            submission_id,
            'refused',
            reason=reason.value if reason else None,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
        )

    def record_start(
        self, ticket: Ticket, choice: SlotChoice, now: float
    ) -> None:
        """Records the placement of a task on a back end."""
        if not self.are_placements_recorded:
            return
        facts: dict[str, str | float | None] = {
            'position': ticket.position,
            'backend': ticket.backend,
            'why': choice.why,
            'expected_s': choice.finish_s - now,
        }
        self._effects.append(Explain(ticket.submission_id, 'placed', facts))
