"""Computes the figures of jobs and cells for docs/CAPACITY.md."""

from collections.abc import Callable

from camphorlink.internal.core.process.cell_load import load_report_period_s

US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1000
PERCENT = 100
#: Time from the acceptance of a durable job to its completion, in seconds; it
#: determines how many live jobs the job table holds.
JOB_DURATION_S = 1.0


def compute_job_figures(
    starts_per_s: float,
    jobs_per_s: float,
    zones: int,
    vms: int,
    median: Callable[[str], float],
) -> dict[str, str]:
    """Returns the figures of cells and of the job log, formatted as text.

    Args:
        starts_per_s: Task starts per second in all zones.
        jobs_per_s: Jobs per second in all zones.
        zones: Number of zones; each zone is one cell.
        vms: Number of entry VMs.
        median: Returns the median of the slope with the given name.
    """
    cell_starts_per_s = starts_per_s / zones
    start_share = cell_starts_per_s * median('cell_start_us') / US_PER_S
    fold_share = jobs_per_s * median('record_fold_us') / US_PER_S
    record_bytes_per_s = jobs_per_s * median('accepted_record_bytes')
    live_bytes = jobs_per_s * JOB_DURATION_S * median('live_job_bytes')
    reports_per_s = zones / load_report_period_s(vms - 1)
    report_bytes_per_s = reports_per_s * median('load_message_bytes')
    return {
        'cell_starts_s': f'{cell_starts_per_s:,.0f}',
        'cell_start_us': f'{median("cell_start_us"):.0f}',
        'cell_start_percent': f'{start_share * PERCENT:.0f}',
        'full_pass_ms': f'{median("cell_full_pass_us") / 1000:.1f}',
        'fold_percent': f'{fold_share * PERCENT:.0f}',
        'job_log_kb_s': f'{record_bytes_per_s / BYTES_PER_KB:,.0f}',
        'live_jobs_mb': f'{live_bytes / BYTES_PER_MB:.1f}',
        'load_bytes': f'{median("load_message_bytes"):,.0f}',
        'load_period_ms': f'{load_report_period_s(vms - 1) * 1000:.0f}',
        'loads_s': f'{reports_per_s:,.0f}',
        'loads_kb_s': f'{report_bytes_per_s / BYTES_PER_KB:,.0f}',
    }
