"""Counters, gauges and histograms of one entry VM, in a separate registry.

Counts are kept as plain integers and copied to the registry only when the
metrics are read, because the code that counts runs for every task.
"""

import collections
from collections.abc import Callable, Iterable
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.core.request.reasons import Reason

#: Upper bounds of the response-time histogram, in seconds.
RESPONSE_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
)  # fmt: skip
REASON_FAMILIES = ('refusals', 'failures', 'retries')


class _Family(NamedTuple):
    counter: Counter
    label: str
    count_by_value: collections.Counter[str]


class _LiveGauge(NamedTuple):
    gauge: Gauge
    read: Callable[[], float]


class Metrics:
    """Metrics of one entry VM, with one counter for each reason and outcome."""

    def __init__(self) -> None:
        """Registers all families, with a count of 0 for each reason."""
        self._registry = Registry()
        reasons = [reason.value for reason in Reason]
        self._family_by_name = {
            name: self._family(name, f'{name.title()} by reason.', reasons)
            for name in REASON_FAMILIES
        }
        self._starts = self._family('starts', 'Tasks sent.', (), 'service')
        self._answers = self._family(
            'answers',
            'Answers by outcome.',
            [outcome.value for outcome in Outcome],
            'outcome',
        )
        self._response_s = Histogram(
            'camphorlink_response_seconds',
            'Time from a submission to its answer.',
            buckets=list(RESPONSE_BUCKETS_S),
            registry=self._registry,
        )
        self._gauges: list[_LiveGauge] = []

    def count_reason(self, family: str, reason: str) -> None:
        """Increments the counter of a reason in a family."""
        self._family_by_name[family].count_by_value[reason] += 1

    def count_refusal(self, reason: Reason) -> None:
        """Counts a request that was refused before it reached the core."""
        self.count_reason('refusals', reason.value)

    def count_start(self, service: str) -> None:
        """Counts a task that was sent to a backend server."""
        self._starts.count_by_value[service] += 1

    def count_answer(self, outcome: Outcome) -> None:
        """Counts an answer to a submission."""
        self._answers.count_by_value[outcome.value] += 1

    def record_response_time(self, response_s: float) -> None:
        """Records the time from a submission to its answer, in seconds."""
        self._response_s.observe({}, response_s)

    def add_gauge(
        self,
        name: str,
        doc: str,
        read: Callable[[], float],
    ) -> None:
        """Registers a gauge whose value is read when the metrics are rendered.

        Args:
            name: Name without the prefix of the package.
            doc: Help text of the gauge.
            read: Returns the current value.
        """
        gauge = Gauge(f'camphorlink_{name}', doc, registry=self._registry)
        self._gauges.append(_LiveGauge(gauge, read))

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders all families in the requested format.

        Args:
            accept: Values of the request's ``Accept`` headers.

        Returns:
            Body and headers of the response.
        """
        families = (
            *self._family_by_name.values(),
            self._starts,
            self._answers,
        )
        for family in families:
            for label_value, count in family.count_by_value.items():
                family.counter.set({family.label: label_value}, count)
        for gauge, read in self._gauges:
            gauge.set({}, read())
        return render(self._registry, accept)

    def _family(
        self,
        name: str,
        doc: str,
        label_values: Iterable[str],
        label: str = 'reason',
    ) -> _Family:
        counter = Counter(
            f'camphorlink_{name}_total',
            doc,
            registry=self._registry,
        )
        counts = collections.Counter(dict.fromkeys(label_values, 0))
        return _Family(counter, label, counts)
