"""Records why each submission was treated as it was."""

from camphorlink.internal.core.process.messages import Explain, Ticket
from camphorlink.internal.core.request.job import Answer
from camphorlink.internal.core.request.slot_selector import SlotChoice


class DecisionRecorder:
    """Collects the explanations of an entry VM's decisions.

    Attributes:
        are_placements_recorded: Whether each placement is explained; the other
            decisions always are.
    """

    def __init__(self) -> None:
        """Starts with nothing decided."""
        self.are_placements_recorded = True
        self._effects: list[Explain] = []

    def take_effects(self) -> list[Explain]:
        """Hands over what was collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def record(
        self,
        submission_id: str,
        event: str,
        **facts: str | float | None,
    ) -> None:
        """Records a decision with its reasons."""
        self._effects.append(Explain(submission_id, event, facts))

    def record_refusal(self, submission_id: str, refusal: Answer) -> None:
        """Records why a submission was refused."""
        reason = refusal.reason
        self.record(
            submission_id,
            'refused',
            reason=reason.value if reason else None,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
        )

    def note_start(
        self, ticket: Ticket, choice: SlotChoice, now: float
    ) -> None:
        """Records where a task was placed."""
        if not self.are_placements_recorded:
            return
        facts: dict[str, str | float | None] = {
            'position': ticket.position,
            'backend': ticket.backend,
            'why': choice.why,
            'expected_s': choice.finish_s - now,
        }
        self._effects.append(Explain(ticket.submission_id, 'placed', facts))
