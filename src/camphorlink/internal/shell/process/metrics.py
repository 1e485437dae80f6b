"""Counters and histograms of one entry VM, in a registry of its own."""

from aioprometheus import Counter, Histogram, Registry, render

#: Upper bounds of the response-time histogram, in seconds.
RESPONSE_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """What an entry VM counts; each refusal and retry reason has its own."""

    def __init__(self) -> None:
        """Registers every family, so that each is there from the start."""
        self._registry = Registry()
        self.starts = self._counter('starts_total', 'Tasks sent.')
        self.answers = self._counter('answers_total', 'Answers by outcome.')
        self._by_reason = {
            name: self._counter(f'{name}_total', f'{name} by reason.'.title())
            for name in ('refusals', 'failures', 'retries')
        }
        self.response_s = Histogram(
            'camphorlink_response_seconds',
            'Time from a submission to its answer.',
            buckets=list(RESPONSE_BUCKETS_S),
            registry=self._registry,
        )

    def count_reason(self, family: str, reason: str) -> None:
        """Adds one to the counter of a reason."""
        self._by_reason[family].inc({'reason': reason})

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Writes all families in the format asked for.

        Args:
            accept: Values of the request's ``Accept`` headers.

        Returns:
            Body and headers of the answer.
        """
        return render(self._registry, accept)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f'camphorlink_{name}', doc, registry=self._registry)
