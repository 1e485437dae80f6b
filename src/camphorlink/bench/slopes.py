"""Measures the slopes from which ``docs/CAPACITY.md`` is computed.

A slope is the cost of one more unit, such as a task start, a submission, a back
end or a heartbeat.  Each slope is measured in several runs on one core.  The
figures of the page use the median; the page lists the smallest and the largest
value, too.
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

from camphorlink.bench import slope_config, slope_loads, slope_protocols

RUNS = 5
US_PER_S = 1_000_000


class Slope(NamedTuple):
    """Definition of a slope.

    Attributes:
        name: Key in the file of measured slopes.
        unit: Unit of the measured values.
        description: What is measured, for the table of the page.
        measure: Returns the measured value of one run.
    """

    name: str
    unit: str
    description: str
    measure: Callable[[], float]


def measure_cpu_us_per_unit(workload: slope_config.Workload) -> float:
    """Returns the processor time per unit of work, after a warm-up, in us."""
    workload()
    gc.collect()
    started_s = time.process_time()
    units = workload()
    return (time.process_time() - started_s) * US_PER_S / units


def measure_bytes_per_unit(build: slope_config.BuildState) -> float:
    """Builds state once and returns its memory per unit, in bytes."""
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
        lambda: measure_cpu_us_per_unit(slope_loads.run_jobs),
    ),
    Slope(
        'core_refusal_us',
        'us',
        'core time for each job that is refused',
        lambda: measure_cpu_us_per_unit(slope_loads.refuse_jobs),
    ),
    Slope(
        'cancel_us',
        'us',
        'core time to submit and to cancel a job of 1 task, 5,000 in a wave',
        lambda: measure_cpu_us_per_unit(slope_loads.cancel_jobs),
    ),
    Slope(
        'submission_bytes',
        'B',
        'memory for each remembered submission of 1 task with its answer',
        lambda: measure_bytes_per_unit(slope_loads.build_answered_submissions),
    ),
    Slope(
        'task_bytes',
        'B',
        'memory for each task of a remembered submission of 50 tasks',
        lambda: measure_bytes_per_unit(slope_loads.build_answered_tasks),
    ),
    Slope(
        'manifest_backend_bytes',
        'B',
        'memory of the manifest for each backend server, of 1,900',
        lambda: measure_bytes_per_unit(slope_config.build_backend_manifest),
    ),
    Slope(
        'manifest_team_bytes',
        'B',
        'memory of the manifest for each team, of 1,500',
        lambda: measure_bytes_per_unit(slope_config.build_team_manifest),
    ),
    Slope(
        'config_change_us',
        'us',
        'processor time to fold in one change: 1,900 back ends, 150 teams',
        lambda: measure_cpu_us_per_unit(slope_config.fold_changes),
    ),
    Slope(
        'config_change_bytes',
        'B',
        'bytes in the stream for one change of one back end, both records',
        lambda: float(slope_config.measure_change_bytes()),
    ),
    Slope(
        'peer_message_us',
        'us',
        'processor time to write and read one heartbeat, without the socket',
        lambda: measure_cpu_us_per_unit(
            slope_loads.encode_and_decode_heartbeats
        ),
    ),
    Slope(
        'heartbeat_bytes',
        'B',
        'bytes of one heartbeat on the wire, before the frame header',
        lambda: float(slope_loads.measure_heartbeat_bytes()),
    ),
    Slope(
        'single_job_us',
        'us',
        'core time for each job of 1 task at its home',
        lambda: measure_cpu_us_per_unit(slope_protocols.run_single_task_jobs),
    ),
    Slope(
        'relayed_job_us',
        'us',
        'core time and codec at both VMs for each relayed job of 1 task',
        lambda: measure_cpu_us_per_unit(slope_protocols.relay_jobs),
    ),
    Slope(
        'relayed_job_bytes',
        'B',
        'bytes between the VMs for each relayed job of 1 small task',
        slope_protocols.measure_relay_bytes,
    ),
    Slope(
        'appends_per_1000_claims',
        'appends',
        'for each 1,000 claims: 8 VMs, 500 keys a second, append of 5 ms',
        slope_protocols.measure_claim_appends,
    ),
    Slope(
        'audit_buffer_bytes',
        'B',
        'memory for each audit record that waits',
        lambda: measure_bytes_per_unit(slope_protocols.build_audit_buffer),
    ),
    Slope(
        'audit_record_bytes',
        'B',
        'bytes of one audit record in the stream',
        slope_protocols.measure_audit_record_bytes,
    ),
    Slope(
        'loan_bytes',
        'B',
        'bytes of a loan of slots at three back ends',
        slope_protocols.measure_loan_bytes,
    ),
    Slope(
        'demand_report_bytes',
        'B',
        'bytes of one report of the demand of 150 teams',
        slope_protocols.measure_demand_report_bytes,
    ),
)


def measure_slope(slope: Slope) -> dict[str, Any]:
    """Measures one slope in several runs."""
    figures = sorted(slope.measure() for _run in range(RUNS))
    return {
        'unit': slope.unit,
        'what': slope.description,
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
