"""Every state of the specifications keeps the promises; faults are caught."""

from pathlib import Path

import pytest

from camphorlink.spec.checking import list_faults, search
from camphorlink.spec.programs import (
    GENERATED_MARK,
    SPECIFICATIONS,
    render_counterexamples,
)

PAGE = Path(__file__).parents[2] / 'docs' / 'design' / 'proof.md'


@pytest.mark.parametrize('spec', SPECIFICATIONS, ids=lambda spec: spec.name)
def test_every_state_keeps_the_promises(spec):
    report = search(spec)
    assert list_faults(spec, report) == []
    assert report.is_exhaustive


@pytest.mark.parametrize(
    ('spec', 'mutation'),
    [(spec, one) for spec in SPECIFICATIONS for one in spec.mutations],
    ids=lambda part: part.name,
)
def test_a_mutation_is_caught(spec, mutation):
    report = search(spec, mutation)
    assert report.verdict_by_invariant[mutation.breaks] is False
    assert not report.is_exhaustive


def test_a_search_cut_short_proves_nothing(monkeypatch):
    monkeypatch.setattr('camphorlink.spec.checking.MAX_STATES', 20)
    spec = SPECIFICATIONS[0]
    report = search(spec)
    assert set(report.verdict_by_invariant.values()) == {None}
    assert len(list_faults(spec, report)) > len(spec.invariants)


def test_the_page_of_counterexamples_is_current():
    _head, mark, generated = PAGE.read_text().partition(GENERATED_MARK)
    assert mark
    assert generated == render_counterexamples(), 'run make counterexamples'
