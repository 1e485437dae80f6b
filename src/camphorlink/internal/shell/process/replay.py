"""Replays a trace through the real core and compares the outcomes."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import orjson

from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.shell.process.trace_codec import (
    list_outcomes,
    read_message,
)
from camphorlink.internal.shell.process.trace_lines import (
    Event,
    Header,
    read_event,
    read_header,
)
from camphorlink.internal.shell.process.trace_values import TraceError


class Difference(NamedTuple):
    """The first outcome that differs from the trace.

    Attributes:
        line: Line number in the trace, from 1.
        stated: Outcome in the trace, or ``None`` if it has none here.
        seen: Outcome of the core, or ``None`` if it had none here.
    """

    line: int
    stated: Any
    seen: Any


class ReplayResult(NamedTuple):
    """Result of a replay.

    Attributes:
        title: Title of the trace.
        events: Number of messages replayed.
        outcomes: Number of outcomes that the core produced.
        difference: The first difference, or ``None`` if there is none.
    """

    title: str
    events: int = 0
    outcomes: int = 0
    difference: Difference | None = None


def replay(lines: Iterable[bytes]) -> ReplayResult:
    """Replays a trace up to the first difference.

    Raises:
        TraceError: A line of the trace is invalid; the error has its number,
            except for the header.
    """
    numbered = enumerate(lines, 1)
    _number, first = next(numbered, (1, b''))
    header = read_header(first)
    cores = _build_cores(header)
    result = ReplayResult(header.title)
    for number, line in numbered:
        result = _replay_line(cores, result, number, line)
        if result.difference is not None:
            break
    return result


def _replay_line(
    cores: dict[str, EntryCore],
    result: ReplayResult,
    number: int,
    line: bytes,
) -> ReplayResult:
    try:
        event = read_event(line)
        seen = _feed(cores, event)
    except TraceError as exc:
        raise TraceError(f'line {number}: {exc}') from exc
    return result._replace(
        events=result.events + 1,
        outcomes=result.outcomes + len(seen),
        difference=_compare(number, list(event.outcomes), seen),
    )


def _build_cores(header: Header) -> dict[str, EntryCore]:
    return {
        name: EntryCore(*core_header)
        for name, core_header in header.core_by_name.items()
    }


def _feed(cores: dict[str, EntryCore], event: Event) -> list[Any]:
    core = cores.get(event.core)
    if core is None:
        raise TraceError(f'core {event.core!r} is not listed in the header')
    effects = core.handle(read_message(event), event.at_s)
    # Converts the outcomes to the form in which a trace line is decoded.
    plain: list[Any] = orjson.loads(orjson.dumps(list_outcomes(effects)))
    return plain


def _compare(
    number: int,
    stated: list[Any],
    seen: list[Any],
) -> Difference | None:
    for position in range(max(len(stated), len(seen))):
        stated_outcome = stated[position] if position < len(stated) else None
        seen_outcome = seen[position] if position < len(seen) else None
        if stated_outcome != seen_outcome:
            return Difference(number, stated_outcome, seen_outcome)
    return None
