"""Searches every state of a specification and reports what was found."""

import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000

#: A state of a specification: a named tuple of hashable values.
State = Any
Steps = Iterable[tuple[str, State]]
Predicate = Callable[[Any], bool]


class Mutation(NamedTuple):
    """One deliberate fault of a protocol.

    Attributes:
        name: What the faulty protocol does, as a short name.
        breaks: Invariant that the fault must violate.
        is_deep: Whether it shows only from the larger run's first state.
    """

    name: str
    breaks: str
    is_deep: bool = False


class Specification(NamedTuple):
    """A protocol, small enough to be searched in full.

    Attributes:
        name: Short name of the protocol.
        initial: First state of the run for CI.
        large_initial: First state of the larger run.
        steps: Lists the labelled next states of a state under the mutation
            of the given name, or under none if it is empty.
        invariants: Promises by name, true in every reachable state.
        witnesses: Predicates by name, each true in some reachable state.
        mutations: Faults that the invariants must catch.
    """

    name: str
    initial: State
    large_initial: State
    steps: Callable[[State, str], Steps]
    invariants: Mapping[str, Predicate]
    witnesses: Mapping[str, Predicate]
    mutations: tuple[Mutation, ...]


class Trace(NamedTuple):
    """Shortest way to a state.

    Attributes:
        labels: Names of the steps, from the first state on.
        state: The state that was reached.
    """

    labels: tuple[str, ...]
    state: State


class Report(NamedTuple):
    """Result of one search.

    Attributes:
        states: Reachable states that were visited.
        depth: Steps to the farthest of them.
        is_exhaustive: Whether there was no state left to visit.
        verdict_by_invariant: ``True`` only after an exhaustive search.
        trace_by_name: Ways to a violation, and to each witness found.
        elapsed_s: Time that the search took, in seconds.
    """

    states: int
    depth: int
    is_exhaustive: bool
    verdict_by_invariant: Mapping[str, bool | None]
    trace_by_name: Mapping[str, Trace]
    elapsed_s: float


def search(
    spec: Specification,
    mutation: Mutation | None = None,
    initial: State | None = None,
) -> Report:
    """Visits every reachable state, or all up to a mutation's violation.

    Args:
        spec: What to search.
        mutation: Fault to build in; the search ends once it is caught.
        initial: First state, if it is not the one for CI.

    Returns:
        The verdicts; a search that was cut short gives ``None`` for what it
        has not refuted.
    """
    started_s = time.perf_counter()
    first_state = spec.initial if initial is None else initial
    if mutation is not None and mutation.is_deep:
        first_state = spec.large_initial
    observer = _SearchObserver(spec, mutation, first_state)
    search_result = check_safety(_build_protocol(spec, observer), MAX_STATES)
    properties = search_result['properties']
    is_exhaustive = (
        search_result['exhaustive'] and not observer.is_mutation_caught
    )
    return Report(
        states=search_result['reachable_states'],
        depth=max(observer.depth_by_state.values()),
        is_exhaustive=is_exhaustive,
        verdict_by_invariant={
            name: _get_verdict(properties[name]['holds'], is_exhaustive)
            for name in spec.invariants
        },
        trace_by_name={
            name: _read_trace(spec, property_result['counterexample'])
            for name, property_result in properties.items()
            if property_result['holds'] is False
        },
        elapsed_s=time.perf_counter() - started_s,
    )


def list_faults(spec: Specification, report: Report) -> list[str]:
    """Says in words what keeps a report from being a proof."""
    faults = [
        f'{name}: {"violated" if verdict is False else "undecided"}'
        for name, verdict in report.verdict_by_invariant.items()
        if verdict is not True
    ]
    faults.extend(
        f'{name}: not reachable, so the search proves nothing about it'
        for name in spec.witnesses
        if name not in report.trace_by_name
    )
    if not report.is_exhaustive:
        faults.append(f'search stopped after {report.states} states')
    return faults


class _SearchObserver:
    """Passes steps on and notes how far each state is from the first."""

    def __init__(
        self,
        spec: Specification,
        mutation: Mutation | None,
        initial: State,
    ) -> None:
        self.initial = initial
        self.depth_by_state: dict[State, int] = {initial: 0}
        self._steps = spec.steps
        self._mutation = mutation
        self.is_mutation_caught = False

    def observe_invariant(self, name: str, predicate: Predicate) -> Predicate:
        """Notes when the invariant that the mutation breaks is broken."""
        if self._mutation is None or name != self._mutation.breaks:
            return predicate
        return lambda fields: self._record_verdict(holds=predicate(fields))

    def list_steps(self, state: State) -> list[tuple[str, State]]:
        if self.is_mutation_caught:
            return []
        name = self._mutation.name if self._mutation else ''
        steps = list(self._steps(state, name))
        depth = self.depth_by_state[state] + 1
        for _label, next_state in steps:
            self.depth_by_state.setdefault(next_state, depth)
        return steps

    def _record_verdict(self, *, holds: bool) -> bool:
        self.is_mutation_caught = self.is_mutation_caught or not holds
        return holds


def _build_protocol(spec: Specification, observer: _SearchObserver) -> Protocol:
    initial = observer.initial
    state_class = type(initial)
    predicates = {
        name: observer.observe_invariant(
            name, _accept_fields(state_class, predicate)
        )
        for name, predicate in spec.invariants.items()
    }
    for name, is_reached in spec.witnesses.items():
        predicates[name] = _negate(_accept_fields(state_class, is_reached))
    return Protocol(
        name=spec.name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=observer.list_steps,
        invariants=predicates,
    )


def _get_verdict(holds: bool | None, is_exhaustive: bool) -> bool | None:
    return None if holds and not is_exhaustive else holds


def _accept_fields(state_class: type[State], predicate: Predicate) -> Predicate:
    return lambda fields: predicate(state_class(**fields))


def _negate(predicate: Predicate) -> Predicate:
    return lambda fields: not predicate(fields)


def _read_trace(
    spec: Specification,
    counterexample: list[dict[str, Any]],
) -> Trace:
    state_class = type(spec.initial)
    return Trace(
        labels=tuple(str(step['label']) for step in counterexample[1:]),
        state=state_class(**counterexample[-1]['state']),
    )
