"""Exhaustive search of the reachable states of a specification."""

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
    """Deliberate fault in a protocol that the search must detect.

    Attributes:
        name: Short name of the fault.
        breaks: Invariant that the fault must violate.
        is_deep: Whether the violation is reachable only from the initial
            state of the larger search.
    """

    name: str
    breaks: str
    is_deep: bool = False


class Specification(NamedTuple):
    """Protocol as a state machine with its expected properties.

    Attributes:
        name: Short name of the protocol.
        initial: Initial state of the search in CI.
        large_initial: Initial state of the larger search.
        steps: Function that returns the labelled next states of a state.  Its
            second argument is the name of a mutation to apply, or an empty
            string.
        invariants: Predicates by name that hold in every reachable state.
        witnesses: Predicates by name that each hold in at least one reachable
            state.
        mutations: Faults that must each violate an invariant.
    """

    name: str
    initial: State
    large_initial: State
    steps: Callable[[State, str], Steps]
    invariants: Mapping[str, Predicate]
    witnesses: Mapping[str, Predicate]
    mutations: tuple[Mutation, ...]


class Trace(NamedTuple):
    """Shortest sequence of steps from the initial state to another state.

    Attributes:
        labels: Labels of the steps, in order.
        state: State after the last step.
    """

    labels: tuple[str, ...]
    state: State


class Report(NamedTuple):
    """Result of one search.

    Attributes:
        states: Number of states that were visited.
        depth: Largest number of steps from the initial state to a visited
            state.
        is_exhaustive: Whether all reachable states were visited.
        verdict_by_invariant: ``False`` for a violated invariant, ``True`` for
            one that holds after an exhaustive search, else ``None``.
        trace_by_name: Traces to the violations of invariants and to the
            witnesses that were reached.
        elapsed_s: Duration of the search, in seconds.
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
    """Searches the reachable states of a specification breadth-first.

    The search visits at most ``MAX_STATES`` states.  With a mutation, it stops
    at the first violation of the mutation's invariant.

    Args:
        spec: Specification to search.
        mutation: Fault to apply, if any.
        initial: Initial state; defaults to the one for CI.  A deep mutation
            always starts from the initial state of the larger search.

    Returns:
        The report.  If the search was not exhaustive, the verdict of an
        invariant is ``False`` or ``None``.
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
    """Lists the reasons why a report does not prove a specification.

    Args:
        spec: Specification that was searched.
        report: Result of the search.

    Returns:
        One line per invariant that is violated or undecided, per unreachable
        witness, and for an incomplete search; empty for a proof.
    """
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
    """Records the depth of each state, and stops the search of a mutation.

    Attributes:
        initial: Initial state of the search.
        depth_by_state: Number of steps from the initial state.
        is_mutation_caught: Whether the mutation's invariant was violated.
    """

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
        """Wraps the invariant that the mutation must violate."""
        if self._mutation is None or name != self._mutation.breaks:
            return predicate
        return lambda fields: self._record_verdict(holds=predicate(fields))

    def list_steps(self, state: State) -> list[tuple[str, State]]:
        """Returns the next states, or none once the mutation is caught."""
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
    """Returns ``None`` for an invariant that an incomplete search kept."""
    return None if holds and not is_exhaustive else holds


def _accept_fields(state_class: type[State], predicate: Predicate) -> Predicate:
    """Adapts a predicate on states to the field mappings of ``minicheck``."""
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
