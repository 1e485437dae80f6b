"""Measures what one more start, submission, back end or heartbeat costs.

``docs/CAPACITY.md`` is worked out from these slopes.  Each is measured over
several runs on one core; the median goes into the arithmetic and the spread
stands beside it.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import click
import orjson

from camphorlink.bench import slope_loads

RUNS = 5
US_PER_S = 1_000_000


class Slope(NamedTuple):
    """One measured slope.

    Attributes:
        name: Key in the file of slopes.
        unit: Unit of the figures.
        what: One sentence that says what was measured.
        measure: Returns the figure of one run.
    """

    name: str
    unit: str
    what: str
    measure: Callable[[], float]


def cpu_us_each(load: slope_loads.Load) -> float:
    """Runs a load once and returns its processor time for each unit."""
    gc.collect()
    started_s = time.process_time()
    units = load()
    return (time.process_time() - started_s) * US_PER_S / units


def bytes_each(build: slope_loads.Build) -> float:
    """Builds state once and returns the bytes for each unit of it."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / built.units


SLOPES = (
    Slope(
        'core_start_us',
        'us',
        'core time for each start: jobs of 50, 8 back ends in the zone',
        lambda: cpu_us_each(slope_loads.start_tasks),
    ),
    Slope(
        'core_refusal_us',
        'us',
        'core time for each job that is refused',
        lambda: cpu_us_each(slope_loads.refuse_jobs),
    ),
    Slope(
        'cancel_us',
        'us',
        'core time for each cancelled job of one task, in a wave of 5,000',
        lambda: cpu_us_each(slope_loads.cancel_jobs),
    ),
    Slope(
        'submission_bytes',
        'B',
        'memory for each remembered submission of 1 task with its answer',
        lambda: bytes_each(slope_loads.remember_submissions),
    ),
    Slope(
        'task_bytes',
        'B',
        'memory for each task of a remembered submission of 50 tasks',
        lambda: bytes_each(slope_loads.remember_tasks),
    ),
    Slope(
        'manifest_backend_bytes',
        'B',
        'memory of the manifest for each backend server, of 1,900',
        lambda: bytes_each(slope_loads.build_backends),
    ),
    Slope(
        'manifest_team_bytes',
        'B',
        'memory of the manifest for each team, of 1,500',
        lambda: bytes_each(slope_loads.build_teams),
    ),
    Slope(
        'config_change_us',
        'us',
        'processor time to fold in one change: 1,900 back ends, 150 teams',
        lambda: cpu_us_each(slope_loads.fold_changes),
    ),
    Slope(
        'config_change_bytes',
        'B',
        'bytes in the stream for one change of one back end, both records',
        lambda: float(slope_loads.change_bytes()),
    ),
    Slope(
        'peer_message_us',
        'us',
        'processor time to write and read one heartbeat, without the socket',
        lambda: cpu_us_each(slope_loads.code_heartbeats),
    ),
    Slope(
        'heartbeat_bytes',
        'B',
        'bytes of one heartbeat on the wire, before the frame header',
        lambda: float(slope_loads.heartbeat_bytes()),
    ),
)


def measure_slope(slope: Slope) -> dict[str, Any]:
    """Measures one slope over several runs."""
    figures = sorted(slope.measure() for _run in range(RUNS))
    return {
        'unit': slope.unit,
        'what': slope.what,
        'runs': RUNS,
        'median': round(statistics.median(figures), 2),
        'least': round(figures[0], 2),
        'most': round(figures[-1], 2),
    }


@click.command()
@click.option(
    '--out',
    type=click.Path(path_type=Path),
    default=Path('docs/data/slopes.json'),
    show_default=True,
)
def main(out: Path) -> None:
    """Measure all slopes and write them as JSON."""
    measured: dict[str, Any] = {}
    for slope in SLOPES:
        measured[slope.name] = measure_slope(slope)
        click.echo(f'{slope.name}: {measured[slope.name]}')
    options = (
        orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS | orjson.OPT_APPEND_NEWLINE
    )
    out.write_bytes(orjson.dumps(measured, option=options))


if __name__ == '__main__':
    main()
