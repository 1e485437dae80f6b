"""Records why each submission was treated as it was."""

from camphorlink.internal.core.process.messages import Explain, Ticket
from camphorlink.internal.core.request.job import Answer
from camphorlink.internal.core.request.placement import Choice


class Decisions:
    """Collects the explanations of an entry VM's decisions.

    Attributes:
        is_listened_to: Whether each placement is explained; the other
            decisions always are.
    """

    def __init__(self) -> None:
        """Starts with nothing decided."""
        self.is_listened_to = True
        self._effects: list[Explain] = []

    def take_effects(self) -> list[Explain]:
        """Hands over what was collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def note(
        self,
        submission_id: str,
        event: str,
        **facts: str | float | None,
    ) -> None:
        """Records a decision with its reasons."""
        self._effects.append(Explain(submission_id, event, facts))

    def note_refusal(self, submission_id: str, refusal: Answer) -> None:
        """Records why a submission was refused."""
        reason = refusal.reason
        self.note(
            submission_id,
            'refused',
            reason=reason.value if reason else None,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
        )

    def note_start(self, ticket: Ticket, choice: Choice, now: float) -> None:
        """Records where a task was placed."""
        if not self.is_listened_to:
            return
        facts: dict[str, str | float | None] = {
            'position': ticket.position,
            'backend': ticket.backend,
            'why': choice.why,
            'expected_s': choice.finish_s - now,
        }
        self._effects.append(Explain(ticket.submission_id, 'placed', facts))
