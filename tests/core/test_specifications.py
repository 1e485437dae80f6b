"""Tests that the specifications hold and that each mutation is detected."""

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
def test_every_reachable_state_satisfies_the_invariants(spec):
    report = search(spec)
    assert list_faults(spec, report) == []
    assert report.is_exhaustive


@pytest.mark.parametrize(
    ('spec', 'mutation'),
    [(spec, fault) for spec in SPECIFICATIONS for fault in spec.mutations],
    ids=lambda part: part.name,
)
def test_each_mutation_violates_its_invariant(spec, mutation):
    report = search(spec, mutation)
    assert report.verdict_by_invariant[mutation.breaks] is False
    assert not report.is_exhaustive


def test_an_incomplete_search_leaves_invariants_undecided(monkeypatch):
    monkeypatch.setattr('camphorlink.spec.checking.MAX_STATES', 20)
    spec = SPECIFICATIONS[0]
    report = search(spec)
    assert set(report.verdict_by_invariant.values()) == {None}
    assert len(list_faults(spec, report)) > len(spec.invariants)


def test_the_generated_counterexamples_are_up_to_date():
    _head, mark, generated = PAGE.read_text().partition(GENERATED_MARK)
    assert mark
    assert generated == render_counterexamples(), 'run make counterexamples'
